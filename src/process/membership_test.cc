#include "process/membership.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>

using namespace endivetrestle;
using namespace std::chrono_literals;

namespace {

const Time start(1000s);

DaemonInfo daemon(const std::string& id, std::uint64_t incarnation = 1, DaemonState state = DaemonState::Alive)
{
    return { DaemonId(id), { "10.0.0.1", 7000 }, DataCentre("a"), Region("r"), incarnation, state };
}

LiveListEntry listed(const std::string& id, bool leaving = false)
{
    return { DaemonId(id), { "10.0.0.1", 7000 }, DataCentre("a"), Region("r"), leaving };
}

DaemonState stateOf(const Membership& membership, const std::string& id)
{
    const auto info = membership.find(DaemonId(id));
    REQUIRE(info);
    return info->state;
}

Membership withPeer()
{
    Membership membership(daemon("self"));
    membership.merge(start, daemon("peer"));
    return membership;
}

} // namespace

// Guards against a single lost call that changes the owners of databases, and against a dead daemon that stays an
// owner.
TEST_CASE("Membership, suspects a daemon and then declares it dead when calls to it keep failing")
{
    auto membership = withPeer();
    membership.reportFailure(start, DaemonId("peer"));
    CHECK(stateOf(membership, "peer") == DaemonState::Alive);
    membership.reportFailure(start, DaemonId("peer"));
    CHECK(stateOf(membership, "peer") == DaemonState::Suspected);
    CHECK(membership.nextDue() == start + 3s);
    membership.tick(start + 3s);
    CHECK(stateOf(membership, "peer") == DaemonState::Dead);
    membership.tick(start + 3s + 10min);
    CHECK_FALSE(membership.find(DaemonId("peer")));
}

// Guards against a live list that lags and revives a daemon that this daemon cannot reach.
TEST_CASE("Membership, keeps its own observation when the live list lags")
{
    auto membership = withPeer();
    membership.applyLiveList(start, { listed("self"), listed("peer"), listed("other") });
    CHECK(stateOf(membership, "other") == DaemonState::Alive);
    membership.reportFailure(start, DaemonId("peer"));
    membership.reportFailure(start, DaemonId("peer"));
    membership.applyLiveList(start + 1s, { listed("self"), listed("peer"), listed("other") });
    CHECK(stateOf(membership, "peer") == DaemonState::Suspected);
    membership.reportSuccess(start + 2s, DaemonId("other"));
    membership.applyLiveList(start + 2s, { listed("self") });
    CHECK(stateOf(membership, "other") == DaemonState::Alive);
    membership.applyLiveList(start + 3s, {});
    CHECK(stateOf(membership, "self") == DaemonState::Alive);
}

// Guards against daemons that the list has dropped and nobody calls, but that are still counted as alive.
TEST_CASE("Membership, suspects a daemon when the live list drops it and it was not reached")
{
    auto membership = withPeer();
    membership.applyLiveList(start, { listed("self"), listed("peer") });
    membership.applyLiveList(start + 5s, { listed("self") });
    CHECK(stateOf(membership, "peer") == DaemonState::Suspected);
    CHECK(membership.merge(start + 5s, daemon("peer", 2)));
    CHECK(stateOf(membership, "peer") == DaemonState::Alive);
}

// Guards against a wrongly suspected daemon that cannot refute the suspicion, and against endless refutations.
TEST_CASE("Membership, refutes with a higher incarnation when it is suspected itself")
{
    Membership self(daemon("self", 7));
    CHECK(self.merge(start, daemon("self", 7, DaemonState::Suspected)));
    CHECK(self.self().incarnation == 8);
    CHECK(self.self().state == DaemonState::Alive);
    CHECK_FALSE(self.merge(start, daemon("self", 7, DaemonState::Suspected)));
    CHECK_FALSE(self.merge(start, daemon("self", 8, DaemonState::Alive)));
    CHECK(self.merge(start, daemon("self", Membership::maxIncarnation, DaemonState::Dead)));
    CHECK(self.self().incarnation == Membership::maxIncarnation);

    Membership other(daemon("other"));
    other.merge(start, daemon("self", 7, DaemonState::Suspected));
    CHECK(other.merge(start, daemon("self", 8)));
    CHECK(stateOf(other, "self") == DaemonState::Alive);
}

