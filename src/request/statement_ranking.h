#pragma once

#include "request/scheduled_statement.h"

namespace endivetrestle {

// Orders the waiting statements of one priority. It answers the load of a group that gets more statements than its
// endpoints can run, for example while a primary must serve everything because its replicas lag.
//
// Statements go by expiry, so that those with time left wait for those without. The first statement of a transaction is
// ranked as if it expired later by the time for which transactions usually hold their connection: several callers with
// one statement each are served in the time that one transaction takes. Transactions are not starved, because their
// rank rises like that of other statements while they wait.
class StatementRanking {
public:
    // Records for how long a finished transaction held its connection.
    void onTransaction(Duration held);

    // Rank of a statement; the lowest starts first.
    [[nodiscard]] Time rankOf(const ScheduledStatement& work) const;

    // Smoothed time for which transactions hold their connection.
    [[nodiscard]] Duration transactionTime() const { return this->smoothedTransactionTime; }

private:
    Duration smoothedTransactionTime {};
};

} // namespace endivetrestle
