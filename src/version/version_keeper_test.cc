#include "version/version_keeper.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace endivetrestle;
using namespace std::chrono_literals;

namespace {

const Time start(1000s);
const DaemonId peerA("peer-a");
const DaemonId peerB("peer-b");

std::shared_ptr<const Configuration> version(std::uint64_t number)
{
    return std::make_shared<const Configuration>(ConfigurationDocument { number, {}, {} });
}

VersionHint hint(std::uint64_t number, const DaemonId& from) { return { number, version(number)->hash(), from }; }

StoreAnswer row(std::uint64_t number)
{
    return { StoreStatus::Ok, serialiseRow({ number, version(number)->hash(), { { number, "plan" } } }), 1 };
}

VersionKeeper keeper()
{
    return VersionKeeper({}, [](std::uint64_t) { return 0; });
}

template <typename Action> std::size_t countOf(const std::vector<KeeperAction>& actions)
{
    std::size_t count = 0;
    for (const auto& action : actions)
        count += std::holds_alternative<Action>(action) ? 1 : 0;
    return count;
}

std::uint64_t currentOf(const VersionKeeper& keeper) { return keeper.current() ? keeper.current()->version() : 0; }

void adopt(VersionKeeper& keeper, std::uint64_t number)
{
    keeper.onHint(start, hint(number, peerA));
    REQUIRE(countOf<AdoptVersion>(keeper.onPeerBody(start, peerA, version(number)->text())) == 1);
}

} // namespace

// Guards against a restarted daemon that waits for the store although peers have the configuration.
TEST_CASE("VersionKeeper, takes the newest version that peers offer when the store does not answer")
{
    auto keeper = ::keeper();
    auto actions = keeper.start(start);
    CHECK(countOf<PollStore>(actions) == 1);
    CHECK(countOf<GossipWithPeer>(actions) == 1);
    CHECK(keeper.onPolled(start, { StoreStatus::Unavailable, "", 0 }).empty());
    actions = keeper.onHint(start, hint(7, peerA));
    CHECK(actions == std::vector<KeeperAction> { FetchFromPeer { peerA, 7 } });
    CHECK(keeper.onHint(start, hint(8, peerB)).empty());
    actions = keeper.onPeerBody(start, peerA, version(7)->text());
    REQUIRE(actions.size() == 2);
    CHECK(std::get<AdoptVersion>(actions[0]).configuration->version() == 7);
    CHECK(actions[1] == KeeperAction(FetchFromPeer { peerB, 8 }));
    keeper.onPeerBody(start, peerB, version(8)->text());
    CHECK(currentOf(keeper) == 8);
    CHECK(countOf<GossipWithPeer>(keeper.tick(start + 1s)) == 1);
    keeper.onPolled(start + 2s, { StoreStatus::NotFound, "", 0 });
    CHECK(countOf<GossipWithPeer>(keeper.tick(start + 3s)) == 0);
    CHECK(currentOf(keeper) == 8);
}

// Guards against I9: a version that reverts because a peer or the store answers with an older one.
TEST_CASE("VersionKeeper, never adopts an older version whatever peers and the store answer")
{
    rc::prop("the version only grows", [] {
        auto tested = keeper();
        tested.start(start);
        auto now = start;
        std::uint64_t last = 0;
        for (int step = 0; step < 60; ++step) {
            const auto number = *rc::gen::inRange<std::uint64_t>(1, 20);
            const auto peer = *rc::gen::element(peerA, peerB);
            now += std::chrono::milliseconds(*rc::gen::inRange(0, 4000));
            const auto text = version(number)->text();
            switch (*rc::gen::inRange(0, 6)) {
            case 0:
                tested.onHint(now, hint(number, peer));
                break;
            case 1:
                tested.onPeerBody(now, peer, text);
                break;
            case 2:
                tested.onPolled(now, row(number));
                break;
            case 3:
                tested.onStoreBody(now, { StoreStatus::Ok, text, 0 });
                break;
            case 4:
                tested.onAccepted(now, version(number));
                break;
            default:
                tested.tick(now);
            }
            RC_ASSERT(currentOf(tested) >= last);
            last = currentOf(tested);
        }
    });
}

