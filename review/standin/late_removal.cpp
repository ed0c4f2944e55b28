// Case "late removal": the call with which a stopping daemon removes its lease gets no answer and is done seconds
// later, when the restarted daemon has renewed that lease. A primary that drains meanwhile is replaced without the
// restarted daemon.
#include "scenario.hpp"

#include <csignal>

namespace review {

namespace {

constexpr const char* database = "orders";
constexpr const char* service = "shopdb";
// Time from SIGTERM's removal call until it is done, within the 1 to 6 s of the disruption.
constexpr std::chrono::milliseconds lateBy { 1600 };
constexpr std::chrono::milliseconds restartDelay { 300 };

struct Acknowledged {
    Position position;
    Clock::time_point at;
    std::string id;
};

} // namespace

class LateRemoval : public Scenario {
public:
    using Scenario::Scenario;

    asio::awaitable<int> run() override
    {
        Group group(this->context, { service, std::chrono::milliseconds(60), std::chrono::milliseconds(300) },
            this->address(200), this->record);
        Platform platform(this->context, this->address(200), this->record);
        platform.promote = [&](const std::string&, const std::string& id) { return group.promote(id); };
        platform.put("op", "config", configuration(3, { { database, "primary", service } }));
        group.publish(platform);
        Fleet fleet(4, this->folder, platform.port(), this->record);
        for (const auto& daemon : fleet.daemons)
            daemon->start();
        if (!co_await fleet.allReady(std::chrono::seconds(15)))
            co_return couldNotRun;
        co_await this->sleep(std::chrono::seconds(3));
        auto& restarted = *fleet.daemons.at(3);
        bool removalSeen = false;
        platform.trouble = [&](const nlohmann::json& body) {
            CallTrouble trouble;
            const auto& removals = body.at("Remove");
            const bool removesLease = removals.size() == 1 && removals[0].at("Key") == restarted.name;
            if (!removesLease || removalSeen)
                return trouble;
            removalSeen = true;
            this->record.write("store: removal of the lease of " + restarted.name + " arrives"
                + (this->trouble ? "; it is done late and not answered" : ""));
            if (this->trouble)
                trouble = { lateBy, false };
            return trouble;
        };
        // Planned work: one daemon is stopped and starts again.
        restarted.signal(SIGTERM);
        while (restarted.runs())
            co_await this->sleep(std::chrono::milliseconds(10));
        co_await this->sleep(restartDelay);
        restarted.start();
        const auto startedAt = Clock::now();
        while (!co_await fleet.ready(restarted)) {
            if (Clock::now() - startedAt > std::chrono::seconds(10))
                co_return couldNotRun;
            co_await this->sleep(std::chrono::milliseconds(10));
        }
        this->record.write("daemon " + restarted.name + ": ready again");
        while (this->trouble && platform.find("leases", restarted.name))
            co_await this->sleep(std::chrono::milliseconds(5));
        // Planned work: the primary is to be replaced.
        group.members.front()->draining = true;
        this->record.write("member " + group.members.front()->id + ": draining");
        co_return co_await this->compare(group, fleet);
    }

private:
    // Writes through the first daemon and reads through the restarted one, for six seconds.
    asio::awaitable<int> compare(Group& group, Fleet& fleet)
    {
        int stale = 0;
        int reads = 0;
        int writes = 0;
        const auto end = Clock::now() + std::chrono::seconds(6);
        Session writer(this->context);
        Session reader(this->context);
        if (!co_await writer.open(fleet.frontend(*fleet.daemons.at(0)), database)
            || !co_await reader.open(fleet.frontend(*fleet.daemons.at(3)), database))
            co_return couldNotRun;
        while (Clock::now() < end) {
            const auto number = std::to_string(++this->lastId);
            const auto written = co_await writer.query("w" + number, "WRITE stock " + number);
            this->log("write w" + number, written);
            if (!written.succeeded) {
                co_await this->sleep(std::chrono::milliseconds(20));
                continue;
            }
            ++writes;
            const auto read = co_await reader.query("r" + number, "READ stock");
            this->log("read r" + number, read);
            reads += read.succeeded ? 1 : 0;
            // The read was sent after the acknowledgement of the write, so it must see it.
            if (read.succeeded && read.row != number) {
                ++stale;
                this->record.write("STALE: r" + number + " got " + read.row + " although w" + number
                    + " was acknowledged before; the leader is " + group.leader()->id);
            }
        }
        this->record.write("writes acknowledged " + std::to_string(writes) + ", reads " + std::to_string(reads)
            + ", stale reads " + std::to_string(stale) + ", leader " + group.leader()->id);
        const bool replaced = group.leader() != group.members.front().get();
        if (!replaced || reads == 0)
            co_return couldNotRun;
        co_return stale > 0 ? ruleBroken : ruleHeld;
    }

    unsigned long lastId = 0;
};

std::unique_ptr<Scenario> makeLateRemoval(ScenarioContext context) { return std::make_unique<LateRemoval>(context); }

} // namespace review
