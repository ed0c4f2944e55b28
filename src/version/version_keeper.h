#pragma once

#include "base/clock.h"
#include "base/identifier.h"
#include "base/random_source.h"
#include "version/configuration.h"
#include "version/configuration_row.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace endivetrestle {

// Announcement by a peer of the version that it has in force.
struct VersionHint {
    std::uint64_t version = 0;
    // Content hash, 64 lower-case hexadecimal digits.
    std::string hash;
    DaemonId from;

    bool operator==(const VersionHint&) const = default;
};

// Fetch the configuration from a peer, of this version or a newer one (Peer.fetchConfiguration).
struct FetchFromPeer {
    DaemonId peer;
    std::uint64_t version = 0;
    bool operator==(const FetchFromPeer&) const = default;
};
// Read the configuration row from the table service.
struct PollStore {
    bool operator==(const PollStore&) const = default;
};
// Fetch a configuration from the object store.
struct FetchFromStore {
    std::string key;
    std::uint64_t version = 0;
    bool operator==(const FetchFromStore&) const = default;
};
// Exchange gossip with a random peer at once, because the store has not answered yet.
struct GossipWithPeer {
    bool operator==(const GossipWithPeer&) const = default;
};
// Put the configuration in force and announce it to peers.
struct AdoptVersion {
    std::shared_ptr<const Configuration> configuration;
    bool operator==(const AdoptVersion&) const = default;
};

using KeeperAction = std::variant<FetchFromPeer, PollStore, FetchFromStore, GossipWithPeer, AdoptVersion>;

struct VersionKeeperSettings {
    Duration pollInterval = std::chrono::seconds(30);
    // Share of the interval by which a poll is randomly moved earlier or later.
    double jitter = 0.2;
    // Interval of gossip with peers while the store has not answered.
    Duration gossipInterval = std::chrono::seconds(1);
    // Time after which an unanswered fetch or poll counts as failed.
    Duration fetchTimeout = std::chrono::seconds(3);
    // Interval of polls and of fetches from the object store after a failure, with the same jitter.
    Duration retryInterval = std::chrono::seconds(5);
    // Maximum number of peers whose hints and versions in force are stored.
    std::size_t maxPeers = 4096;
};

// Which versions other daemons report in force.
struct InForceView {
    // Daemons per version.
    std::map<std::uint64_t, std::size_t> counts;
    // Daemons that report an older version than this daemon's, up to the requested limit.
    std::vector<DaemonId> behind;
};

// Decides which configuration version to fetch and to adopt. It adopts strictly newer versions only, so the version in
// force never goes back, whatever peers or the store answer. A fetched configuration must have the hash from the hint
// or the row.
//
// Example:
//     perform(keeper.onHint(now, { 8, hash, DaemonId("prism-2") })); // FetchFromPeer
//     perform(keeper.onPeerBody(now, DaemonId("prism-2"), body));      // AdoptVersion
class VersionKeeper {
public:
    VersionKeeper(VersionKeeperSettings settings, RandomSource random);

    // Returns the first actions after the start of the process.
    std::vector<KeeperAction> start(Time now);
    // Handles timeouts and starts polls and fetches that are due. Call at nextDue() or later.
    std::vector<KeeperAction> tick(Time now);
    [[nodiscard]] Time nextDue() const;

    // A peer announced the version that it has in force. Malformed hints are ignored. Peers whose last answers were
    // invalid or missing are not asked again for a time that doubles with each failure, from 2 s to 64 s.
    std::vector<KeeperAction> onHint(Time now, const VersionHint& hint);
    // Records the version in force at a daemon, learned directly or through other daemons.
    void onInForce(const DaemonId& daemon, std::uint64_t version);
    void forgetDaemon(const DaemonId& daemon);

    // Answers to actions.
    std::vector<KeeperAction> onPeerBody(Time now, const DaemonId& peer, std::string_view body);
    std::vector<KeeperAction> onPeerFailed(Time now, const DaemonId& peer);
    // NotFound means that no configuration was ever accepted.
    std::vector<KeeperAction> onPolled(Time now, const StoreAnswer& answer);
    std::vector<KeeperAction> onStoreBody(Time now, const StoreAnswer& answer);

    // A confirmation at this daemon was accepted, so its configuration need not be fetched.
    std::vector<KeeperAction> onAccepted(Time now, std::shared_ptr<const Configuration> configuration);

    // Version in force at this daemon, or null.
    [[nodiscard]] std::shared_ptr<const Configuration> current() const { return this->inForce; }
    // Whether the store has answered a poll since the start.
    [[nodiscard]] bool storeAnswered() const { return this->storeHasAnswered; }
    // Newest version known from this daemon, its peers or the store.
    [[nodiscard]] std::uint64_t newestKnown() const;
    [[nodiscard]] InForceView inForceView(std::size_t limit) const;
    // Number of fetched configurations with a wrong hash, a wrong version or invalid content.
    [[nodiscard]] std::uint64_t refusedBodies() const { return this->refusedBodyCount; }

private:
    struct Fetch {
        // Empty for the object store.
        DaemonId peer;
        std::uint64_t version = 0;
        std::string hash;
        Time startedAt;
    };
    // Backoff of a peer whose answers were invalid or missing.
    struct Penalty {
        Time until;
        int failures = 0;
    };

    std::vector<KeeperAction> startFetch(Time now);
    [[nodiscard]] std::vector<const VersionHint*> newestHints(Time now) const;
    [[nodiscard]] bool storeIsNewer(Time now, std::uint64_t version) const;
    std::vector<KeeperAction> adoptIfValid(Time now, const std::string& body);
    [[nodiscard]] bool isKnownHash(std::uint64_t version, const std::string& hash) const;
    std::vector<KeeperAction> adopt(Time now, std::shared_ptr<const Configuration> configuration);
    void recordFetchFailure(Time now);
    void dropOldHints();
    void runFetchTimeout(Time now);
    void runPoll(Time now, std::vector<KeeperAction>& actions);
    [[nodiscard]] std::uint64_t currentVersion() const;
    Duration jittered(Duration interval);

    VersionKeeperSettings settings;
    RandomSource random;
    std::shared_ptr<const Configuration> inForce;
    std::map<DaemonId, VersionHint> hints;
    std::map<DaemonId, Penalty> penalties;
    std::map<DaemonId, std::uint64_t> reportedVersions;
    std::optional<ConfigurationRow> storeRow;
    std::optional<Fetch> fetch;
    bool storeHasAnswered = false;
    std::optional<Time> pollStartedAt;
    Time pollDue;
    Time gossipDue;
    // Earliest time of the next fetch from the object store.
    Time storeFetchDue;
    std::uint64_t refusedBodyCount = 0;
};

} // namespace endivetrestle
