// Case "revived lease": a daemon is cut off until its lease has ended and a primary has been replaced without it. As
// the cut heals, the daemon hears of a later claim for another database, and others witness its lease again although it
// does not know of the first claim.
#include "link.hpp"
#include "scenario.hpp"

namespace review {

namespace {

constexpr const char* database = "orders";
constexpr const char* otherDatabase = "bookings";
constexpr const char* service = "shopdb";
constexpr const char* otherService = "ledger";
// Time by which the path to the store is back later than the paths to the other daemon.
constexpr std::chrono::milliseconds storeHealsLater { 1500 };

bool isReplacing(const Platform& platform, const std::string& group)
{
    const auto row = platform.find("fleet", "primary/" + group);
    return row && nlohmann::json::parse(*row).at("replacing") == true;
}

} // namespace

class RevivedLease : public Scenario {
public:
    using Scenario::Scenario;

    asio::awaitable<int> run() override
    {
        GroupSettings settings { service, std::chrono::milliseconds(60), std::chrono::milliseconds(300) };
        Group group(this->context, settings, this->address(200), this->record);
        settings.service = otherService;
        Group other(this->context, settings, this->address(201), this->record);
        Platform platform(this->context, this->address(200), this->record);
        platform.promote = [&](const std::string& name, const std::string& id) {
            return name == service ? group.promote(id) : other.promote(id);
        };
        platform.put("op", "config",
            configuration(3, { { database, "primary", service }, { otherDatabase, "primary", otherService } }));
        group.publish(platform);
        other.publish(platform);
        Fleet fleet(4, this->folder, platform.port(), this->record);
        // The last daemon is the one that is cut off. Its calls to the store and all calls between daemons pass links.
        auto& cutOff = *fleet.daemons.back();
        Link store(this->context, { this->address(202), 0 }, { this->address(200), platform.port() },
            [](const asio::ip::tcp::endpoint&) { return true; });
        std::list<Link> peerLinks;
        for (const auto& daemon : fleet.daemons) {
            const auto ip = asio::ip::make_address(daemon->ip);
            const bool toCutOff = daemon.get() == &cutOff;
            const Link::Concerned concerned = [&cutOff, toCutOff](const asio::ip::tcp::endpoint& caller) {
                return toCutOff || cutOff.owns(caller);
            };
            auto& peers = peerLinks.emplace_back(this->context, asio::ip::tcp::endpoint { this->address(202), 0 },
                asio::ip::tcp::endpoint { ip, Fleet::peerPort }, concerned);
            auto& forward = peerLinks.emplace_back(this->context, asio::ip::tcp::endpoint { this->address(202), 0 },
                asio::ip::tcp::endpoint { ip, Fleet::peerPort + 1 }, concerned);
            const auto prefix = Fleet::network() + "202:";
            daemon->settings += "[Advertise]\nPeers = \"" + prefix + std::to_string(peers.port()) + "\"\nForward = \""
                + prefix + std::to_string(forward.port()) + "\"\n";
        }
        const auto direct = "[platform]\nAddress = \"" + Fleet::network() + "200:" + std::to_string(platform.port());
        const auto place = cutOff.settings.find(direct);
        cutOff.settings.replace(place, direct.size(),
            "[platform]\nAddress = \"" + Fleet::network() + "202:" + std::to_string(store.port()));
        for (const auto& daemon : fleet.daemons)
            daemon->start();
        if (!co_await fleet.allReady(std::chrono::seconds(15)))
            co_return couldNotRun;
        co_await this->sleep(std::chrono::seconds(6));

        const auto cutAt = this->record.seconds();
        const auto setCut = [&](bool value) {
            for (auto& link : peerLinks)
                link.setCut(value && this->trouble);
        };
        this->record.write("cut: " + cutOff.name + " from the store and from the other daemons");
        store.setCut(this->trouble);
        setCut(true);
        co_await this->sleep(std::chrono::milliseconds(200));
        // Planned work: the primary of the first database is to be replaced.
        group.members.front()->draining = true;
        if (!co_await this->until([&] { return group.leader() != group.members.front().get(); })
            || !co_await this->until([&] { return !isReplacing(platform, service); }))
            co_return couldNotRun;
        // The announcement of the new primary is lost in the cut.
        co_await this->sleep(std::chrono::milliseconds(1500));
        // Planned work: the primary of the other database is to be replaced.
        other.members.front()->draining = true;
        if (!co_await this->until(
                [&] { return isReplacing(platform, otherService) || other.leader() != other.members.front().get(); }))
            co_return couldNotRun;
        setCut(false);
        this->record.write(
            "cut: the daemons reach each other again after " + std::to_string(this->record.seconds() - cutAt) + " s");
        this->heal(store, cutAt);
        co_return co_await this->compare(group, fleet);
    }

private:
    template <typename Condition> asio::awaitable<bool> until(Condition condition)
    {
        const auto end = Clock::now() + std::chrono::seconds(20);
        while (!condition()) {
            if (Clock::now() > end)
                co_return false;
            co_await this->sleep(std::chrono::milliseconds(2));
        }
        co_return true;
    }

    void heal(Link& store, double cutAt)
    {
        const auto timer = std::make_shared<asio::steady_timer>(this->context, storeHealsLater);
        timer->async_wait([this, timer, &store, cutAt](const asio::error_code& error) {
            if (error)
                return;
            store.setCut(false);
            this->record.write(
                "cut: the store is reached again after " + std::to_string(this->record.seconds() - cutAt) + " s");
        });
    }

    // Writes through the first daemon and reads through the one that was cut off, for six seconds.
    asio::awaitable<int> compare(Group& group, Fleet& fleet)
    {
        int stale = 0;
        int reads = 0;
        int writes = 0;
        const auto end = Clock::now() + std::chrono::seconds(6);
        Session writer(this->context);
        Session reader(this->context);
        if (!co_await writer.open(fleet.frontend(*fleet.daemons.at(0)), database)
            || !co_await reader.open(fleet.frontend(*fleet.daemons.back()), database))
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
            if (!read.whole)
                co_return couldNotRun;
        }
        this->record.write("writes acknowledged " + std::to_string(writes) + ", reads " + std::to_string(reads)
            + ", stale reads " + std::to_string(stale) + ", leader " + group.leader()->id);
        if (reads == 0)
            co_return couldNotRun;
        co_return stale > 0 ? ruleBroken : ruleHeld;
    }

    unsigned long lastId = 0;
};

std::unique_ptr<Scenario> makeRevivedLease(ScenarioContext context) { return std::make_unique<RevivedLease>(context); }

} // namespace review
