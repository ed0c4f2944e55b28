#pragma once

#include "process/failover.h"
#include "process/fake_group_test.h"
#include "request/write_tracker.h"

#include <memory>
#include <ostream>
#include <random>

namespace endivetrestle::testing {

using namespace std::chrono_literals;

constexpr Duration stepLength = 10ms;
constexpr Duration faultsEnd = 6s;
constexpr Duration runEnd = 14s;

// Deliberate deviations from the rules. The checker must detect the first two; reusing a claimant after a restart must
// be harmless.
enum class SeededFault { None, LowestPosition, AcknowledgeAtOneHolder, ReuseClaimant };

enum class FaultKind { CutLink, Isolate, CrashEndpoint, CrashDaemon, PauseDaemon, Switchover };

// Value of Fault::node that stands for the endpoint that is primary when the fault starts.
constexpr int primaryNode = -1;

// Fault that starts at a time and ends after a length, both in milliseconds.
struct Fault {
    int at = 0;
    FaultKind kind = FaultKind::CutLink;
    int node = 0;
    int other = 0;
    int length = 0;
};

inline std::ostream& operator<<(std::ostream& stream, const Fault& fault)
{
    return stream << "{" << fault.at << "ms kind=" << static_cast<int>(fault.kind) << " node=" << fault.node
                  << " other=" << fault.other << " length=" << fault.length << "ms}";
}

// Owner under test and the state that it loses in a restart.
struct FakeDaemon {
    int node = 0;
    int incarnation = 0;
    std::unique_ptr<Failover> failover;
    std::unique_ptr<WriteTracker> tracker;
    std::map<EndpointId, Time> contacts;
    Time downUntil;
    Time pausedUntil;
};

// A group of endpoints and two daemons over a network that drops, repeats and reorders calls.
class Simulation {
public:
    Simulation(std::size_t size, std::uint64_t seed, SeededFault seeded)
        : random(seed)
        , seeded(seeded)
        , endpoints(size)
        , daemons(2)
    {
        for (std::size_t i = 0; i < size; ++i)
            this->endpoints[i].id = EndpointId("e" + std::to_string(i));
        for (std::size_t i = 0; i < this->daemons.size(); ++i) {
            this->daemons[i].node = static_cast<int>(size + i);
            this->start(this->daemons[i]);
        }
    }

    void run(const std::vector<Fault>& faults)
    {
        for (const auto& fault : faults)
            this->events.emplace(Time(std::chrono::milliseconds(fault.at)), [this, fault] { this->inject(fault); });
        for (; this->now < Time(runEnd); this->now += stepLength) {
            while (!this->events.empty() && this->events.begin()->first <= this->now) {
                const auto work = std::move(this->events.begin()->second);
                this->events.erase(this->events.begin());
                work();
            }
            this->replicate();
            for (auto& daemon : this->daemons)
                this->runDaemon(daemon);
        }
    }

    std::vector<std::string> violations;
    std::size_t acknowledged = 0;
    Time lastAcknowledged;
    Duration longestGap {};
    std::size_t promotions = 0;

private:
    using Reply = std::function<void(FakeDaemon&)>;

    bool chance(int percent) { return static_cast<int>(this->random() % 100) < percent; }
    bool faulty() const { return this->now < Time(faultsEnd); }
    Duration delay()
    {
        return std::chrono::milliseconds(1 + (this->chance(5) ? this->random() % 300 : this->random() % 4));
    }
    bool isCut(int a, int b) const { return this->cutLinks.contains({ std::min(a, b), std::max(a, b) }); }

    std::vector<EndpointId> ids() const
    {
        std::vector<EndpointId> result;
        for (const auto& endpoint : this->endpoints)
            result.push_back(endpoint.id);
        return result;
    }

    DaemonId claimant(const FakeDaemon& daemon) const
    {
        const int incarnation = this->seeded == SeededFault::ReuseClaimant ? 0 : daemon.incarnation;
        return DaemonId(std::to_string(daemon.node) + "." + std::to_string(incarnation));
    }

