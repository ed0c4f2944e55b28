// Tests the order of waiting statements, alone and under a simulated load.
#include "request/statement_ranking.h"

#include "request/statement_queue.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace endivetrestle;
using namespace std::chrono_literals;

namespace {

constexpr Duration timeout = std::chrono::milliseconds(800);
constexpr Duration singleTime = std::chrono::milliseconds(10);
constexpr Duration transactionTime = std::chrono::milliseconds(100);

ScheduledStatement statement(TransactionStart start, Time arrivedAt)
{
    ScheduledStatement work;
    work.start = start;
    work.arrivedAt = arrivedAt;
    work.expiresAt = arrivedAt + timeout;
    return work;
}

StatementRanking rankingWith(Duration held)
{
    StatementRanking ranking;
    for (int i = 0; i < 200; ++i)
        ranking.onTransaction(held);
    return ranking;
}

struct ServedCallers {
    int submitted = 0;
    int served = 0;
    int transactionsServed = 0;
};

// One slot serves single statements and transactions; each tenth caller starts a transaction. Callers whose statement
// has not started before it expires are not served. The load is 1.9 times what the slot can run.
ServedCallers serve(const StatementRanking& ranking, Duration total)
{
    constexpr Duration arrivalInterval = singleTime;
    constexpr int callersPerTransaction = 10;
    StatementQueue queue;
    ServedCallers result;
    Time freeAt;
    for (Time now; now < Time(total); now += 1ms) {
        if ((now - Time()) % arrivalInterval == Duration::zero()) {
            const bool transaction = ++result.submitted % callersPerTransaction == 0;
            const auto execution = std::make_shared<Execution>();
            execution->work = statement(transaction ? TransactionStart::Plain : TransactionStart::None, now);
            execution->rank = ranking.rankOf(execution->work);
            queue.push(execution);
        }
        queue.offer([&](const ExecutionPtr& execution) {
            if (execution->work.expiresAt <= now)
                return StartResult::Started;
            if (freeAt > now)
                return StartResult::PrimaryFull;
            const bool transaction = execution->work.start != TransactionStart::None;
            freeAt = now + (transaction ? transactionTime : singleTime);
            ++result.served;
            result.transactionsServed += transaction ? 1 : 0;
            return StartResult::Started;
        });
    }
    return result;
}

} // namespace

TEST_CASE("StatementRanking, ranks statements by expiry")
{
    const StatementRanking ranking;
    const auto first = statement(TransactionStart::None, Time(1s));
    const auto second = statement(TransactionStart::None, Time(2s));
    CHECK(ranking.rankOf(first) < ranking.rankOf(second));
}

TEST_CASE("StatementRanking, ranks a transaction later by the time that transactions take")
{
    const auto ranking = rankingWith(300ms);
    CHECK(ranking.transactionTime() > 290ms);
    const auto start = statement(TransactionStart::Plain, Time(1s));
    CHECK(ranking.rankOf(start) > ranking.rankOf(statement(TransactionStart::None, Time(1250ms))));
    // Guards against transactions that never start while single statements arrive.
    CHECK(ranking.rankOf(start) < ranking.rankOf(statement(TransactionStart::None, Time(1350ms))));
}

// Guards against clients that pause inside transactions and thereby make others wait for seconds.
TEST_CASE("StatementRanking, bounds the time that transactions are taken to need")
{
    CHECK(rankingWith(60s).transactionTime() <= 1s);
}

// Guards against an overloaded group that serves one transaction where it could serve many callers.
TEST_CASE("StatementRanking, serves more callers of an overloaded endpoint and still starts transactions")
{
    const auto byExpiry = serve(StatementRanking(), 10s);
    const auto ranked = serve(rankingWith(transactionTime), 10s);
    INFO("by expiry " << byExpiry.served << " of " << byExpiry.submitted << ", ranked " << ranked.served << ", "
                      << ranked.transactionsServed << " transactions");
    CHECK(ranked.served > byExpiry.served);
    CHECK(ranked.transactionsServed > 0);
}
