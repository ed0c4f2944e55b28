#include "request/retry_budget.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace endivetrestle;
using namespace std::chrono_literals;

namespace {

const CallerId shop("shop");
const DatabaseId orders("orders");

RetryCandidate candidateOf(RequestKind kind, bool repeatable, SendEvidence evidence)
{
    return { shop, orders, kind, repeatable, evidence, 1, Time(1h) };
}

} // namespace

// Guards against a second run of a request that its caller did not mark repeatable (I6).
TEST_CASE("RetryBudget, never retries a request that may have run when it is not repeatable")
{
    REQUIRE(rc::check([](std::uint8_t kind, int attempts, std::uint8_t code) {
        RetryBudget budget({ .ratio = 10, .maxTokens = 1000, .maxAttempts = 1 << 30 });
        for (int request = 0; request < 100; ++request)
            budget.onRequest(shop, orders, Time());
        auto candidate = candidateOf(static_cast<RequestKind>(kind % 7), false, SendEvidence::Unknown);
        candidate.attempts = attempts;
        RC_ASSERT(!budget.tryAcquireRetry(candidate, Time()).retry);
        candidate.evidence
            = evidenceFromAnswer(static_cast<ErrorCode>(code % (static_cast<int>(ErrorCode::Internal) + 1)));
        RC_ASSERT(
            (budget.tryAcquireRetry(candidate, Time()).retry == (candidate.evidence == SendEvidence::ProvenNotRun)));
    }));
    CHECK(evidenceFromAnswer(ErrorCode::WrongTerm) == SendEvidence::ProvenNotRun);
    for (const auto code : { ErrorCode::None, ErrorCode::StatementFailed, ErrorCode::EndpointUnreachable,
             ErrorCode::AnswerMismatch, ErrorCode::RequestAborted })
        CHECK(evidenceFromAnswer(code) == SendEvidence::Unknown);
}

// Guards against a statement, repeatable or not, that is sent again outside its transaction after the transaction was
// lost.
TEST_CASE("RetryBudget, returns the reason when a request must not be retried")
{
    RetryBudget budget({});
    const auto codeOf = [&](const RetryCandidate& candidate) { return budget.tryAcquireRetry(candidate, Time()).code; };
    CHECK(codeOf(candidateOf(RequestKind::Read, false, SendEvidence::Unknown)) == ErrorCode::RequestAborted);
    CHECK(codeOf(candidateOf(RequestKind::Statement, true, SendEvidence::Unknown)) == ErrorCode::TransactionAborted);
    CHECK(codeOf(candidateOf(RequestKind::Commit, true, SendEvidence::Unknown)) == ErrorCode::TransactionAborted);
    auto late = candidateOf(RequestKind::Read, true, SendEvidence::Unknown);
    late.deadline = Time();
    CHECK(codeOf(late) == ErrorCode::DeadlineExceeded);
    auto often = candidateOf(RequestKind::Read, true, SendEvidence::Unknown);
    often.attempts = 4;
    CHECK(codeOf(often) == ErrorCode::RetryBudgetSpent);
    CHECK(codeOf(candidateOf(RequestKind::Read, true, SendEvidence::Unknown)) == ErrorCode::None);
    CHECK(codeOf(candidateOf(RequestKind::Read, true, SendEvidence::Unknown)) == ErrorCode::RetryBudgetSpent);
    CHECK(codeOf(candidateOf(RequestKind::Write, false, SendEvidence::NotSent)) == ErrorCode::None);
}

// Guards against retries that multiply the load of a failing endpoint, and against callers that share a budget.
TEST_CASE("RetryBudget, grants the ratio plus the retries per second when every request fails")
{
    RetryBudget budget({});
    const auto candidate = candidateOf(RequestKind::Read, true, SendEvidence::Unknown);
    int retries = 0;
    for (int request = 0; request < 1000; ++request) {
        const Time now(std::chrono::milliseconds(request * 10));
        budget.onRequest(shop, orders, now);
        for (int attempt = 0; attempt < 3; ++attempt)
            retries += budget.tryAcquireRetry(candidate, now).retry ? 1 : 0;
    }
    // 1,000 requests at 10 %, 10 s at 1 per second, and the initial retry.
    CHECK(retries >= 109);
    CHECK(retries <= 111);
    CHECK(budget.available(CallerId("other"), orders, Time()) == 1);
    // An idle period accumulates no more than maxTokens.
    CHECK(budget.available(shop, orders, Time(1h)) == 20);
}

// Guards against memory that grows with the number of callers.
TEST_CASE("RetryBudget, evicts pairs when there are too many or they are idle")
{
    RetryBudget budget({ .maxEntries = 3 });
    for (int number = 0; number < 10; ++number) {
        const Time now { std::chrono::seconds(number) };
        budget.onRequest(CallerId(std::to_string(number)), orders, now);
        budget.onRequest(shop, orders, now);
        CHECK(budget.size() <= 3);
    }
    CHECK(budget.available(shop, orders, Time(9s)) > 1.5);
    budget.tick(Time(68s));
    CHECK(budget.size() == 2);
    budget.tick(Time(69s));
    CHECK(budget.size() == 0);
}
