#include "process/durability/acknowledged_log.h"

#include <catch2/catch.hpp>

#include <string>

using namespace endivetrestle;

namespace {

const EndpointId e1("e1");
const EndpointId e2("e2");
const EndpointId e3("e3");

EndpointRecord record(const EndpointId& id, std::uint16_t port, std::int64_t start = 1)
{
    EndpointRecord result;
    result.id = id;
    result.address = { "10.0.0.1", port };
    result.processStartMs = start;
    return result;
}

// The primary e1 of term 3 and the replicas e2 and e3.
const CommitHolders holders { holderOf(record(e1, 1)), holderOf(record(e2, 2)), holderOf(record(e3, 3)) };

LogEvidence evidenceOf(const CommitHolders& recorded, const std::vector<EndpointRecord>& listed)
{
    LogEvidence evidence;
    evidence.syncReplicas = 1;
    evidence.oldPrimary = e1;
    evidence.term = 3;
    addMembers(evidence, recorded, listed);
    return evidence;
}

EndpointReport replica(std::uint64_t index, std::uint64_t term = 3) { return { false, term, { term, index } }; }

} // namespace

TEST_CASE("AcknowledgedLog, counts recorded holders that are not registered")
{
    // Guards against a proof by one replica while another one, of which only the record tells, is away (review/11).
    auto evidence = evidenceOf(holders, { record(e3, 3) });
    evidence.reports[e3] = replica(90);
    CHECK_FALSE(acknowledgedPosition(evidence));
    evidence.reports[e2] = replica(99);
    CHECK(acknowledgedPosition(evidence) == Position { 3, 99 });
    // The old primary proves it alone.
    evidence.reports.erase(e2);
    evidence.reports[e1] = replica(100);
    CHECK(acknowledgedPosition(evidence) == Position { 3, 100 });
    // Without synchronous replicas nothing is proven and nothing waits.
    evidence.reports.clear();
    evidence.syncReplicas = 0;
    CHECK(acknowledgedPosition(evidence) == Position {});
}

TEST_CASE("AcknowledgedLog, does not count the report of a process that was started later than the recorded one")
{
    // Guards against a replica that has lost its log and was filled again in part (trials-3/replica-without-its-log).
    auto evidence = evidenceOf(holders, { record(e2, 2, 5), record(e3, 3) });
    evidence.reports[e2] = replica(70);
    evidence.reports[e3] = replica(60);
    CHECK_FALSE(acknowledgedPosition(evidence));
    // Once the earlier process has left the list, the later one counts as any other.
    const CommitHolders present { holders[0], holderOf(record(e2, 2, 5)), holders[2] };
    evidence = evidenceOf(present, { record(e2, 2, 5), record(e3, 3) });
    evidence.reports[e2] = replica(70);
    evidence.reports[e3] = replica(60);
    CHECK(acknowledgedPosition(evidence) == Position { 3, 70 });
}

TEST_CASE("AcknowledgedLog, believes replicas only if the list is complete")
{
    // Guards against an endpoint that joined after a copy of the store was taken, and has the only copy of a commit.
    auto evidence = evidenceOf(holders, { record(e1, 1), record(e2, 2), record(e3, 3) });
    evidence.mayLackMembers = true;
    // A copy does not tell which endpoint leads.
    evidence.oldPrimary = EndpointId();
    evidence.reports[e2] = replica(99);
    evidence.reports[e3] = replica(90);
    CHECK_FALSE(acknowledgedPosition(evidence));
    evidence.reports[e1] = { true, 3, { 3, 100 } };
    CHECK(acknowledgedPosition(evidence) == Position { 3, 100 });
}

TEST_CASE("AcknowledgedLog, counts the endpoint that was handed a log instead of the one that had it")
{
    // Guards against waiting for a drained endpoint whose log lives on at its address.
    auto draining = holders;
    const auto who = GENERATE(0, 1);
    draining[static_cast<std::size_t>(who)].draining = true;
    const EndpointId e4("e4");
    const auto port = static_cast<std::uint16_t>(who + 1);
    auto evidence = evidenceOf(draining, { record(e3, 3), record(e4, port) });
    evidence.reports[e3] = replica(90);
    evidence.reports[e4] = replica(99);
    CAPTURE(who);
    CHECK(acknowledgedPosition(evidence) == Position { 3, 99 });
    // It proves nothing before it has the term.
    evidence.reports[e4] = replica(99, 2);
    CHECK_FALSE(acknowledgedPosition(evidence));
    // One that crashed hands over nothing.
    evidence = evidenceOf(holders, { record(e3, 3), record(e4, port) });
    evidence.reports[e3] = replica(90);
    evidence.reports[e4] = replica(99);
    CHECK_FALSE(acknowledgedPosition(evidence));
}
