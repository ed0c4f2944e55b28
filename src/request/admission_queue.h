#pragma once

#include "base/clock.h"
#include "base/identifier.h"
#include "base/outcome.h"
#include "request/endpoint_call.h"
#include "request/request.h"

#include <array>
#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace endivetrestle {

// Number of scheduling classes.
constexpr std::size_t priorityCount = 4;

// Which endpoints may run an entry.
enum class QueueTargetKind {
    // Only the primary.
    Primary,
    // Only a replica.
    Replica,
    // The primary or a replica.
    Any,
    // Only the endpoint named in QueueTarget::endpoint, for statements of an open transaction.
    Endpoint,
};

struct QueueTarget {
    QueueTargetKind kind = QueueTargetKind::Primary;
    // Set for QueueTargetKind::Endpoint only.
    EndpointId endpoint;

    auto operator<=>(const QueueTarget&) const = default;
};

// A request waiting for a slot.
struct QueueEntry {
    // Chosen by the owner of the queue; unique among the queued entries.
    std::uint64_t id = 0;
    CallerId caller;
    Priority priority = Priority::Read;
    QueueTarget target;
    Time deadline;
    // Cost charged to the caller in the deficit round robin, in units of AdmissionQueueSettings::quantum; clamped to 1
    // to 16.
    int cost = 1;

    bool operator==(const QueueEntry&) const = default;
};

// An entry dequeued for execution.
struct PoppedEntry {
    QueueEntry entry;
    Duration waited {};
};

// An entry that was refused or removed from the queue. The request did not run.
struct QueueRefusal {
    std::uint64_t id = 0;
    // QueueFull (limit reached, or displaced by another entry), Overloaded (estimated wait or standing delay),
    // DeadlineExceeded (expired in the queue), or the code given to refuseAll() or refuseEndpoint().
    ErrorCode code = ErrorCode::QueueFull;
    // Suggested delay before the request is sent again.
    Duration retryAfter {};

    bool operator==(const QueueRefusal&) const = default;
};

struct AdmissionQueueSettings {
    // Maximum number of queued entries.
    std::size_t maxEntries = 1024;
    // Maximum number of queued entries of one caller.
    std::size_t maxPerCaller = 256;
    // Minimum share of an endpoint's pops for each class, in the order of Priority. It applies while both the class and
    // a higher class have entries for the endpoint. The first value is not used; the others must add up to less than 1.
    std::array<double, priorityCount> minimumShare { 0.0, 0.2, 0.1, 0.05 };
    // Cost units that a caller gets per round.
    int quantum = 1;
    // Standing delay above which an endpoint's part of the queue counts as overloaded.
    Duration delayTarget = std::chrono::milliseconds(50);
    // Time for which the delay must stay above the target without interruption.
    Duration delayInterval = std::chrono::milliseconds(200);
    // Number of service intervals to measure before entries are refused because of their estimated wait.
    int minimumSamples = 16;
    // Bounds of QueueRefusal::retryAfter.
    Duration minimumRetryAfter = std::chrono::milliseconds(20);
    Duration maximumRetryAfter = std::chrono::seconds(5);
    // Maximum number of endpoints whose service is measured. Beyond that the least recently served one is evicted.
    std::size_t maxEndpoints = 64;
};

