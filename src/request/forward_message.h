#pragma once

#include "base/identifier.h"
#include "request/quota_message.h"
#include "request/scheduled_statement.h"

#include <cstdint>
#include <optional>
#include <variant>

// Messages between a daemon that serves a client session and a daemon that owns the group's endpoint connections.
namespace endivetrestle {

// A statement forwarded to the owner. Its times refer to the clock of the process that holds the message; they are sent
// as durations, because clocks of different daemons are not comparable.
struct ForwardedStatement {
    // Chosen by the sender; unique on the link.
    std::uint64_t number = 0;
    DatabaseId group;
    // Number that the owner gave to the transaction of the statement.
    std::optional<std::uint64_t> transaction;
    ScheduledStatement work;
};

// Outcome of a forwarded statement.
struct ForwardedOutcome {
    std::uint64_t number = 0;
    // The owner did not accept the statement, so it did not run and may be run elsewhere.
    bool declined = false;
    // Its connection is the number that the owner gave to the open transaction, which no other one on the link gets.
    StatementResult result;
    // Number of sends to endpoints.
    int attempts = 0;
};

// Asks the owner to roll back a transaction, which it has numbered.
struct ForwardedRollback {
    DatabaseId group;
    std::uint64_t transaction = 0;
};

// The client of the statement has disconnected or was told that it timed out. The result is no longer needed, and a
// transaction that the statement has left open ends.
struct ForwardedAbandon {
    std::uint64_t number = 0;
};

// The owner is shutting down: it accepts no new statements and finishes those it has accepted.
struct OwnerLeaving { };

// Liveness probe of the link, and the answer to it.
struct LinkProbe { };
struct LinkProbeAnswer { };

using ForwardMessage = std::variant<ForwardedStatement, ForwardedOutcome, ForwardedRollback, ForwardedAbandon,
    OwnerLeaving, LinkProbe, LinkProbeAnswer, QuotaRequest, QuotaGrant>;

} // namespace endivetrestle
