// Case "late cut": two of three daemons of a zone are stopped. As fewer than half of the zone's daemons are in
// rotation, the balancer uses all of them, so requests reach the stopping daemons until they end.
#include "scenario.hpp"

#include <csignal>
#include <map>
#include <set>

namespace review {

namespace {

constexpr const char* database = "lookups";
constexpr const char* service = "ledger";
constexpr std::chrono::milliseconds work { 40 };
constexpr std::chrono::milliseconds arrivalInterval { 5 };
constexpr double graceSeconds = 6;
constexpr double routeTimeoutSeconds = 0.8;

} // namespace

class LateCut : public Scenario {
public:
    using Scenario::Scenario;

    asio::awaitable<int> run() override
    {
        GroupSettings settings;
        settings.service = service;
        settings.work = work;
        settings.slots = 5;
        settings.maxConnections = 55;
        Group group(this->context, settings, this->address(200), this->record);
        Platform platform(this->context, this->address(200), this->record);
        platform.promote = [&](const std::string&, const std::string& id) { return group.promote(id); };
        platform.put("op", "config", configuration(3, { { database, "bounded_staleness", service } }));
        group.publish(platform);
        Fleet daemons(3, this->folder, platform.port(), this->record);
        this->fleet = &daemons;
        this->group = &group;
        for (const auto& daemon : daemons.daemons)
            daemon->start();
        if (!co_await daemons.allReady(std::chrono::seconds(15)))
            co_return couldNotRun;
        asio::co_spawn(this->context, this->balance(), asio::detached);
        co_await this->sleep(std::chrono::seconds(3));
        asio::co_spawn(this->context, this->arrivals(), asio::detached);
        co_await this->sleep(std::chrono::seconds(3));
        this->stoppedAt = Clock::now();
        if (this->trouble) {
            daemons.daemons.at(1)->signal(SIGTERM);
            daemons.daemons.at(2)->signal(SIGTERM);
        }
        co_await this->sleep(std::chrono::milliseconds(static_cast<int>((graceSeconds + 1) * 1000)));
        this->stopped = true;
        co_await this->sleep(std::chrono::seconds(1));
        for (const auto& daemon : daemons.daemons)
            (void)daemon->runs();
        this->record.write("requests answered " + std::to_string(this->answered) + ", of them by stopping daemons "
            + std::to_string(this->answeredWhileStopping) + ", refused " + std::to_string(this->refused)
            + ", not accepted " + std::to_string(this->notAccepted) + ", cut " + std::to_string(this->cut)
            + ", of them in breach of LOST " + std::to_string(this->lost));
        co_return this->answered == 0 ? couldNotRun : this->lost > 0 ? ruleBroken : ruleHeld;
    }

private:
    // The platform's balancer: asks each daemon once a second, and takes it out after two misses.
    asio::awaitable<void> balance()
    {
        while (!this->stopped) {
            for (std::size_t i = 0; i < this->fleet->daemons.size(); ++i) {
                const bool ready = co_await this->fleet->ready(*this->fleet->daemons[i]);
                this->misses[i] = ready ? 0 : this->misses[i] + 1;
                if (this->misses[i] == 2)
                    this->record.write("balancer: " + this->fleet->daemons[i]->name + " is out of rotation");
            }
            co_await this->sleep(std::chrono::seconds(1));
        }
    }

    // Daemon for a new connection. All are used if fewer than half are in rotation.
    Daemon& pick()
    {
        std::vector<std::size_t> inRotation;
        for (std::size_t i = 0; i < this->fleet->daemons.size(); ++i) {
            if (this->misses[i] < 2)
                inRotation.push_back(i);
        }
        const bool useAll = inRotation.size() * 2 < this->fleet->daemons.size();
        const auto next = this->lastPick++;
        if (useAll)
            return *this->fleet->daemons[next % this->fleet->daemons.size()];
        return *this->fleet->daemons[inRotation[next % inRotation.size()]];
    }

    asio::awaitable<void> arrivals()
    {
        while (!this->stopped) {
            asio::co_spawn(this->context, this->request(), asio::detached);
            co_await this->sleep(arrivalInterval);
        }
    }

    // One session for a single read.
    asio::awaitable<void> request()
    {
        auto& daemon = this->pick();
        const bool stopping = &daemon != this->fleet->daemons.front().get();
        const auto id = "q" + std::to_string(++this->lastId);
        Session session(this->context);
        if (!co_await session.open(this->fleet->frontend(daemon), database)) {
            ++this->notAccepted;
            co_return;
        }
        const auto reply = co_await session.query(id, "READ start");
        session.close();
        if (reply.whole) {
            ++(reply.succeeded ? this->answered : this->refused);
            this->answeredWhileStopping += reply.succeeded && stopping && this->sinceStop(reply.sentAt) > 0 ? 1 : 0;
            co_return;
        }
        ++this->cut;
        this->log(id + " through " + daemon.name, reply);
        const double sent = this->sinceStop(reply.sentAt);
        const double ended = this->sinceStop(reply.answeredAt);
        const bool passedOn = this->group->ran.count(id) != 0;
        // Requests that were sent no later than 3 s after the SIGTERM are left out, although the rule excuses only
        // some.
        const bool counts = this->trouble && stopping && passedOn && sent > 3 && ended <= graceSeconds + 1
            && ended - sent < routeTimeoutSeconds;
        this->record.write((counts ? "LOST: " : "cut, not counted: ") + id + " was sent to " + daemon.name + " "
            + std::to_string(sent) + " s after its SIGTERM, " + (passedOn ? "ran" : "did not run")
            + " at a member, and its connection ended without an answer after " + std::to_string(ended - sent) + " s");
        this->lost += counts ? 1 : 0;
    }

    [[nodiscard]] double sinceStop(Clock::time_point time) const
    {
        return std::chrono::duration<double>(time - this->stoppedAt).count();
    }

    Fleet* fleet = nullptr;
    Group* group = nullptr;
    std::map<std::size_t, int> misses;
    std::size_t lastPick = 0;
    unsigned long lastId = 0;
    bool stopped = false;
    Clock::time_point stoppedAt = Clock::time_point::max();
    int answered = 0;
    int answeredWhileStopping = 0;
    int refused = 0;
    int notAccepted = 0;
    int cut = 0;
    int lost = 0;
};

std::unique_ptr<Scenario> makeLateCut(ScenarioContext context) { return std::make_unique<LateCut>(context); }

} // namespace review
