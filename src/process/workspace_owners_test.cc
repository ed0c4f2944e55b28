#include "process/workspace_owners.h"

#include <catch2/catch.hpp>

#include <set>

using namespace endivetrestle;
using namespace std::chrono_literals;

namespace {

constexpr Time start { 1000s };
const DatabaseId group { "shop" };
const WorkspaceId workspace { "w1" };

std::vector<DaemonId> daemons(int count)
{
    std::vector<DaemonId> ids;
    for (int i = 0; i < count; ++i)
        ids.emplace_back("d" + std::to_string(i));
    return ids;
}

WorkspaceOwners ownersSeenBy(const std::string& self, const std::vector<DaemonId>& owners)
{
    WorkspaceOwners result { DaemonId(self) };
    result.setOwners(group, owners);
    return result;
}

} // namespace

// Guards against daemons that send a workspace to different owners, each of which then opens connections for it.
TEST_CASE("WorkspaceOwners, gives all daemons the same order and runs a statement here when this daemon comes first")
{
    const auto all = daemons(4);
    const auto order = ownersSeenBy("outside", all).targets(group, workspace, false, start);
    REQUIRE(order.size() == 4);
    CHECK(std::set<DaemonId>(order.begin(), order.end()).size() == 4);
    CHECK(ownersSeenBy(order[0].value, all).targets(group, workspace, true, start).empty());
    CHECK(ownersSeenBy(order[1].value, all).targets(group, workspace, true, start) == std::vector { order[0] });
    CHECK(
        ownersSeenBy(order[3].value, all).targets(group, workspace, true, start) == std::vector { order[0], order[1] });
}

// Guards against a daemon that keeps statements which it cannot run.
TEST_CASE("WorkspaceOwners, leaves out this daemon when it has no access to the endpoints")
{
    const auto all = daemons(3);
    const auto order = ownersSeenBy("outside", all).targets(group, workspace, false, start);
    const auto others = ownersSeenBy(order[0].value, all).targets(group, workspace, false, start);
    CHECK(others == std::vector { order[1], order[2] });
}

// Guards against more connections for a workspace than its owner was given, and against a daemon that owns nothing and
// opens connections although owners are left.
TEST_CASE("WorkspaceOwners, tries few owners")
{
    CHECK(ownersSeenBy("outside", daemons(8)).targets(group, workspace, false, start).size()
        == WorkspaceOwners::maxTriedByOther);
    CHECK(ownersSeenBy("outside", {}).targets(group, workspace, false, start).empty());
}

TEST_CASE("WorkspaceOwners, sends statements to the second owner as well when the first one is overloaded")
{
    const auto all = daemons(4);
    const auto order = ownersSeenBy("outside", all).targets(group, workspace, false, start);
    auto owners = ownersSeenBy(order[0].value, all);
    owners.targets(group, workspace, true, start);
    bool began = false;
    // An empty name stands for this daemon.
    for (int i = 0; i < OverloadSpread::overloadThreshold; ++i)
        began = owners.report(group, workspace, DaemonId(), true, start);
    CHECK(began);
    CHECK(owners.targets(group, workspace, true, start) == std::vector { order[1] });
    CHECK(owners.targets(group, workspace, true, start).empty());
    CHECK(
        owners.targets(group, WorkspaceId("w2"), true, start) == owners.targets(group, WorkspaceId("w2"), true, start));
}

// Guards against orders of owners that have gone, and against memory that grows with the number of workspaces.
TEST_CASE("WorkspaceOwners, drops orders when the owners change or too many are kept")
{
    auto owners = ownersSeenBy("outside", daemons(4));
    const auto before = owners.targets(group, workspace, false, start);
    CHECK_FALSE(owners.setOwners(group, daemons(4)));
    CHECK(owners.size() == 1);
    auto fewer = daemons(4);
    std::erase(fewer, before[0]);
    CHECK(owners.setOwners(group, fewer));
    CHECK(owners.size() == 0);
    CHECK(owners.targets(group, workspace, false, start) == std::vector { before[1], before[2], before[3] });
    for (std::size_t i = 0; i < 2 * WorkspaceOwners::maxOrders; ++i)
        owners.targets(group, WorkspaceId("w" + std::to_string(i)), false, start);
    CHECK(owners.size() <= WorkspaceOwners::maxOrders);
}

// Guards against spreading because of refusals for which the owner's load is not the reason.
TEST_CASE("WorkspaceOwners, takes long waits and refusals of the queue for overload")
{
    StatementResult result;
    result.answer.succeeded = true;
    CHECK_FALSE(showsOverload(result, 400ms, 150ms));
    CHECK(showsOverload(result, 400ms, 250ms));
    CHECK_FALSE(showsOverload(result, 0ms, 250ms));
    result.answer.succeeded = false;
    result.answer.code = ReplyCode::Busy;
    result.reason = "queue_timeout";
    CHECK(showsOverload(result, 400ms, 1ms));
    result.reason = "lease_expired";
    CHECK_FALSE(showsOverload(result, 400ms, 300ms));
}