// Bounded queue of one database in front of the slots of its endpoints.
//
// Classes are served in the order of Priority, each lower class with a guaranteed minimum share. Within a class,
// callers are served by deficit round robin, and the entries of one caller that an endpoint may run are served in order
// of arrival.
//
// Overload is detected per endpoint as in CoDel: the oldest entry that the endpoint may run has waited longer than
// delayTarget at every pop for delayInterval. Then entries are refused on arrival unless the entries of their own and
// higher classes let them start within the target, and queued entries of the lowest class are refused at an increasing
// rate, from the caller with the most of them, oldest first. One entry of each class is kept, so that the class can use
// its minimum share. Payments are only refused by deadline, by estimate against their deadline, and by the bounds.
// Service stays oldest-first under overload: the refusals on arrival keep the delay of admitted entries near the
// target, so newest-first service would only reorder a caller's requests.
//
// Example:
//     AdmissionQueue queue(settings);
//     if (auto refusal = queue.push(entry, now))
//         answer(*refusal);
//     while (pool.hasFreeSlot(endpoint)) {
//         auto popped = queue.popFor(endpoint, EndpointRole::Primary, now);
//         ...
//     }
//     for (const auto& refusal : queue.takeRefusals())
//         answer(refusal);
class AdmissionQueue {
public:
    explicit AdmissionQueue(const AdmissionQueueSettings& settings);

    // Adds an entry, or returns why it was refused. Entries that it displaced are reported by takeRefusals(). An id
    // that is already queued is refused with Internal, and the queued entry stays.
    std::optional<QueueRefusal> push(const QueueEntry& entry, Time now);

    // Takes the next entry that the endpoint may run. Call it only for an endpoint with a free slot, because the time
    // between calls is used to measure the service rate. A fenced endpoint gets only entries that name it.
    std::optional<PoppedEntry> popFor(const EndpointId& endpoint, EndpointRole role, Time now);

    // Whether popFor() would find an entry that has not expired.
    [[nodiscard]] bool hasFor(const EndpointId& endpoint, EndpointRole role, Time now) const;

    // Removes an entry without a refusal, for a caller that has disconnected. Returns false if the id is not queued.
    bool cancel(std::uint64_t id);

    // Refuses the entries whose deadline has been reached.
    void expire(Time now);

    // Refuses every entry, for example on shutdown.
    void refuseAll(ErrorCode code, Duration retryAfter);

    // Refuses the entries that name the endpoint and discards its measured service, for an endpoint that has been
    // removed or replaced.
    void refuseEndpoint(const EndpointId& endpoint, ErrorCode code);

    // Returns the refusals since the last call. Each refused entry is returned exactly once.
    std::vector<QueueRefusal> takeRefusals();

    // Earliest deadline, or Time::max() if the queue is empty.
    [[nodiscard]] Time nextDue() const;

    // Estimated wait of a new entry, or no value while too little service has been measured.
    [[nodiscard]] std::optional<Duration> estimateWait(const QueueEntry& entry) const;

    // Whether the standing delay at the endpoint has been above delayTarget for delayInterval.
    [[nodiscard]] bool overloaded(const EndpointId& endpoint, Time now) const;

    [[nodiscard]] std::size_t size() const { return this->index.size(); }
    [[nodiscard]] std::size_t sizeOf(Priority priority) const;
    [[nodiscard]] std::size_t sizeOf(const CallerId& caller) const;
    // Entries with exactly this target.
    [[nodiscard]] std::size_t sizeOf(const QueueTarget& target) const;
    // Wait so far of the entry that has been queued longest; zero if the queue is empty.
    [[nodiscard]] Duration oldestWait(Time now) const;

private:
    // Number of an entry in order of arrival.
    using Sequence = std::uint64_t;
    using SequencesByTarget = std::map<QueueTarget, std::set<Sequence>>;

    struct Record {
        QueueEntry entry;
        Time arrival;
    };

    // Entries of one caller in one class.
    struct CallerQueue {
        SequencesByTarget sequencesByTarget;
        std::size_t size = 0;
        int deficit = 0;
        // Whether this round's quantum has been added to the deficit.
        bool quantumGranted = false;
        std::list<CallerId>::iterator roundRobinPosition;
    };

    struct ClassQueue {
        std::map<Sequence, Record> records;
        SequencesByTarget byTarget;
        std::unordered_map<CallerId, CallerQueue> callerQueues;
        // Callers with entries in round-robin order; the first is served next.
        std::list<CallerId> roundRobinOrder;
    };

