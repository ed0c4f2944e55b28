#pragma once

#include "base/clock.h"
#include "base/identifier.h"
#include "request/endpoint_call.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <variant>
#include <vector>

namespace endivetrestle {

// Evidence that a majority of endpoints was in a term at a point in time.
struct MajorityEvidence {
    std::uint64_t term = 0;
    // Latest time for which a majority is known to have been in the term: each of them answered a request that was sent
    // at or after it, or reported a record that was written at or after it.
    Time observedAt;

    bool operator==(const MajorityEvidence&) const = default;
};

// A write, commit or abort marker that the primary has executed.
struct ExecutedWrite {
    // Chosen by the caller of the tracker and unique in it; request ids are unique per application only.
    std::uint64_t ticket = 0;
    RequestId requestId;
    EndpointId primary;
    Position position;
    // When the call was sent to the primary.
    Time sentAt;
    Time deadline;
    // True if the record was written by an earlier call: a replayed answer, or the answer to a resolve. It is then held
    // once a majority holds a record of the answering primary's term, which follows it in the log.
    bool recordedBefore = false;

    bool operator==(const ExecutedWrite&) const = default;
};

// A majority holds the write. Check canAcknowledge() directly before the answer is sent; if the evidence has become too
// old use the tracker's evidence() of that moment.
struct WriteHeldByMajority {
    ExecutedWrite write;
    MajorityEvidence evidence;

    bool operator==(const WriteHeldByMajority&) const = default;
};

// The deadline passed first. The outcome is unknown: the write may still become held.
struct WriteDeadlineReached {
    ExecutedWrite write;

    bool operator==(const WriteDeadlineReached&) const = default;
};

// A higher term is known. The request has to be resolved by its id at the primary of that or a later term.
struct WriteSuperseded {
    ExecutedWrite write;
    std::uint64_t higherTerm = 0;

    bool operator==(const WriteSuperseded&) const = default;
};

using WriteEvent = std::variant<WriteHeldByMajority, WriteDeadlineReached, WriteSuperseded>;

struct WriteTrackerSettings {
    Duration ackEvidenceMaxAge = std::chrono::milliseconds(250);

    bool operator==(const WriteTrackerSettings&) const = default;
};

// Tracks the writes of one database until a majority of endpoints holds their position in the term in which they were
// written. Every added write results in exactly one event unless it is dropped with forget(). A status costs O(log n)
// per write that it completes. Not thread-safe.
//
// Example:
//     for (auto& event : tracker.writeExecuted(write, answer.status, receivedAt)) handle(event);
//     for (auto& event : tracker.onStatus(status, sentAt, receivedAt)) handle(event);
class WriteTracker {
public:
    using Events = std::vector<WriteEvent>;

    WriteTracker(WriteTrackerSettings settings, std::vector<EndpointId> endpoints);

    // Adds a write. The status is the one in the primary's answer to the same call.
    Events writeExecuted(const ExecutedWrite& write, const EndpointStatus& status, Time receivedAt);

    // Any status of an endpoint with the time its request was sent. Implausible statuses and those of endpoints outside
    // the group are ignored.
    Events onStatus(const EndpointStatus& status, Time sentAt, Time receivedAt);

    // A higher term is known from elsewhere, for example from the failover or from a peer.
    Events onTerm(std::uint64_t term);

    // Ends the writes whose deadline has passed.
    Events tick(Time now);

    // Replaces the endpoints of the group. Majorities are counted over the new set, and the writes that it holds are
    // reported.
    Events setEndpoints(std::vector<EndpointId> endpoints);

    // Drops a write without an event, for example because the caller has disconnected.
    void forget(std::uint64_t ticket);

    // Final check before an acknowledgement: the evidence is of the highest known term and younger than
    // ackEvidenceMaxAge.
    [[nodiscard]] bool canAcknowledge(const MajorityEvidence& evidence, Time now) const;

    // Whether a majority is known to hold the record at the position, so that no later primary can lack it. lastLog is
    // the end of the log that contains the position. A record of an earlier term counts once that log and a majority
    // hold a record of the highest known term, which follows it.
    [[nodiscard]] bool isHeldByMajority(const Position& position, const Position& lastLog) const;

    // Newest evidence of the highest known term; no value if no majority has been seen in it.
    [[nodiscard]] std::optional<MajorityEvidence> evidence() const;

    // Earliest deadline of a pending write, Time::max() if there is none.
    [[nodiscard]] Time nextDeadline() const;
    [[nodiscard]] std::uint64_t highestTerm() const { return this->term; }
    [[nodiscard]] std::size_t pendingCount() const { return this->pending.size(); }

private:
    // What an endpoint has reported in the current term.
    struct EndpointProgress {
        std::optional<Time> confirmedInTermAt;
        // Index of its last record if that record is of the current term, otherwise 0.
        std::uint64_t index = 0;
        Time indexReceivedAt;
        // Whether it has reported that it is the primary of the term. It wrote every record of the term.
        bool isPrimary = false;
    };
    using PendingKey = std::pair<std::uint64_t, std::uint64_t>;

    void advanceTerm(std::uint64_t term, Events& events);
    void recordStatus(const EndpointStatus& status, Time sentAt, Time receivedAt);
    void reportHeldWrites(Events& events);
    void erase(std::map<PendingKey, ExecutedWrite>::iterator write);
    [[nodiscard]] Time evidenceTime(const EndpointStatus& status, Time sentAt) const;
    [[nodiscard]] std::uint64_t majorityIndex() const;
    [[nodiscard]] std::size_t majority() const { return this->progressByEndpoint.size() / 2 + 1; }

    WriteTrackerSettings settings;
    std::map<EndpointId, EndpointProgress> progressByEndpoint;
    std::uint64_t term = 0;
    // Ordered by index and ticket; all of the current term.
    std::map<PendingKey, ExecutedWrite> pending;
    std::map<std::uint64_t, PendingKey> byTicket;
    std::set<std::pair<Time, std::uint64_t>> deadlines;
};

} // namespace endivetrestle
