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
    // Share of the caller's turn that the entry uses up, in units of AdmissionQueueSettings::quantum; clamped to 1 to
    // 16.
    int cost = 1;

    bool operator==(const QueueEntry&) const = default;
};

// An entry handed out for execution.
struct PoppedEntry {
    QueueEntry entry;
    Duration waited {};
};

// An entry that will not be handed out. The request did not run.
struct QueueRefusal {
    std::uint64_t id = 0;
    // QueueFull (bounds or displacement), Overloaded (estimated wait or standing delay), DeadlineExceeded (expired in
    // the queue), or the code given to refuseAll() or refuseEndpoint().
    ErrorCode code = ErrorCode::QueueFull;
    // Time after which the request has a better chance.
    Duration retryAfter {};

    bool operator==(const QueueRefusal&) const = default;
};

struct AdmissionQueueSettings {
    // Entries in the queue.
    std::size_t maxEntries = 1024;
    // Entries of one caller.
    std::size_t maxPerCaller = 256;
    // Smallest share of the pops of an endpoint that a class gets while it has an entry for that endpoint and higher
    // classes have too, in the order of Priority. The first value is not used; the others must add up to less than 1.
    std::array<double, priorityCount> minimumShare { 0.0, 0.2, 0.1, 0.05 };
    // Cost units that a caller gets per round.
    int quantum = 1;
    // Standing delay above which an endpoint's part of the queue is overloaded.
    Duration delayTarget = std::chrono::milliseconds(50);
    // Time for which the delay must be above the target without a break.
    Duration delayInterval = std::chrono::milliseconds(200);
    // Service intervals that must have been measured before entries are refused by estimate.
    int minimumSamples = 16;
    // Bounds of the advice in QueueRefusal::retryAfter.
    Duration minimumRetryAfter = std::chrono::milliseconds(20);
    Duration maximumRetryAfter = std::chrono::seconds(5);
    // Endpoints for which service is measured. The one served least recently is forgotten beyond that.
    std::size_t maxEndpoints = 64;
};