    void start(FakeDaemon& daemon)
    {
        ++daemon.incarnation;
        daemon.contacts.clear();
        std::vector<FailoverEndpoint> members;
        for (auto& id : this->ids())
            members.push_back({ id });
        Failover::Options options { DataCentre(std::to_string(daemon.node)), {}, [this] { return this->random(); } };
        daemon.failover = std::make_unique<Failover>(options, members, this->now);
        daemon.failover->setRank(daemon.node - static_cast<int>(this->endpoints.size()));
        daemon.tracker = std::make_unique<WriteTracker>(WriteTrackerSettings {}, this->ids());
    }

    void inject(Fault fault)
    {
        if (fault.node == primaryNode)
            fault.node = std::stoi(this->primaryByTerm.rbegin()->second.id.value.substr(1));
        const int nodes = static_cast<int>(this->endpoints.size() + this->daemons.size());
        const auto until = this->now + std::chrono::milliseconds(fault.length);
        auto& daemon = this->daemons[fault.node % this->daemons.size()];
        switch (fault.kind) {
        case FaultKind::CutLink:
            return this->cutLink(fault.node % nodes, fault.other % nodes, until);
        case FaultKind::Isolate:
            for (int other = 0; other < nodes; ++other)
                this->cutLink(fault.node % nodes, other, until);
            return;
        case FaultKind::CrashEndpoint: {
            auto& endpoint = this->endpoints[fault.node % this->endpoints.size()];
            endpoint.downUntil = until;
            endpoint.role = EndpointRole::Replica;
            return;
        }
        case FaultKind::CrashDaemon:
            daemon.downUntil = until;
            return this->start(daemon);
        case FaultKind::PauseDaemon:
            daemon.pausedUntil = until;
            return;
        case FaultKind::Switchover:
            return this->perform(daemon, daemon.failover->requestSwitchover("test", {}, this->now));
        }
    }

    void cutLink(int a, int b, Time until)
    {
        const std::pair key { std::min(a, b), std::max(a, b) };
        this->cutLinks.insert(key);
        this->events.emplace(until, [this, key] { this->cutLinks.erase(this->cutLinks.find(key)); });
    }

    void replicate()
    {
        for (std::size_t p = 0; p < this->endpoints.size(); ++p) {
            auto& primary = this->endpoints[p];
            for (std::size_t r = 0; r < this->endpoints.size(); ++r) {
                auto& replica = this->endpoints[r];
                const bool connected = !this->isCut(static_cast<int>(p), static_cast<int>(r))
                    && primary.downUntil <= this->now && replica.downUntil <= this->now;
                if (p == r || !connected || primary.role != EndpointRole::Primary)
                    continue;
                if (replica.term > primary.term)
                    primary.stepDown(replica.term);
                else
                    replica.follow(primary, this->chance(50) ? 2 : 0, this->now);
            }
        }
    }

    // Sends a call to an endpoint; the handler runs there and its result runs at the daemon.
    void call(
        FakeDaemon& daemon, const EndpointId& id, std::function<Reply(FakeEndpoint&)> handler, const Reply& failed)
    {
        const auto index = static_cast<std::size_t>(std::stoi(id.value.substr(1)));
        const int copies = this->faulty() && this->chance(5) ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy)
            this->events.emplace(this->now + this->delay(),
                [this, &daemon, index, handler, node = daemon.node, incarnation = daemon.incarnation] {
                    auto& endpoint = this->endpoints[index];
                    if (this->isLost(node, index))
                        return;
                    this->deliver(daemon, incarnation, index, handler(endpoint));
                    this->checkPrimary(endpoint);
                });
        this->events.emplace(this->now + 200ms, [this, &daemon, failed, incarnation = daemon.incarnation] {
            this->runAtDaemon(daemon, incarnation, failed);
        });
    }

    bool isLost(int node, std::size_t index)
    {
        return this->isCut(node, static_cast<int>(index)) || this->endpoints[index].downUntil > this->now
            || (this->faulty() && this->chance(3));
    }

    void deliver(FakeDaemon& daemon, int incarnation, std::size_t index, const Reply& reply)
    {
        this->events.emplace(this->now + this->delay(), [this, &daemon, incarnation, index, reply] {
            if (!this->isLost(daemon.node, index))
                this->runAtDaemon(daemon, incarnation, reply);
        });
    }

