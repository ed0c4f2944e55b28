#pragma once

#include "base/clock.h"
#include "base/identifier.h"
#include "base/socket_address.h"
#include "base/strict_json.h"

#include <string>
#include <string_view>
#include <vector>

namespace endivetrestle {

// Identity and location of one daemon.
struct DaemonSettings {
    DaemonId id;
    // Host name for reports; addresses are never derived from it.
    std::string host;
    DataCentre dataCentre;
    Region region;

    bool operator==(const DaemonSettings&) const = default;
};

// Addresses that the daemon listens on. Port 0 lets the kernel choose.
struct ListenSettings {
    SocketAddress callers;
    SocketAddress peers;
    SocketAddress operators;

    bool operator==(const ListenSettings&) const = default;
};

// Addresses of the platform's services and the time to wait for an answer of each.
struct PlatformSettings {
    SocketAddress tableService;
    SocketAddress objectStore;
    SocketAddress liveList;
    Duration connectTimeout = std::chrono::milliseconds(1000);
    Duration tableTimeout = std::chrono::milliseconds(2000);
    Duration objectTimeout = std::chrono::milliseconds(5000);
    Duration liveListTimeout = std::chrono::milliseconds(2000);

    bool operator==(const PlatformSettings&) const = default;
};

// Files that hold secrets. The settings never hold a secret itself.
struct SecretFiles {
    // Key shared by the daemons for logins and transaction ids.
    std::string fleetKeyFile;
    // Keys of session tokens. The first one authenticates new tokens, all of them are accepted. One or two entries.
    std::vector<std::string> tokenKeyFiles;
    std::string operatorKeyFile;

    bool operator==(const SecretFiles&) const = default;
};

// Bounds on what callers may ask of the daemon.
struct LimitSettings {
    // Largest request body in bytes.
    std::size_t bodyBytes = 1048576;
    // Queued requests of one database over all priorities.
    std::size_t queuePerDatabase = 2000;
    // Queued requests of one caller at one database.
    std::size_t queuePerCaller = 500;
    std::size_t connectionsPerCaller = 10000;
    // Deadline of requests that state none, and the largest one that a request may state.
    Duration defaultDeadline = std::chrono::milliseconds(5000);
    Duration maximumDeadline = std::chrono::milliseconds(60000);
    // Idle time after which an open transaction is rolled back.
    Duration transactionIdle = std::chrono::milliseconds(10000);
    // Standing delay in the queue above which an endpoint counts as overloaded.
    Duration queueDelayTarget = std::chrono::milliseconds(50);
    // Time after which a session token is refused.
    Duration tokenLifetime = std::chrono::hours(24);

    bool operator==(const LimitSettings&) const = default;
};

// How owners monitor and use endpoints.
struct EndpointPolicy {
    // Time without an answer after which an endpoint is suspected.
    Duration suspectAfter = std::chrono::milliseconds(500);
    Duration probeInterval = std::chrono::milliseconds(100);
    // Time that a write waits until a majority of the endpoints holds it; after that its outcome is unknown.
    Duration ackDeadline = std::chrono::milliseconds(2000);
    // Largest age of the evidence on which a write is acknowledged.
    Duration ackEvidenceMaxAge = std::chrono::milliseconds(250);
    // Connections that an owner keeps open to each endpoint.
    int warmConnections = 2;
    // Connections that an owner opens to one endpoint at a time.
    int concurrentOpens = 2;
    // Daemons that hold connections to one database: one active, the others standby.
    int ownersPerDatabase = 2;

    bool operator==(const EndpointPolicy&) const = default;
};

// Which replica a read prefers.
enum class ReplicaPreference {
    // Smallest expected time from distance, load and lag.
    Fastest,
    // Own data centre first.
    Nearest,
    // Fewest busy slots first.
    LeastLoaded,
};

// How reads are distributed to replicas.
struct ReadSettings {
    // Longest time that a read waits for a replica to apply a position before it goes to the primary.
    Duration maxReplicaWait = std::chrono::milliseconds(50);
    ReplicaPreference replicaPreference = ReplicaPreference::Fastest;
    // A read goes to a replica, or waits for one, as long as that costs at most this much more than the primary.
    Duration primaryPenalty = std::chrono::milliseconds(20);
    // Share of a replica's lag that counts as cost, so that reads without a bound prefer up-to-date replicas.
    double lagWeight = 0.05;

    bool operator==(const ReadSettings&) const = default;
};

// Gossip with other daemons.
struct GossipPolicy {
    Duration interval = std::chrono::milliseconds(1000);
    // Peers in one round.
    int fanout = 2;
    // Peers that are told immediately of a new configuration version.
    int pushFanout = 3;

    bool operator==(const GossipPolicy&) const = default;
};

// Polling of the platform's services as a fallback to gossip.
struct PollPolicy {
    Duration interval = std::chrono::seconds(30);
    // Largest random shift of a poll in either direction, as a fraction of the interval from 0 to 0.5.
    double jitter = 0.2;

    bool operator==(const PollPolicy&) const = default;
};

// Settings of one daemon process.
struct Settings {
    DaemonSettings daemon;
    ListenSettings listen;
    PlatformSettings platform;
    SecretFiles secrets;
    LimitSettings limits;
    EndpointPolicy endpoints;
    ReadSettings reads;
    GossipPolicy gossip;
    PollPolicy poll;
    // Threads that parse requests and run decisions.
    int workers = 2;
    // Threads that handle the sockets to endpoints, peers and the platform.
    int networkLoops = 1;
    // "debug", "info", "warning" or "error".
    std::string logLevel = "info";

    bool operator==(const Settings&) const = default;
};

// Result of parseSettings(). The settings may be used only if there are no problems.
struct SettingsResult {
    Settings settings;
    std::vector<JsonProblem> problems;
};

// Parses settings from JSON with comments and reports every problem at once. The source is the file name for reports.
//
// Example:
//     const auto result = parseSettings(text, "samples/prism.daemon.jsonc");
//     for (const auto& problem : result.problems)
//         std::cerr << toString(problem) << "\n";
SettingsResult parseSettings(std::string_view text, const std::string& source);

} // namespace endivetrestle