// Bounded queue of one database in front of the slots of its endpoints.
//
// Classes are served in the order of Priority, each lower class with a guaranteed minimum share. Within a class,
// callers take turns by deficit round robin, and the entries of one caller that an endpoint may run are served in order
// of arrival.
//
// Overload is recognised per endpoint as in CoDel: the oldest entry that the endpoint may run has waited longer than
// delayTarget at every pop for delayInterval. Then entries are refused on arrival unless the entries of their own and
// higher classes let them start within the target, and queued entries of the lowest class are refused at an increasing
// rate, from the caller with the most of them, oldest first. One entry of each class is spared, so that the class can
// use its minimum share. Payments are only refused by deadline, by estimate against their deadline, and by the bounds.
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

    // Adds an entry, or returns why it was refused. Entries that had to make room come out of takeRefusals(). An id
    // that is already queued is refused with Internal, and the queued entry stays.
    std::optional<QueueRefusal> push(const QueueEntry& entry, Time now);

    // Takes the next entry that the endpoint may run. Call it only for an endpoint with a free slot, since the calls
    // measure the service rate. A fenced endpoint gets only entries that name it.
    std::optional<PoppedEntry> popFor(const EndpointId& endpoint, EndpointRole role, Time now);

    // Whether popFor() would find an entry that has not expired.
    [[nodiscard]] bool hasFor(const EndpointId& endpoint, EndpointRole role, Time now) const;

    // Removes an entry without a refusal, for a caller that has gone. Returns false if the id is not queued.
    bool cancel(std::uint64_t id);

    // Refuses the entries whose deadline has been reached.
    void expire(Time now);

    // Refuses every entry, for example on shutdown.
    void refuseAll(ErrorCode code, Duration retryAfter);

    // Refuses the entries that name the endpoint and forgets its measured service, for an endpoint that has been
    // removed or replaced.
    void refuseEndpoint(const EndpointId& endpoint, ErrorCode code);

    // Refusals since the last call, each entry exactly once.
    std::vector<QueueRefusal> takeRefusals();

    // Deadline that is reached next, or Time::max().
    [[nodiscard]] Time nextDue() const;

    // Estimated wait of a new entry, or no value while too little service has been measured.
    [[nodiscard]] std::optional<Duration> estimateWait(const QueueEntry& entry) const;

    // Whether the standing delay at the endpoint has been above the target for an interval.
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
    using Waiting = std::map<QueueTarget, std::set<Sequence>>;

    struct Record {
        QueueEntry entry;
        Time arrival;
    };

    // Entries of one caller in one class.
    struct Turn {
        Waiting waiting;
        std::size_t size = 0;
        int deficit = 0;
        // Whether this round's quantum has been added to the deficit.
        bool granted = false;
        std::list<CallerId>::iterator ringPosition;
    };

    struct ClassQueue {
        std::map<Sequence, Record> records;
        Waiting byTarget;
        std::unordered_map<CallerId, Turn> turns;
        // Callers with entries, the one whose turn it is first.
        std::list<CallerId> ring;
    };

    // Service of one endpoint.
    struct Server {
        EndpointRole role = EndpointRole::Replica;
        Time lastPop;
        // True if there has been an entry for the endpoint ever since the last pop, so that the time to the next pop is
        // a service interval.
        bool backlogged = false;
        // Smoothed service interval in microseconds.
        double interval = 0;
        int samples = 0;
        std::array<double, priorityCount> credit {};
        // Since when the standing delay has been above the target.
        std::optional<Time> delayedSince;
        Time nextShed;
        int shedCount = 0;
    };

    struct Place {
        Priority priority;
        Sequence sequence;
    };

    using Targets = std::vector<QueueTarget>;

    [[nodiscard]] static Targets targetsOf(const EndpointId& endpoint, EndpointRole role);
    [[nodiscard]] static bool serves(const EndpointId& endpoint, EndpointRole role, const QueueTarget& target);
    [[nodiscard]] static bool hasAny(const Waiting& waiting, const Targets& targets);
    [[nodiscard]] static std::optional<Sequence> oldestOf(const Waiting& waiting, const Targets& targets);
    [[nodiscard]] static std::size_t countOf(const Waiting& waiting, const Targets& targets);
    ClassQueue& queueOf(Priority priority) { return this->classes[static_cast<std::size_t>(priority)]; }
    [[nodiscard]] const ClassQueue& queueOf(Priority priority) const
    {
        return this->classes[static_cast<std::size_t>(priority)];
    }

    void insert(const QueueEntry& entry, Time now);
    Record remove(const Place& place);
    void refuse(const Place& place, ErrorCode code);
    // Refuses an entry so that the given one fits. Returns false if there is none to give way.
    bool makeRoomForCaller(const QueueEntry& entry);
    bool makeRoom(const QueueEntry& entry);
    bool makeRoomWithinClass(const QueueEntry& entry);
    [[nodiscard]] std::optional<Priority> lowestClass() const;

    std::optional<Sequence> nextInClass(ClassQueue& queue, const Targets& targets);
    std::optional<Priority> chooseClass(Server& server, const Targets& targets);
    Server& serverOf(const EndpointId& endpoint, EndpointRole role, Time now);
    void measure(Server& server, Time now) const;
    // Ends the measurements of the endpoints that have no entry left after the last one of a target was removed.
    void noteDrained(const QueueTarget& target);
    void watchDelay(Server& server, const Targets& targets, Time now) const;
    void shedIfOverloaded(Server& server, const Targets& targets, Time now);
    [[nodiscard]] bool delayed(const Server& server, Time now) const;
    [[nodiscard]] bool overloadedFor(const QueueTarget& target, Time now) const;
    [[nodiscard]] double rateOf(const QueueTarget& target, const QueueTarget* other) const;
    [[nodiscard]] double entriesAhead(const ClassQueue& queue, const QueueTarget& target) const;
    [[nodiscard]] std::optional<ErrorCode> refusalOf(const QueueEntry& entry, Time now) const;
    [[nodiscard]] Duration retryAfter(const QueueEntry& entry) const;

    AdmissionQueueSettings settings;
    std::array<ClassQueue, priorityCount> classes;
    Sequence lastSequence = 0;
    std::unordered_map<std::uint64_t, Place> index;
    std::set<std::tuple<Time, Sequence, std::uint64_t>> deadlines;
    std::unordered_map<CallerId, std::size_t> perCaller;
    std::map<EndpointId, Server> servers;
    std::vector<QueueRefusal> refusals;
};

} // namespace endivetrestle