// Guards against a daemon that is cut off from the network and makes others declare the whole fleet dead.
TEST_CASE("Membership, takes a gossiped death as a suspicion, and ignores it when it reached the daemon recently")
{
    auto membership = withPeer();
    membership.reportSuccess(start, DaemonId("peer"));
    CHECK_FALSE(membership.merge(start + 1s, daemon("peer", 1, DaemonState::Dead)));
    CHECK(membership.merge(start + 3s, daemon("peer", 1, DaemonState::Dead)));
    CHECK(stateOf(membership, "peer") == DaemonState::Suspected);
    CHECK_FALSE(membership.merge(start + 3s, daemon("unknown", 1, DaemonState::Dead)));
}

// Guards against a leaving daemon that is treated as alive, and against an old list entry that stops a new process.
TEST_CASE("Membership, marks a daemon as leaving when the live list or the daemon itself says so")
{
    auto membership = withPeer();
    membership.applyLiveList(start, { listed("self"), listed("peer", true) });
    CHECK(stateOf(membership, "peer") == DaemonState::Leaving);
    membership.merge(start, daemon("peer", 2));
    membership.applyLiveList(start + 1s, { listed("self"), listed("peer", true) });
    CHECK(stateOf(membership, "peer") == DaemonState::Alive);

    membership.applyLiveList(start + 2s, { listed("self", true), listed("peer", true) });
    CHECK(membership.self().state == DaemonState::Leaving);
    membership.applyLiveList(start + 3s, { listed("self"), listed("peer", true) });
    CHECK(membership.self().state == DaemonState::Alive);
    membership.leave(start + 4s);
    membership.applyLiveList(start + 5s, { listed("self", true), listed("peer", true) });
    membership.applyLiveList(start + 6s, { listed("self"), listed("peer", true) });
    CHECK(membership.self().state == DaemonState::Leaving);
}

// Guards against deltas that miss a change, and against unbounded memory for daemons that do not exist.
TEST_CASE("Membership, returns changed entries once and limits the number of entries")
{
    MembershipSettings settings;
    settings.maxDaemons = 10;
    Membership membership(daemon("self"), settings);
    for (int index = 0; index < 100; ++index)
        membership.merge(start, daemon("invented-" + std::to_string(index), 1, DaemonState::Suspected));
    CHECK(membership.size() == 10);
    const auto sequence = membership.sequence();
    CHECK(membership.deltasSince(0, 100).size() == 10);
    CHECK(membership.deltasSince(0, 3).size() == 3);
    CHECK(membership.deltasSince(sequence, 100).empty());
    membership.tick(start + 3s);
    CHECK(membership.merge(start + 4s, daemon("real")));
    const auto deltas = membership.deltasSince(membership.sequence() - 1, 100);
    REQUIRE(deltas.size() == 1);
    CHECK(deltas[0].info.id == DaemonId("real"));
    CHECK(membership.size() == 10);
}

// Guards against views that depend on the order in which messages arrive.
TEST_CASE("Membership, reaches the same view when messages arrive in another order")
{
    rc::prop("order does not matter", [] {
        std::vector<DaemonInfo> messages;
        for (std::size_t count = *rc::gen::inRange(1, 12); count > 0; --count)
            messages.push_back(daemon("peer", *rc::gen::inRange(1, 4),
                *rc::gen::element(DaemonState::Alive, DaemonState::Suspected, DaemonState::Leaving)));
        Membership first(daemon("self"));
        Membership second(daemon("self"));
        for (const auto& message : messages)
            first.merge(start, message);
        for (auto message = messages.rbegin(); message != messages.rend(); ++message)
            second.merge(start, *message);
        RC_ASSERT(first.find(DaemonId("peer")) == second.find(DaemonId("peer")));
    });
}
