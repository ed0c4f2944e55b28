#pragma once

#include "process/quota/daemon_quota.h"

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <variant>
#include <vector>

namespace endivetrestle::testing {

// Daemons with quotas whose messages are delayed and lost. Each daemon has its own clock origin, so that comparing
// clocks of two daemons fails a test. Times of the simulation itself count from zero.
class QuotaSimulation {
public:
    static constexpr Duration step = std::chrono::milliseconds(2);
    static inline const WorkspaceId workspace { "w" };

    struct Daemon {
        DaemonId id;
        Duration clockOffset {};
        std::unique_ptr<DaemonQuota> quota;
        // Time of its first lease row.
        Time rowSince;
        Time frozenUntil;
        // Time since which its lease has ended, if it has.
        std::optional<Time> leaseEnd;
        // Until then its links are lost, and other daemons cannot send to it.
        Time linksDownUntil;
        // Side of a partition.
        int side = 0;
        double wanted = 0;
        // Operations a second that its clients start.
        double load = 0;
    };
    struct Message {
        std::size_t from;
        std::size_t to;
        std::variant<QuotaRequest, QuotaGrant> content;
        // Start of the receiver for which it is meant, since links end with a process.
        const DaemonQuota* receiver;
    };

    QuotaSimulation(std::size_t count, std::uint64_t seed)
        : random(seed)
    {
        for (std::size_t i = 0; i < count; ++i)
            this->add();
    }
    // The hooks of the daemons refer to the simulation.
    QuotaSimulation(const QuotaSimulation&) = delete;
    QuotaSimulation& operator=(const QuotaSimulation&) = delete;

    std::size_t add()
    {
        const auto index = this->daemons.size();
        auto& daemon = this->daemons.emplace_back();
        daemon.id = DaemonId("d" + std::to_string(index));
        daemon.clockOffset = std::chrono::seconds(1000 + 777 * static_cast<int>(index));
        daemon.rowSince = this->now;
        this->start(index);
        return index;
    }
    void start(std::size_t index)
    {
        auto& daemon = this->daemons[index];
        QuotaClientHooks hooks;
        hooks.send = [this, index](const DaemonId& to, const QuotaRequest& request) {
            const auto target = this->indexOf(to);
            if (this->now < std::max(this->daemons[index].linksDownUntil, this->daemons[target].linksDownUntil))
                return false;
            ++this->messages;
            this->deliver(index, this->indexOf(to), request);
            return true;
        };
        hooks.hasLease = [this, index](Time at) {
            const auto& end = this->daemons[index].leaseEnd;
            return !end || at < *end + this->daemons[index].clockOffset;
        };
        daemon.quota = std::make_unique<DaemonQuota>(daemon.id, ++this->starts, this->local(index), hooks);
        daemon.frozenUntil = this->now;
        this->configure(index);
    }
    void configure(std::size_t index)
    {
        Workspace declared;
        declared.id = workspace;
        declared.quota = this->quota;
        this->daemons[index].quota->configure({ declared }, this->bounds, this->local(index));
    }
    void configureAll()
    {
        for (std::size_t i = 0; i < this->daemons.size(); ++i)
            this->configure(i);
    }
    // Gives the daemon the list of the given members.
    void list(std::size_t index, const std::vector<std::size_t>& members)
    {
        std::vector<QuotaDaemon> others;
        for (const auto member : members) {
            if (member != index)
                others.push_back({ this->daemons[member].id, millisecondsOf(this->daemons[member].rowSince) });
        }
        this->daemons[index].quota->setDaemons(others, this->local(index));
    }
    void listAll()
    {
        std::vector<std::size_t> members;
        for (std::size_t i = 0; i < this->daemons.size(); ++i)
            members.push_back(i);
        for (const auto member : members)
            this->list(member, members);
    }
    // Resets all links of a daemon, which can be opened again after a time.
    void resetLinks(std::size_t index, Duration time)
    {
        auto& reset = this->daemons[index];
        reset.linksDownUntil = this->now + time;
        for (std::size_t i = 0; i < this->daemons.size(); ++i) {
            if (i == index)
                continue;
            this->daemons[i].quota->onUnreachable(reset.id, this->local(i));
            reset.quota->onUnreachable(this->daemons[i].id, this->local(index));
        }
    }
    // Runs for a time; every daemon's clients start operations at its load.
    void run(Duration time)
    {
        const auto end = this->now + time;
        while (this->now < end) {
            this->now += step;
            this->deliverDue();
            for (std::size_t i = 0; i < this->daemons.size(); ++i)
                this->serve(i);
            this->countSupported();
        }
    }
    // Number of shards that daemons coordinate, and the first daemon that does. A frozen daemon grants nothing.
    [[nodiscard]] std::size_t coordinators() const
    {
        std::size_t count = 0;
        for (const auto& daemon : this->daemons)
            count += daemon.frozenUntil > this->now ? 0 : daemon.quota->statistics().shardsCoordinated;
        return count;
    }
    [[nodiscard]] std::size_t coordinator() const
    {
        for (std::size_t i = 0; i < this->daemons.size(); ++i) {
            const auto& daemon = this->daemons[i];
            if (daemon.frozenUntil <= this->now && daemon.quota->statistics().shardsCoordinated > 0)
                return i;
        }
        return this->daemons.size();
    }
    // Largest number of operations in a window of the bounds, beyond what the bounds permit with the given quota.
    [[nodiscard]] double excess(const WorkspaceQuota& limit, Time from = {}) const
    {
        const auto permitted
            = (limit.operationsPerSecond * toSeconds(this->bounds.window) + limit.burst) * (1 + this->bounds.overage)
            + this->bounds.slack;
        std::size_t most = 0;
        auto first = std::lower_bound(this->grants.begin(), this->grants.end(), from);
        for (auto last = first; last != this->grants.end(); ++last) {
            while (*last - *first >= this->bounds.window)
                ++first;
            most = std::max(most, static_cast<std::size_t>(last - first) + 1);
        }
        return static_cast<double>(most) - permitted;
    }

