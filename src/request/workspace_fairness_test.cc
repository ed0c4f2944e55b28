#include "request/workspace_fairness.h"

#include <catch2/catch.hpp>

using namespace endivetrestle;
using namespace std::chrono_literals;

namespace {

const WorkspaceId hot("hot");
const WorkspaceId quiet("quiet");

} // namespace

TEST_CASE("WorkspaceFairness, shares slot time evenly between workspaces that compete")
{
    // Guards against shares by number of statements, with which long statements take more than their part.
    WorkspaceFairness fairness;
    fairness.onWaiting(hot);
    fairness.onWaiting(quiet);
    Duration used[2] = {};
    for (int i = 0; i < 300; ++i) {
        const bool hotFirst = fairness.tagOf(hot) < fairness.tagOf(quiet);
        const auto cost = hotFirst ? 40ms : 10ms;
        fairness.onStarted(hotFirst ? hot : quiet, 10ms);
        fairness.charge(hotFirst ? hot : quiet, cost - 10ms);
        used[hotFirst ? 0 : 1] += cost;
    }
    CHECK(toMilliseconds(used[0] - used[1]) == Approx(0).margin(50));
}

TEST_CASE("WorkspaceFairness, lets a workspace that returns neither save up time nor pay for the time of others")
{
    WorkspaceFairness fairness;
    fairness.onWaiting(quiet);
    fairness.onWaiting(hot);
    fairness.onStarted(quiet, 10ms);
    for (int i = 0; i < 100; ++i)
        fairness.onStarted(hot, 10ms);
    // Its tag of before would let the returning workspace run a hundred statements first.
    fairness.onWaiting(quiet);
    CHECK(fairness.tagOf(quiet) >= 980ms);
    CHECK(fairness.tagOf(quiet) <= fairness.tagOf(hot));
}

TEST_CASE("WorkspaceFairness, forgets all workspaces when none waits")
{
    // Guards against memory that grows with every workspace ever seen, and against debts from times without
    // competition.
    WorkspaceFairness fairness;
    fairness.onWaiting(hot);
    fairness.onStarted(hot, 1s);
    fairness.onNoneWaiting();
    CHECK(fairness.size() == 0);
    CHECK(fairness.tagOf(hot) == fairness.tagOf(quiet));
}
