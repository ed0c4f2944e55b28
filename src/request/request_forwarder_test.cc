#include "request/request_forwarder.h"

#include <catch2/catch.hpp>

using namespace endivetrestle;
using namespace std::chrono_literals;

namespace {

const DaemonId self("d1");
const std::vector<DaemonId> owners { DaemonId("d2"), DaemonId("d3") };

Request request(RequestKind kind)
{
    Request result;
    result.id = RequestId("r1");
    result.kind = kind;
    result.deadline = Time(10s);
    return result;
}

ForwardTo forwarded(const ForwardStep& step)
{
    REQUIRE(std::holds_alternative<ForwardTo>(step));
    return std::get<ForwardTo>(step);
}

Outcome answered(const ForwardStep& step)
{
    REQUIRE(std::holds_alternative<AnswerCaller>(step));
    return std::get<AnswerCaller>(step).outcome;
}

} // namespace

// Guards against an unnecessary hop when this daemon owns the database.
TEST_CASE("Forwarder, runs locally when this daemon has the lowest rank")
{
    Forwarder forwarder(request(RequestKind::Read), self, {}, {});
    CHECK(std::holds_alternative<RunLocally>(forwarder.start({ self, DaemonId("d2") }, Time(0s))));
}

// Guards against a write that runs twice because its first owner failed after running it.
TEST_CASE("Forwarder, resolves a write at the next owner when the first may have run it")
{
    Forwarder forwarder(request(RequestKind::Write), self, {}, {});
    CHECK(forwarded(forwarder.start(owners, Time(0s))).daemon == DaemonId("d2"));
    const auto step = forwarded(forwarder.onOutcome(unknownOutcome(ErrorCode::EndpointUnreachable), owners, Time(1s)));
    CHECK(step.daemon == DaemonId("d3"));
    CHECK(step.request.kind == RequestKind::Resolve);
}

// Guards against a refusal although another owner could have run the request.
TEST_CASE("Forwarder, sends a write to the next owner when the first did not run it")
{
    Forwarder forwarder(request(RequestKind::Write), self, {}, {});
    forwarder.start(owners, Time(0s));
    const auto step = forwarded(forwarder.onOutcome(didNotRun(ErrorCode::EndpointUnreachable), owners, Time(1s)));
    CHECK(step.daemon == DaemonId("d3"));
    CHECK(step.request.kind == RequestKind::Write);
}

// Guards against "did not run" for a write that an earlier owner may have run.
TEST_CASE("Forwarder, never reports that a write did not run when an earlier send may have run")
{
    Forwarder forwarder(request(RequestKind::Write), self, {}, { 3 });
    auto step = forwarder.start(owners, Time(0s));
    step = forwarder.onOutcome(unknownOutcome(ErrorCode::EndpointUnreachable), owners, Time(1s));
    while (!std::holds_alternative<AnswerCaller>(step))
        step = forwarder.onOutcome(didNotRun(ErrorCode::EndpointUnreachable), owners, Time(1s));
    CHECK(answered(step).state == OutcomeState::Unknown);
}

// Guards against "did not run" for a commit of which an earlier copy may have committed.
TEST_CASE("Forwarder, resolves a commit when the daemon that held the transaction is unreachable")
{
    Forwarder forwarder(request(RequestKind::Commit), self, DaemonId("d4"), {});
    CHECK(forwarded(forwarder.start(owners, Time(0s))).daemon == DaemonId("d4"));
    const auto step = forwarded(forwarder.onOutcome(didNotRun(ErrorCode::EndpointUnreachable), owners, Time(1s)));
    CHECK(step.request.kind == RequestKind::Resolve);
}

// Guards against endless attempts when every owner refuses.
TEST_CASE("Forwarder, answers the caller when every owner has refused")
{
    Forwarder forwarder(request(RequestKind::Read), self, {}, {});
    forwarder.start(owners, Time(0s));
    forwarder.onOutcome(didNotRun(ErrorCode::NotOwner), owners, Time(1s));
    const auto outcome = answered(forwarder.onOutcome(didNotRun(ErrorCode::NotOwner), owners, Time(1s)));
    CHECK(outcome.state == OutcomeState::DidNotRun);
}

// Guards against a refused resolve that is reported as "did not run" although the original request completed.
TEST_CASE("Forwarder, reports an unknown outcome when no owner can resolve a request")
{
    Forwarder withoutOwner(request(RequestKind::Resolve), self, {}, {});
    CHECK(answered(withoutOwner.start({}, Time(0s))).state == OutcomeState::Unknown);
    Forwarder refused(request(RequestKind::Resolve), self, {}, {});
    auto step = refused.start(owners, Time(0s));
    for (int attempt = 0; attempt < 10 && !std::holds_alternative<AnswerCaller>(step); ++attempt)
        step = refused.onOutcome(didNotRun(ErrorCode::NotOwner), owners, Time(1s));
    CHECK(answered(step).state == OutcomeState::Unknown);
}
