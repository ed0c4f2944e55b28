#include "connection/connection_eviction.h"

#include <catch2/catch.hpp>

using namespace endivetrestle;
using namespace std::chrono_literals;

namespace {

constexpr Time start { 1000s };
const EvictionQuestions nobodyWaits { [](const WorkspaceId&) { return false; } };

EndpointConnection& addIdle(EndpointState& endpoint, ConnectionId id, const char* workspace, Time idleSince)
{
    auto& connection = endpoint.connections[id];
    connection.id = id;
    connection.workspace = WorkspaceId(workspace);
    connection.phase = EndpointConnection::Phase::Idle;
    connection.idleSince = idleSince;
    connection.served = true;
    return connection;
}

} // namespace

TEST_CASE("leastNeededConnection, chooses the workspace with the fewest recent statements")
{
    // Guards against closing the connection of a busy workspace that happens to be idle the longest.
    EndpointState endpoint { EndpointRecord() };
    addIdle(endpoint, 1, "busy", start - 2s);
    addIdle(endpoint, 2, "quiet", start - 1s);
    for (int i = 0; i < 10; ++i)
        endpoint.demand.add(WorkspaceId("busy"), start - 2s);
    endpoint.demand.add(WorkspaceId("quiet"), start - 1s);
    CHECK(leastNeededConnection(endpoint, nobodyWaits, start)->id == 2);
}

TEST_CASE("leastNeededConnection, prefers a second idle connection to the only one of a quieter workspace")
{
    EndpointState endpoint { EndpointRecord() };
    addIdle(endpoint, 1, "busy", start - 10ms);
    addIdle(endpoint, 2, "busy", start - 20ms);
    addIdle(endpoint, 3, "quiet", start - 1s);
    for (int i = 0; i < 20; ++i)
        endpoint.demand.add(WorkspaceId("busy"), start);
    endpoint.demand.add(WorkspaceId("quiet"), start);
    CHECK(leastNeededConnection(endpoint, nobodyWaits, start)->id == 2);
}

TEST_CASE("leastNeededConnection, never chooses a connection in use")
{
    EndpointState endpoint { EndpointRecord() };
    for (const auto phase : { EndpointConnection::Phase::Running, EndpointConnection::Phase::Pinned,
             EndpointConnection::Phase::Ending, EndpointConnection::Phase::Opening }) {
        addIdle(endpoint, 1, "a", start).phase = phase;
        CHECK(leastNeededConnection(endpoint, nobodyWaits, start) == nullptr);
    }
}

TEST_CASE("leastNeededConnection, keeps a connection that has not served the statement for which it was opened")
{
    // Guards against two workspaces that close each other's connections without running anything.
    EndpointState endpoint { EndpointRecord() };
    addIdle(endpoint, 1, "a", start).served = false;
    const EvictionQuestions waits { [](const WorkspaceId&) { return true; } };
    CHECK(leastNeededConnection(endpoint, waits, start) == nullptr);
    // Its statement has left the queue, or waits for something else.
    CHECK(leastNeededConnection(endpoint, nobodyWaits, start) != nullptr);
    CHECK(leastNeededConnection(endpoint, waits, start + unservedProtection) != nullptr);
}

TEST_CASE("leastNeededConnection, prefers workspaces of which no statement waits")
{
    EndpointState endpoint { EndpointRecord() };
    addIdle(endpoint, 1, "waiting", start - 5s);
    addIdle(endpoint, 2, "other", start - 1s);
    endpoint.demand.add(WorkspaceId("other"), start);
    const EvictionQuestions questions { [](const WorkspaceId& id) { return id.value == "waiting"; } };
    CHECK(leastNeededConnection(endpoint, questions, start)->id == 2);
}

TEST_CASE("WorkspaceDemand, decays and forgets workspaces that send nothing")
{
    // Guards against memory that grows with every workspace ever seen.
    WorkspaceDemand demand;
    demand.add(WorkspaceId("a"), start);
    const double rate = demand.perSecond(WorkspaceId("a"), start);
    CHECK(rate > 0);
    CHECK(demand.perSecond(WorkspaceId("a"), start + 20s) < rate / 2);
    CHECK(demand.perSecond(WorkspaceId("b"), start) == 0);
    demand.prune(start + 20s);
    CHECK(demand.size() == 1);
    demand.prune(start + 10min);
    CHECK(demand.size() == 0);
}