    void runAtDaemon(FakeDaemon& daemon, int incarnation, const Reply& reply)
    {
        if (daemon.incarnation != incarnation || daemon.downUntil > this->now)
            return;
        if (daemon.pausedUntil > this->now)
            this->events.emplace(daemon.pausedUntil,
                [this, &daemon, incarnation, reply] { this->runAtDaemon(daemon, incarnation, reply); });
        else
            reply(daemon);
    }

    void runDaemon(FakeDaemon& daemon)
    {
        if (daemon.downUntil > this->now || daemon.pausedUntil > this->now)
            return;
        this->perform(daemon, daemon.failover->tick(this->now));
        this->acknowledgeHeld(daemon, daemon.tracker->tick(this->now));
        if (this->now.time_since_epoch() % 50ms == 0ms)
            for (const auto& id : this->ids())
                this->probe(daemon, id);
        if (this->chance(30))
            this->write(daemon);
    }

    void probe(FakeDaemon& daemon, const EndpointId& id)
    {
        const auto handler = [this, sentAt = this->now](FakeEndpoint& endpoint) -> Reply {
            return [this, sentAt, status = endpoint.status(this->now)](
                       FakeDaemon& to) { this->applyStatus(to, status, sentAt); };
        };
        this->call(daemon, id, handler, [](FakeDaemon&) {});
    }

    void applyStatus(FakeDaemon& daemon, const EndpointStatus& status, Time sentAt)
    {
        daemon.contacts[status.endpoint] = this->now;
        this->acknowledgeHeld(daemon, daemon.tracker->onStatus(status, sentAt, this->now));
        this->perform(daemon, daemon.failover->onStatus(status, sentAt, this->now));
    }

    void write(FakeDaemon& daemon)
    {
        const auto primary = daemon.failover->primary();
        if (!primary)
            return;
        const std::uint64_t write = ++this->lastWrite;
        const auto handler = [this, primary, write, sentAt = this->now](FakeEndpoint& endpoint) -> Reply {
            if (endpoint.role != EndpointRole::Primary || endpoint.term != primary->term)
                return [this, sentAt, status = endpoint.status(this->now)](
                           FakeDaemon& to) { this->applyStatus(to, status, sentAt); };
            endpoint.log.push_back({ endpoint.term, write });
            const ExecutedWrite executed { write, {}, endpoint.id, endpoint.lastLog(), sentAt, sentAt + 1s };
            return [this, executed, status = endpoint.status(this->now)](FakeDaemon& to) {
                if (this->seeded == SeededFault::AcknowledgeAtOneHolder)
                    this->acknowledge(executed);
                this->acknowledgeHeld(to, to.tracker->writeExecuted(executed, status, this->now));
            };
        };
        this->call(daemon, primary->endpoint, handler, [](FakeDaemon&) {});
    }

    void acknowledgeHeld(FakeDaemon& daemon, const WriteTracker::Events& events)
    {
        for (const auto& event : events)
            if (const auto* held = std::get_if<WriteHeldByMajority>(&event))
                if (daemon.tracker->canAcknowledge(held->evidence, this->now))
                    this->acknowledge(held->write);
    }

    void perform(FakeDaemon& daemon, const Failover::Actions& actions)
    {
        for (const auto& action : actions) {
            if (const auto* fence = std::get_if<failover::Fence>(&action))
                this->fence(daemon, *fence);
            else if (const auto* promote = std::get_if<failover::Promote>(&action))
                this->promote(daemon, *promote);
            else if (const auto* ask = std::get_if<failover::AskOpinions>(&action))
                this->requestOpinion(daemon, *ask);
        }
    }