// Guards against a damaged or forged configuration that comes into force, and against a faulty peer that blocks others.
TEST_CASE("VersionKeeper, refuses a body with another hash and asks another peer")
{
    auto tested = keeper();
    adopt(tested, 3);
    CHECK(countOf<FetchFromPeer>(tested.onHint(start, { 1ULL << 63U, std::string(64, 'a'), peerA })) == 1);
    CHECK(tested.onHint(start, { 5, "short", peerB }).empty());
    tested.onHint(start, hint(4, peerB));
    auto actions = tested.onPeerBody(start, peerA, version(9)->text());
    CHECK(actions == std::vector<KeeperAction> { FetchFromPeer { peerB, 4 } });
    CHECK(tested.refusedBodies() == 1);
    CHECK(countOf<AdoptVersion>(tested.onPeerBody(start, peerB, version(4)->text())) == 1);
    // The faulty peer is not asked again until its backoff has ended.
    CHECK(tested.onHint(start + 1s, { 1ULL << 63U, std::string(64, 'a'), peerA }).empty());
    CHECK(tested.nextDue() <= start + 2s);
    CHECK(countOf<FetchFromPeer>(tested.tick(start + 2s)) == 1);
    CHECK(tested.onPeerBody(start + 2s, peerA, "{").empty());
    CHECK(currentOf(tested) == 4);
}

// Guards against a peer that never answers and keeps the daemon from newer versions.
TEST_CASE("VersionKeeper, gives up a fetch when it is not answered in time")
{
    auto tested = keeper();
    adopt(tested, 3);
    tested.onHint(start, hint(4, peerA));
    CHECK(countOf<FetchFromPeer>(tested.onHint(start, hint(4, peerB))) == 0);
    CHECK(countOf<FetchFromPeer>(tested.tick(start + 2s)) == 0);
    const auto actions = tested.tick(start + 3s);
    CHECK(actions.front() == KeeperAction(FetchFromPeer { peerB, 4 }));
}

// Guards against a daemon that gossip does not reach, and against fetches from the object store when a peer can serve
// the configuration.
TEST_CASE("VersionKeeper, follows the store's row and prefers peers that have the version")
{
    auto tested = keeper();
    tested.start(start);
    const FetchFromStore fromStore { configurationObjectKey(2, version(2)->hash()), 2 };
    CHECK(tested.onPolled(start, row(2)) == std::vector<KeeperAction> { fromStore });
    CHECK(tested.onStoreBody(start, { StoreStatus::Unavailable, "", 0 }).empty());
    CHECK(tested.nextDue() <= start + 6s);
    CHECK(tested.tick(start + 6s).front() == KeeperAction(fromStore));
    CHECK(countOf<AdoptVersion>(tested.onStoreBody(start + 6s, { StoreStatus::Ok, version(2)->text(), 0 })) == 1);
    // A hint with another hash than the row's is not followed.
    tested.onPolled(start + 7s, row(3));
    tested.onStoreBody(start + 7s, { StoreStatus::Unavailable, "", 0 });
    CHECK(tested.onHint(start + 7s, { 3, std::string(64, 'b'), peerA }).empty());
    CHECK(tested.onHint(start + 7s, hint(3, peerB)) == std::vector<KeeperAction> { FetchFromPeer { peerB, 3 } });
}

// Guards against polls of the whole fleet at the same time, and against polls that stop after a lost answer.
TEST_CASE("VersionKeeper, polls with jitter and polls again when an answer is lost")
{
    for (const std::uint64_t percent : { 0U, 50U, 100U }) {
        VersionKeeper tested({}, [percent](std::uint64_t bound) { return (bound - 1) * percent / 100; });
        tested.start(start);
        tested.onPolled(start, { StoreStatus::NotFound, "", 0 });
        CHECK(tested.nextDue() == start + 24s + 12s * static_cast<int>(percent) / 100);
        const auto due = tested.nextDue();
        CHECK(countOf<PollStore>(tested.tick(due)) == 1);
        CHECK(countOf<PollStore>(tested.tick(due + 3s)) == 0);
        CHECK(countOf<PollStore>(tested.tick(due + 9s)) == 1);
    }
}

// Guards against a report that grows without bound or keeps what daemons said before a restart.
TEST_CASE("VersionKeeper, tells which daemons report which version, up to a maximum number of peers")
{
    VersionKeeperSettings settings;
    settings.maxPeers = 3;
    VersionKeeper tested(settings, [](std::uint64_t) { return 0; });
    adopt(tested, 5);
    tested.onInForce(peerB, 9);
    tested.onHint(start, hint(4, peerB));
    tested.onInForce(DaemonId("c"), 5);
    tested.onInForce(DaemonId("c"), 3);
    tested.onInForce(DaemonId("d"), 5);
    tested.onHint(start, hint(6, DaemonId("e")));
    CHECK(tested.inForceView(10).counts == std::map<std::uint64_t, std::size_t> { { 4, 1 }, { 5, 2 } });
    CHECK(tested.inForceView(10).behind == std::vector<DaemonId> { peerB });
    tested.forgetDaemon(peerB);
    CHECK(tested.inForceView(10).behind.empty());
    CHECK(tested.newestKnown() == 5);
}
