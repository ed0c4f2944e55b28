#include "request/statement_ranking.h"

#include <algorithm>

namespace endivetrestle {

namespace {

// A new sample has the weight 1 / smoothingDivisor.
constexpr int smoothingDivisor = 16;
// Bounds the wait that clients which pause inside their transactions cause to other transactions.
constexpr Duration maxTransactionTime = std::chrono::milliseconds(1000);

} // namespace

void StatementRanking::onTransaction(Duration held)
{
    const auto sample = std::clamp(held, Duration::zero(), maxTransactionTime);
    this->smoothedTransactionTime += (sample - this->smoothedTransactionTime) / smoothingDivisor;
}

Time StatementRanking::rankOf(const ScheduledStatement& work) const
{
    return work.start == TransactionStart::None ? work.expiresAt : work.expiresAt + this->smoothedTransactionTime;
}

} // namespace endivetrestle