    std::mt19937_64 random;
    Time now { std::chrono::seconds(100) };
    WorkspaceQuota quota { 100, 20 };
    QuotaBounds bounds { std::chrono::seconds(5), 0.1, 20 };
    std::vector<Daemon> daemons;
    // Share of messages that are lost, and the range of their delays.
    double loss = 0;
    Duration shortestDelay = std::chrono::milliseconds(2);
    Duration longestDelay = std::chrono::milliseconds(10);
    // Times of granted operations.
    std::vector<Time> grants;
    std::uint64_t exceeded = 0;
    std::uint64_t unanswered = 0;
    std::uint64_t messages = 0;
    // Largest number of daemons, frozen ones included, that had enough support at the same time.
    std::size_t mostSupported = 0;

private:
    void countSupported()
    {
        std::size_t count = 0;
        for (std::size_t i = 0; i < this->daemons.size(); ++i)
            count += this->daemons[i].quota->hasSupport({}, this->local(i)) ? 1 : 0;
        this->mostSupported = std::max(this->mostSupported, count);
    }
    static std::int64_t millisecondsOf(Time at) { return at.time_since_epoch().count() / 1000; }
    [[nodiscard]] Time local(std::size_t index) const { return this->now + this->daemons[index].clockOffset; }
    [[nodiscard]] std::size_t indexOf(const DaemonId& id) const
    {
        return static_cast<std::size_t>(std::find_if(this->daemons.begin(), this->daemons.end(),
                                            [&](const Daemon& daemon) { return daemon.id == id; })
            - this->daemons.begin());
    }
    double share() { return std::uniform_real_distribution<>()(this->random); }
    template <typename Content> void deliver(std::size_t from, std::size_t to, const Content& content)
    {
        if (this->daemons[from].side != this->daemons[to].side || this->share() < this->loss)
            return;
        const auto spread = this->longestDelay - this->shortestDelay;
        const auto delay = this->shortestDelay
            + Duration(static_cast<Duration::rep>(this->share() * static_cast<double>(spread.count())));
        this->underWay.emplace(this->now + delay, Message { from, to, content, this->daemons[to].quota.get() });
    }
    void deliverDue()
    {
        while (!this->underWay.empty() && this->underWay.begin()->first <= this->now) {
            auto message = std::move(this->underWay.begin()->second);
            this->underWay.erase(this->underWay.begin());
            auto& daemon = this->daemons[message.to];
            if (daemon.frozenUntil > this->now) {
                this->underWay.emplace(daemon.frozenUntil, std::move(message));
                continue;
            }
            if (message.receiver != daemon.quota.get())
                continue;
            if (const auto* request = std::get_if<QuotaRequest>(&message.content))
                this->deliver(message.to, message.from, daemon.quota->onRequest(*request, this->local(message.to)));
            else
                daemon.quota->onGrant(
                    this->daemons[message.from].id, std::get<QuotaGrant>(message.content), this->local(message.to));
        }
    }
    void serve(std::size_t index)
    {
        auto& daemon = this->daemons[index];
        if (daemon.frozenUntil > this->now)
            return;
        const auto at = this->local(index);
        if (at >= daemon.quota->nextDue())
            daemon.quota->tick(at);
        std::poisson_distribution<int> arrivals(daemon.load * toSeconds(step));
        for (int count = daemon.load > 0 ? arrivals(this->random) : 0; count > 0; --count) {
            daemon.quota->take(workspace, at, [this](QuotaDecision decision) {
                if (decision == QuotaDecision::Granted)
                    this->grants.push_back(this->now);
                else
                    ++(decision == QuotaDecision::Exceeded ? this->exceeded : this->unanswered);
            });
        }
    }

    std::uint64_t starts = 0;
    std::multimap<Time, Message> underWay;
};

} // namespace endivetrestle::testing
