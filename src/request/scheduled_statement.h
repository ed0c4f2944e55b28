#pragma once

#include "base/clock.h"
#include "base/identifier.h"
#include "base/position.h"
#include "connection/session_state.h"
#include "request/statement.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace endivetrestle {

// Identifier of a connection to an endpoint, unique within the process.
using ConnectionId = std::uint64_t;

// Whether a statement opens a transaction on its connection before it runs.
enum class TransactionStart { None, Plain, ReadOnly };

// One statement on its way to an endpoint.
struct ScheduledStatement {
    Statement statement;
    // Prepared statement that an Execute refers to.
    std::optional<PreparedStatement> prepared;
    // State of the client session. It does not change while the statement is under way.
    std::shared_ptr<const SessionState> session;
    TransactionStart start = TransactionStart::None;
    // Whether only the primary may run it. Otherwise any endpoint may whose log holds the position that follows from
    // maxStaleness and lastWrite.
    bool needsPrimary = true;
    Duration maxStaleness {};
    // Last write of the session, if its route promises that reads see it.
    std::optional<Position> lastWrite;
    // 0 is served first.
    int priority = 0;
    Time arrivedAt;
    // Time after which the statement must not be waited for any more.
    Time expiresAt;
    // Latency objective of the operation.
    Duration objective {};

    // Whether the statement can run twice without effect: a read outside a transaction.
    [[nodiscard]] bool isRepeatable() const
    {
        return this->start == TransactionStart::None && !this->changesData()
            && this->statement.kind != StatementKind::Commit;
    }
    [[nodiscard]] bool changesData() const
    {
        return this->statement.kind == StatementKind::Write || (this->prepared && this->prepared->writes);
    }
};

// How a statement ended.
struct StatementResult {
    // Answer of the endpoint, or an error of the proxy's own.
    EndpointAnswer answer;
    // Why the proxy answered with an error of its own; empty for answers of an endpoint.
    std::string reason;
    // Endpoint that answered or was tried last; empty if there was none.
    std::string endpoint;
    // Daemon to which the statement was forwarded; empty if this daemon ran it.
    DaemonId owner;
    // Connection on which the transaction is open.
    std::optional<ConnectionId> connection;
    // Whether an endpoint has answered.
    bool fromEndpoint = false;
};

using ResultCallback = std::function<void(const StatementResult&)>;

// A statement under way together with its callback. Several connections may hold the same execution when a read is
// sent to a second endpoint; the first answer finishes it.
struct Execution {
    ScheduledStatement work;
    ResultCallback callback;
    bool finished = false;
    // Whether it waits behind all statements that can still be in time. Fixed while it is in a queue.
    bool late = false;
    // Sends so far.
    int attempts = 0;
    // Sends to endpoints that lacked the position.
    int lagging = 0;
    // Whether a second endpoint has been asked because the first one was silent.
    bool hedged = false;
    // Endpoint that was tried last.
    std::string lastEndpoint;
    // Time at which the first byte went to an endpoint.
    std::optional<Time> firstSentAt;
    // Time before which it is not sent again after an endpoint refused it.
    Time notBefore;
    std::uint64_t timer = 0;
};

using ExecutionPtr = std::shared_ptr<Execution>;

} // namespace endivetrestle