    void fence(FakeDaemon& daemon, const failover::Fence& action)
    {
        const auto handler = [this, action, claimant = this->claimant(daemon)](FakeEndpoint& endpoint) -> Reply {
            auto answer = endpoint.fence({ action.term, claimant }, this->now);
            if (this->seeded == SeededFault::LowestPosition) {
                answer.status.lastLog = { 0, 1000000 - answer.status.lastLog.index };
                answer.status.applied = {};
            }
            return [this, action, answer](FakeDaemon& to) {
                this->perform(to, to.failover->onFenceAnswer(action.endpoint, action.term, answer, this->now));
            };
        };
        this->call(daemon, action.endpoint, handler, [this, action](FakeDaemon& to) {
            this->perform(to, to.failover->onFenceFailed(action.endpoint, action.term, this->now));
        });
    }

    void promote(FakeDaemon& daemon, const failover::Promote& action)
    {
        const auto handler = [this, action, claimant = this->claimant(daemon)](FakeEndpoint& endpoint) -> Reply {
            const auto answer = endpoint.promote({ action.term, claimant }, this->now);
            return [this, action, answer](FakeDaemon& to) {
                this->perform(to, to.failover->onPromoteAnswer(action.endpoint, action.term, answer, this->now));
            };
        };
        this->call(daemon, action.endpoint, handler, [this, action](FakeDaemon& to) {
            this->perform(to, to.failover->onPromoteFailed(action.endpoint, action.term, this->now));
        });
    }

    void requestOpinion(FakeDaemon& daemon, const failover::AskOpinions& action)
    {
        auto& peer = this->daemons[&daemon == &this->daemons[0] ? 1 : 0];
        const bool connected
            = !this->isCut(daemon.node, peer.node) && peer.downUntil <= this->now && peer.pausedUntil <= this->now;
        if (!connected)
            return;
        Opinion opinion { DaemonId(std::to_string(peer.node)), DataCentre(std::to_string(peer.node)), action.endpoint,
            peer.failover->highestTerm() };
        if (const auto contact = peer.contacts.find(action.endpoint); contact != peer.contacts.end())
            opinion.contactAge = this->now - contact->second;
        this->events.emplace(this->now + this->delay(), [this, &daemon, opinion, incarnation = daemon.incarnation] {
            this->runAtDaemon(daemon, incarnation,
                [this, opinion](FakeDaemon& to) { this->perform(to, to.failover->onOpinion(opinion, this->now)); });
        });
    }

    // Records an acknowledged write. Every primary of a later term must have it, whether it was promoted before or
    // after the acknowledgement.
    void acknowledge(const ExecutedWrite& write)
    {
        if (this->acknowledged++ > 0)
            this->longestGap = std::max(this->longestGap, this->now - this->lastAcknowledged);
        this->lastAcknowledged = this->now;
        this->acknowledgedWrites.push_back(write);
        for (const auto& [term, promoted] : this->primaryByTerm)
            this->checkHolds(term, promoted.log, write);
    }

    void checkPrimary(const FakeEndpoint& endpoint)
    {
        if (endpoint.role != EndpointRole::Primary)
            return;
        const auto [known, isNew] = this->primaryByTerm.emplace(endpoint.term, endpoint);
        if (!isNew && known->second.id != endpoint.id)
            this->violations.push_back("two primaries in term " + std::to_string(endpoint.term));
        if (!isNew)
            return;
        ++this->promotions;
        for (const auto& write : this->acknowledgedWrites)
            this->checkHolds(endpoint.term, endpoint.log, write);
    }

    void checkHolds(std::uint64_t term, const std::vector<LogRecord>& log, const ExecutedWrite& write)
    {
        const Position& position = write.position;
        if (position.term >= term)
            return;
        if (position.index > log.size() || log[position.index - 1] != LogRecord { position.term, write.ticket })
            this->violations.push_back("write " + toString(position) + " is missing in term " + std::to_string(term));
    }

    std::mt19937_64 random;
    SeededFault seeded;
    std::vector<FakeEndpoint> endpoints;
    std::vector<FakeDaemon> daemons;
    Time now {};
    std::multimap<Time, std::function<void()>> events;
    std::multiset<std::pair<int, int>> cutLinks;
    std::uint64_t lastWrite = 0;
    std::vector<ExecutedWrite> acknowledgedWrites;
    std::map<std::uint64_t, FakeEndpoint> primaryByTerm;
};

} // namespace endivetrestle::testing
