#include "request/retry_budget.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace endivetrestle;
using namespace std::chrono_literals;

namespace {

const CallerId shop("shop");
const DatabaseId orders("orders");

RetryQuestion questionOf(RequestKind kind, bool repeatable, SendEvidence evidence)
{
    return { shop, orders, kind, repeatable, evidence, 1, Time(1h) };
}

} // namespace

// Guards against a second run of a request that its caller did not mark repeatable (I6).
TEST_CASE("RetryBudget, never sends again what may have run when it is not repeatable")
{
    REQUIRE(rc::check([](std::uint8_t kind, int attempts, std::uint8_t code) {
        RetryBudget budget({ .ratio = 10, .maxTokens = 1000, .maxAttempts = 1 << 30 });
        for (int request = 0; request < 100; ++request)
            budget.onRequest(shop, orders, Time());
        auto question = questionOf(static_cast<RequestKind>(kind % 7), false, SendEvidence::Unknown);
        question.attempts = attempts;
        RC_ASSERT(!budget.mayRetry(question, Time()).retry);
        question.evidence = evidenceOf(static_cast<ErrorCode>(code % (static_cast<int>(ErrorCode::Internal) + 1)));
        RC_ASSERT((budget.mayRetry(question, Time()).retry == (question.evidence == SendEvidence::ProvenNotRun)));
    }));
    CHECK(evidenceOf(ErrorCode::WrongTerm) == SendEvidence::ProvenNotRun);
    for (const auto code : { ErrorCode::None, ErrorCode::StatementFailed, ErrorCode::EndpointUnreachable,
             ErrorCode::AnswerMismatch, ErrorCode::RequestAborted })
        CHECK(evidenceOf(code) == SendEvidence::Unknown);
}

// Guards against a statement that is sent again outside its lost transaction, repeatable or not.
TEST_CASE("RetryBudget, tells the reason when a request must not be sent again")
{
    RetryBudget budget({});
    const auto codeOf = [&](const RetryQuestion& question) { return budget.mayRetry(question, Time()).code; };
    CHECK(codeOf(questionOf(RequestKind::Read, false, SendEvidence::Unknown)) == ErrorCode::RequestAborted);
    CHECK(codeOf(questionOf(RequestKind::Statement, true, SendEvidence::Unknown)) == ErrorCode::TransactionAborted);
    CHECK(codeOf(questionOf(RequestKind::Commit, true, SendEvidence::Unknown)) == ErrorCode::TransactionAborted);
    auto late = questionOf(RequestKind::Read, true, SendEvidence::Unknown);
    late.deadline = Time();
    CHECK(codeOf(late) == ErrorCode::DeadlineExceeded);
    auto often = questionOf(RequestKind::Read, true, SendEvidence::Unknown);
    often.attempts = 4;
    CHECK(codeOf(often) == ErrorCode::RetryBudgetSpent);
    CHECK(codeOf(questionOf(RequestKind::Read, true, SendEvidence::Unknown)) == ErrorCode::None);
    CHECK(codeOf(questionOf(RequestKind::Read, true, SendEvidence::Unknown)) == ErrorCode::RetryBudgetSpent);
    CHECK(codeOf(questionOf(RequestKind::Write, false, SendEvidence::NotSent)) == ErrorCode::None);
}

// Guards against retries that multiply the load of a failing endpoint, and against callers that share a budget.
TEST_CASE("RetryBudget, grants the ratio and the floor when every request fails")
{
    RetryBudget budget({});
    const auto question = questionOf(RequestKind::Read, true, SendEvidence::Unknown);
    int retries = 0;
    for (int request = 0; request < 1000; ++request) {
        const Time now(std::chrono::milliseconds(request * 10));
        budget.onRequest(shop, orders, now);
        for (int attempt = 0; attempt < 3; ++attempt)
            retries += budget.mayRetry(question, now).retry ? 1 : 0;
    }
    // 1,000 requests at 10 %, 10 s at 1 per second, and the initial retry.
    CHECK(retries >= 109);
    CHECK(retries <= 111);
    CHECK(budget.available(CallerId("other"), orders, Time()) == 1);
    // A quiet time saves up no more than the maximum.
    CHECK(budget.available(shop, orders, Time(1h)) == 20);
}

// Guards against memory that grows with the number of callers.
TEST_CASE("RetryBudget, forgets the pairs used least recently when there are too many or they are idle")
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
