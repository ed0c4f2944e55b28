#pragma once

#include "base/clock.h"
#include "base/identifier.h"
#include "base/outcome.h"
#include "request/request.h"

#include <cstdint>
#include <list>
#include <unordered_map>

namespace endivetrestle {

// What is known about the effect of the last send of a request.
enum class SendEvidence {
    // Nothing was written to a socket.
    NotSent,
    // The endpoint refused it, or a majority holds its abort marker.
    ProvenNotRun,
    // It may have run.
    Unknown,
};

// Evidence that follows from the error code of an endpoint's answer. Only the codes with which an endpoint refuses a
// statement prove that it did not run; every other code counts as Unknown. RequestAborted counts as Unknown because an
// abort marker is proof only once a majority holds it.
SendEvidence evidenceFromAnswer(ErrorCode answerCode);

// A request that is considered for a retry.
struct RetryCandidate {
    CallerId caller;
    DatabaseId database;
    RequestKind kind = RequestKind::Read;
    bool repeatable = false;
    SendEvidence evidence = SendEvidence::Unknown;
    // Sends so far, at least 1 unless the evidence is NotSent.
    int attempts = 1;
    Time deadline;
};

struct RetryDecision {
    bool retry = false;
    // Reason for a refusal: RequestAborted (not repeatable and not proven), TransactionAborted (part of a transaction
    // whose statement may have run), DeadlineExceeded or RetryBudgetSpent.
    ErrorCode code = ErrorCode::None;

    bool operator==(const RetryDecision&) const = default;
};

struct RetryBudgetSettings {
    // Retries granted per request.
    double ratio = 0.1;
    // Retries granted per second regardless of the number of requests, so that a caller with few requests can retry at
    // all.
    double floorPerSecond = 1.0;
    // Maximum number of unused retries that accumulate. It bounds the burst after an idle period.
    double maxTokens = 20.0;
    // Maximum number of sends of one request, the first included.
    int maxAttempts = 4;
    // Maximum number of pairs of caller and database. Beyond that the least recently used pair is evicted.
    std::size_t maxEntries = 4096;
    // Time without requests after which a pair is evicted.
    Duration idleExpiry = std::chrono::seconds(60);
};

// Limits retries to a share of the requests of each caller to each database, so that retries do not multiply the load
// of an endpoint that is already failing.
//
// Example:
//     budget.onRequest(caller, database, now);
//     auto decision = budget.tryAcquireRetry(candidate, now);
//     if (decision.retry)
//         sendAgain();
class RetryBudget {
public:
    explicit RetryBudget(const RetryBudgetSettings& settings);

    // Counts the first send of a request.
    void onRequest(const CallerId& caller, const DatabaseId& database, Time now);

    // Decides whether a request may be sent again and, if so, takes a retry from the budget. A request that is not
    // repeatable is only sent again if its evidence is NotSent or ProvenNotRun, whatever its kind. A send after NotSent
    // takes nothing from the budget, because no endpoint has received the request.
    RetryDecision tryAcquireRetry(const RetryCandidate& candidate, Time now);

    // Evicts idle pairs.
    void tick(Time now);

    // Retries that the pair could make at the given time.
    [[nodiscard]] double available(const CallerId& caller, const DatabaseId& database, Time now) const;

    [[nodiscard]] std::size_t size() const { return this->entries.size(); }

private:
    struct Key {
        CallerId caller;
        DatabaseId database;

        bool operator==(const Key&) const = default;
    };

    struct KeyHash {
        std::size_t operator()(const Key& key) const noexcept;
    };

    struct Entry {
        double tokens = 0;
        Time refilledAt;
        Time lastUse;
        std::list<Key>::iterator lruPosition;
    };

    Entry& refreshEntry(const Key& key, Time now);
    [[nodiscard]] double refilledTokens(const Entry& entry, Time now) const;
    // A pair that was evicted starts again with one retry, so that eviction does not allow a burst.
    [[nodiscard]] double initialTokens() const;

    RetryBudgetSettings settings;
    std::unordered_map<Key, Entry, KeyHash> entries;
    // Least recently used first.
    std::list<Key> lruOrder;
};

} // namespace endivetrestle
