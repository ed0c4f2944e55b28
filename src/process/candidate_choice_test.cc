#include "process/candidate_choice.h"

#include <catch2/catch.hpp>

using namespace endivetrestle;

namespace {

const EndpointId old("e1");
const EndpointId e2("e2");
const EndpointId e3("e3");

EndpointReport replica(std::uint64_t index, std::uint64_t term = 1) { return { false, term, { term, index } }; }
EndpointReport primary(std::uint64_t index, std::uint64_t term = 1) { return { true, term, { term, index } }; }

// A group of three whose first endpoint was the primary of term 1.
CandidateInput groupOfThree(std::size_t syncReplicas, std::map<EndpointId, EndpointReport> reports)
{
    CandidateInput input;
    input.evidence = { syncReplicas, old, 1, { old, e2, e3 }, std::move(reports) };
    return input;
}

} // namespace

TEST_CASE("AcknowledgedPosition, is the start of the log without synchronous replicas")
{
    CHECK(acknowledgedPosition(groupOfThree(0, {}).evidence) == Position {});
}

TEST_CASE("AcknowledgedPosition, is not known while as many replicas are missing as must receive a commit")
{
    // Guards against a promotion that is decided from the answer of one replica while another one holds the commits.
    CHECK_FALSE(acknowledgedPosition(groupOfThree(1, {}).evidence));
    CHECK_FALSE(acknowledgedPosition(groupOfThree(1, { { e3, replica(100) } }).evidence));
    CHECK(acknowledgedPosition(groupOfThree(1, { { e2, replica(150) }, { e3, replica(100) } }).evidence)
        == Position { 1, 150 });
    // Every commit is on both replicas, so one is enough.
    CHECK(acknowledgedPosition(groupOfThree(2, { { e3, replica(100) } }).evidence) == Position { 1, 100 });
}

TEST_CASE("AcknowledgedPosition, counts an endpoint that has left the registry as missing")
{
    auto evidence = groupOfThree(1, { { e2, replica(150) }, { e3, replica(100) } }).evidence;
    evidence.members.insert(EndpointId("e4"));
    CHECK_FALSE(acknowledgedPosition(evidence));
}

TEST_CASE("AcknowledgedPosition, is proven by the old primary alone")
{
    CHECK(acknowledgedPosition(groupOfThree(1, { { old, primary(150) } }).evidence) == Position { 1, 150 });
}

TEST_CASE("AcknowledgedPosition, does not believe a report from before the term")
{
    // Guards against an endpoint that was started again without its log, or that has not followed the last primary.
    CHECK_FALSE(acknowledgedPosition(groupOfThree(1, { { old, replica(0, 0) } }).evidence));
    CHECK_FALSE(acknowledgedPosition(groupOfThree(1, { { e2, replica(0, 0) }, { e3, replica(100) } }).evidence));
}

TEST_CASE("AcknowledgedPosition, is that of an endpoint that leads a later term")
{
    CHECK(acknowledgedPosition(groupOfThree(1, { { e3, primary(150, 2) } }).evidence) == Position { 2, 150 });
}

TEST_CASE("ChooseCandidate, takes the best of those that answered without synchronous replicas")
{
    const auto choice = chooseCandidate(groupOfThree(0, { { e3, replica(100) } }));
    CHECK(choice.action == CandidateAction::Order);
    CHECK(choice.endpoint == e3);
}

TEST_CASE("ChooseCandidate, waits while no endpoint is known to hold all acknowledged commits")
{
    // Guards against the loss of commits that the replica that did not report holds.
    CHECK(chooseCandidate(groupOfThree(1, { { e3, replica(100) } })).action == CandidateAction::AwaitProof);
    const auto choice = chooseCandidate(groupOfThree(1, { { e2, replica(150) }, { e3, replica(100) } }));
    CHECK(choice.action == CandidateAction::Order);
    CHECK(choice.endpoint == e2);
}

TEST_CASE("ChooseCandidate, prefers a draining replica only to one that lacks acknowledged commits")
{
    auto input = groupOfThree(1, { { e2, replica(150) }, { e3, replica(100) } });
    input.draining = { e2 };
    CHECK(chooseCandidate(input).endpoint == e2);
    input.evidence.reports[e3] = replica(150);
    CHECK(chooseCandidate(input).endpoint == e3);
    input.evidence.reports[e3] = replica(100);
    input.evidence.syncReplicas = 0;
    CHECK(chooseCandidate(input).endpoint == e3);
}

TEST_CASE("ChooseCandidate, lets a replica catch up with the old primary that still answers")
{
    const auto choice = chooseCandidate(groupOfThree(1, { { old, primary(150) }, { e3, replica(100) } }));
    CHECK(choice.action == CandidateAction::CatchUp);
    CHECK(choice.endpoint == e3);
    CHECK(choice.required == Position { 1, 150 });
}

TEST_CASE("ChooseCandidate, keeps the old primary if no replica catches up with acknowledged commits")
{
    auto input = groupOfThree(1, { { old, primary(150) }, { e3, replica(100) } });
    input.catchUpFailed = true;
    const auto choice = chooseCandidate(input);
    CHECK(choice.action == CandidateAction::Order);
    CHECK(choice.endpoint == old);
    input.evidence.syncReplicas = 0;
    CHECK(chooseCandidate(input).endpoint == e3);
}

TEST_CASE("ChooseCandidate, has none if all that reported drain or were rejected")
{
    auto input = groupOfThree(0, { { e2, replica(150) }, { e3, replica(150) } });
    input.draining = { e2 };
    input.rejected = { e3 };
    CHECK(chooseCandidate(input).action == CandidateAction::NoCandidate);
}
