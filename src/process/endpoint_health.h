#pragma once

#include "base/clock.h"
#include "base/identifier.h"
#include "process/observed_time.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace endivetrestle {

struct EndpointHealthSettings {
    // Time without contact after which an endpoint is suspected, raised to probeTimeFactor times the 99th percentile of
    // the probe times, and at most longestSuspectAfter.
    Duration suspectAfter = std::chrono::milliseconds(500);
    Duration longestSuspectAfter = std::chrono::milliseconds(2000);
    int probeTimeFactor = 4;
    // Number of latest probe times from which the percentile is computed.
    std::size_t probeWindow = 128;
    // Longest step between two ticks that counts towards silence. Ticks should come at least this often.
    Duration longestStep = std::chrono::milliseconds(100);
    // Weight of a new result in the smoothed latency and in the error rate.
    double smoothing = 0.1;
    // An endpoint is an outlier if its latency is above outlierFactor times the median of the other endpoints and above
    // that median by outlierFloor, or if its error rate exceeds theirs by outlierErrorRate.
    double outlierFactor = 3;
    Duration outlierFloor = std::chrono::milliseconds(5);
    double outlierErrorRate = 0.5;
    // Results of an endpoint that are needed before it can be an outlier.
    std::size_t outlierResults = 10;
    // Time for which an outlier gets no reads.
    Duration ejectionTime = std::chrono::seconds(5);

    bool operator==(const EndpointHealthSettings&) const = default;
};

// Result of one probe or statement. A statement that failed inside the database is not a failure here: the endpoint
// answered.
struct CallResult {
    EndpointId endpoint;
    Time sentAt;
    // When the answer arrived or the failure was noticed.
    Time receivedAt;
    bool failed = false;
    // Only probes count towards the percentile, since statements may be slow by themselves.
    bool probe = false;
    // False for calls that wait at the endpoint, since their time does not measure its latency.
    bool timed = true;

    bool operator==(const CallResult&) const = default;
};

// Health of one endpoint.
struct EndpointHealthView {
    // Time of the last answer; no value if there was none.
    std::optional<Time> lastContact;
    // Time without contact while this process was running. Pauses of the process do not count.
    Duration silence {};
    // Silence after which the endpoint is suspected.
    Duration suspectAfter {};
    bool suspected = false;
    // Smoothed time of successful calls. Zero if there was none.
    Duration latency {};
    // Smoothed share of failed calls, 0 to 1.
    double errorRate = 0;
    // The endpoint is slow or failing compared with its peers and gets no reads for now.
    bool ejected = false;

    bool operator==(const EndpointHealthView&) const = default;
};

// Health of the endpoints of one database, derived from results of calls. Not thread-safe.
//
// Example:
//     health.onResult({ endpoint, sentAt, receivedAt, false, true });
//     health.tick(now);
//     if (health.view(endpoint).suspected) ...
class EndpointHealth {
public:
    EndpointHealth(EndpointHealthSettings settings, std::vector<EndpointId> endpoints, Time now);

    // Applies a changed group. Endpoints that remain keep their history.
    void setEndpoints(std::vector<EndpointId> endpoints, Time now);

    // Results of endpoints outside the group are ignored.
    void onResult(const CallResult& result);

    // Advances the silence and ends or starts ejections. The given primary is never ejected, since writes go to it
    // anyway. Of the other endpoints that are not suspected, at least one stays in use.
    void tick(Time now, const EndpointId& primary = {});

    // View as of the last tick or result. A default value for an endpoint outside the group.
    [[nodiscard]] EndpointHealthView view(const EndpointId& endpoint) const;

    // Suspicion timeout of one endpoint.
    [[nodiscard]] Duration suspectAfter(const EndpointId& endpoint) const;

    // Time without contact for a peer's opinion, counted like EndpointHealthView::silence and from the addition of an
    // endpoint that never answered, so that neither a pause nor a recent start looks like a lost contact. No value for
    // an endpoint outside the group.
    [[nodiscard]] std::optional<Duration> contactAge(const EndpointId& endpoint, Time now) const;

private:
    struct EndpointRecord {
        std::optional<Time> lastContact;
        // Observed time of the last contact, or of the endpoint being added.
        Duration contactAt {};
        std::deque<Duration> probeTimes;
        Duration suspectAfter {};
        std::optional<double> latency;
        double errorRate = 0;
        std::size_t results = 0;
        std::optional<Time> ejectedUntil;
    };

    void addProbeTime(EndpointRecord& record, Duration time) const;
    void endEjections(Time now, const EndpointId& primary);
    void restoreReplicas(const EndpointId& primary);
    [[nodiscard]] bool isSuspected(const EndpointRecord& record) const;
    [[nodiscard]] bool isOutlier(const EndpointId& endpoint, const EndpointRecord& record) const;
    [[nodiscard]] std::optional<double> medianOfOthers(
        const EndpointId& endpoint, const std::function<std::optional<double>(const EndpointRecord&)>& value) const;
    [[nodiscard]] bool isReplicaInUse(const EndpointId& primary, const EndpointId& excluded) const;

    EndpointHealthSettings settings;
    ObservedTime observed;
    std::map<EndpointId, EndpointRecord> records;
};

} // namespace endivetrestle
