#pragma once

#include "base/identifier.h"
#include "request/scheduled_statement.h"

#include <cstdint>
#include <optional>
#include <variant>

// Messages between a daemon that serves a client session and a daemon that owns the group's endpoint connections.
namespace endivetrestle {

// A statement for the owner. Its times are those of the clock of whoever holds the message; on the wire they travel as
// durations, since clocks of daemons are not compared.
struct ForwardedStatement {
    // Chosen by the sender; unique on the link.
    std::uint64_t number = 0;
    DatabaseId group;
    // The owner's connection on which the transaction of the statement is open.
    std::optional<ConnectionId> connection;
    ScheduledStatement work;
};

// How a forwarded statement ended.
struct ForwardedOutcome {
    std::uint64_t number = 0;
    // The owner did not take the statement, so it did not run and may be run elsewhere.
    bool declined = false;
    StatementResult result;
    // Sends to endpoints.
    int attempts = 0;
};

// The transaction on the owner's connection is to be rolled back.
struct ForwardedEnd {
    DatabaseId group;
    ConnectionId connection = 0;
};

// The client of the statement has left.
struct ForwardedAbandon {
    std::uint64_t number = 0;
};

// The owner is about to stop and takes no new statements; what it has taken is finished.
struct OwnerLeaving { };

// Asks for a sign of life, and gives it.
struct LinkProbe { };
struct LinkProbeAnswer { };

using ForwardMessage = std::variant<ForwardedStatement, ForwardedOutcome, ForwardedEnd, ForwardedAbandon, OwnerLeaving,
    LinkProbe, LinkProbeAnswer>;

} // namespace endivetrestle
