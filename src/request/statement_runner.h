#pragma once

#include "request/scheduled_statement.h"

namespace endivetrestle {

// Runs the statements of client sessions for one database group: on this daemon's own endpoint connections, or at
// another daemon that owns the group. The callback of the execution receives the result exactly once, unless the
// execution is abandoned first.
class StatementRunner {
public:
    virtual ~StatementRunner() = default;

    // Runs a statement that is not part of an open transaction.
    virtual void submit(const ExecutionPtr& execution, Time now) = 0;
    // Runs a statement in the transaction that is open on the connection.
    virtual void continueTransaction(ConnectionId connection, const ExecutionPtr& execution, Time now) = 0;
    // Rolls the open transaction back.
    virtual void endTransaction(ConnectionId connection, Time now) = 0;
    // Drops a statement whose client has disconnected. Its result is no longer reported.
    virtual void abandon(const ExecutionPtr& execution, Time now) = 0;
    // Ends a statement as if the timeout of its route had been reached. Its result is reported before the call returns.
    virtual void expire(const ExecutionPtr& execution, Time now) = 0;
};

} // namespace endivetrestle