    // Measured service and overload state of one endpoint.
    struct EndpointService {
        EndpointRole role = EndpointRole::Replica;
        Time lastPop;
        // True if there has been an entry for the endpoint ever since the last pop, so that the time to the next pop is
        // a service interval.
        bool backlogged = false;
        // Smoothed service interval in microseconds.
        double serviceInterval = 0;
        int samples = 0;
        std::array<double, priorityCount> credit {};
        // Time since which the standing delay has been above the target.
        std::optional<Time> delayAboveTargetSince;
        Time nextShed;
        int shedCount = 0;
    };

    struct EntryLocation {
        Priority priority;
        Sequence sequence;
    };

    using Targets = std::vector<QueueTarget>;

    [[nodiscard]] static Targets targetsOf(const EndpointId& endpoint, EndpointRole role);
    [[nodiscard]] static bool serves(const EndpointId& endpoint, EndpointRole role, const QueueTarget& target);
    [[nodiscard]] static bool hasAny(const SequencesByTarget& sequencesByTarget, const Targets& targets);
    [[nodiscard]] static std::optional<Sequence> oldestSequence(
        const SequencesByTarget& sequencesByTarget, const Targets& targets);
    [[nodiscard]] static std::size_t countEntries(const SequencesByTarget& sequencesByTarget, const Targets& targets);
    ClassQueue& queueOf(Priority priority) { return this->classes[static_cast<std::size_t>(priority)]; }
    [[nodiscard]] const ClassQueue& queueOf(Priority priority) const
    {
        return this->classes[static_cast<std::size_t>(priority)];
    }

    void insert(const QueueEntry& entry, Time now);
    Record remove(const EntryLocation& location);
    void refuse(const EntryLocation& location, ErrorCode code);
    // Refuses a queued entry if a limit leaves no room for the given one. Returns false if no entry may be displaced.
    bool makeRoomForCaller(const QueueEntry& entry);
    bool makeRoom(const QueueEntry& entry);
    bool makeRoomWithinClass(const QueueEntry& entry);
    [[nodiscard]] std::optional<Priority> lowestClass() const;

    std::optional<Sequence> nextInClass(ClassQueue& queue, const Targets& targets);
    std::optional<Priority> chooseClass(EndpointService& service, const Targets& targets);
    EndpointService& serviceOf(const EndpointId& endpoint, EndpointRole role, Time now);
    void measureServiceInterval(EndpointService& service, Time now) const;
    // Ends the current measurement of every endpoint that has no entry left. Called when the last entry of a target was
    // removed.
    void resetDrainedEndpoints(const QueueTarget& target);
    void updateStandingDelay(EndpointService& service, const Targets& targets, Time now) const;
    void shedIfOverloaded(EndpointService& service, const Targets& targets, Time now);
    [[nodiscard]] bool hasStandingDelay(const EndpointService& service, Time now) const;
    [[nodiscard]] bool overloadedFor(const QueueTarget& target, Time now) const;
    [[nodiscard]] double rateOf(const QueueTarget& target, const QueueTarget* other) const;
    [[nodiscard]] double entriesAhead(const ClassQueue& queue, const QueueTarget& target) const;
    [[nodiscard]] std::optional<ErrorCode> admissionError(const QueueEntry& entry, Time now) const;
    [[nodiscard]] Duration retryAfter(const QueueEntry& entry) const;

    AdmissionQueueSettings settings;
    std::array<ClassQueue, priorityCount> classes;
    Sequence lastSequence = 0;
    std::unordered_map<std::uint64_t, EntryLocation> index;
    std::set<std::tuple<Time, Sequence, std::uint64_t>> deadlines;
    std::unordered_map<CallerId, std::size_t> perCaller;
    std::map<EndpointId, EndpointService> services;
    std::vector<QueueRefusal> refusals;
};

} // namespace endivetrestle
