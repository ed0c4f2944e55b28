#pragma once

#include "base/clock.h"
#include "base/identifier.h"
#include "base/random_hook.h"
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

// A version that a peer has in force.
struct VersionHint {
    std::uint64_t version = 0;
    // Content hash, 64 lower-case hexadecimal digits.
    std::string hash;
    DaemonId from;

    bool operator==(const VersionHint&) const = default;
};

// Fetch a body of at least this version from a peer (Peer.fetchConfiguration).
struct FetchFromPeer {
    DaemonId peer;
    std::uint64_t version = 0;
    bool operator==(const FetchFromPeer&) const = default;
};
// Read the configuration row from the table service.
struct PollStore {
    bool operator==(const PollStore&) const = default;
};
// Get a body from the object store.
struct FetchFromStore {
    std::string key;
    std::uint64_t version = 0;
    bool operator==(const FetchFromStore&) const = default;
};
// Exchange gossip with a random peer at once: no version, or none that the store has confirmed, is known.
struct AskPeer {
    bool operator==(const AskPeer&) const = default;
};
// Put the configuration in force and tell peers.
struct AdoptVersion {
    std::shared_ptr<const Configuration> configuration;
    bool operator==(const AdoptVersion&) const = default;
};

using KeeperAction = std::variant<FetchFromPeer, PollStore, FetchFromStore, AskPeer, AdoptVersion>;

struct VersionKeeperSettings {
    Duration pollInterval = std::chrono::seconds(30);
    // Part of the interval by which a poll is moved at random to either side.
    double jitter = 0.2;
    // Time between questions to peers while the store has not confirmed a version.
    Duration askInterval = std::chrono::seconds(1);
    // Time after which an unanswered fetch is given up.
    Duration fetchTimeout = std::chrono::seconds(3);
    // Polls follow each other at this interval after a failure, with the same jitter.
    Duration retryInterval = std::chrono::seconds(5);
    // Peers whose hints and versions in force are remembered.
    std::size_t maxPeers = 4096;
};

// Which versions other daemons report in force.
struct InForceView {
    // Daemons per version.
    std::map<std::uint64_t, std::size_t> counts;
    // Daemons that report a version below this daemon's, at most the limit asked for.
    std::vector<DaemonId> behind;
};

// Decides which configuration version to fetch and to adopt. It adopts strictly newer versions only, so a version
// never reverts, whatever peers or the store answer. Bodies are checked against the hash of the hint or of the row.
//
// Example:
//     perform(keeper.onHint(now, { 8, hash, DaemonId("prism-2") })); // FetchFromPeer
//     perform(keeper.onPeerBody(now, DaemonId("prism-2"), body));      // AdoptVersion
class VersionKeeper {
public:
    VersionKeeper(VersionKeeperSettings settings, RandomHook random);

    // First actions after the start of the process.
    std::vector<KeeperAction> start(Time now);
    // Runs what is due. Call at nextDue() or later.
    std::vector<KeeperAction> tick(Time now);
    [[nodiscard]] Time nextDue() const;

    // A peer states the version that it has in force. Malformed hints are ignored; peers whose last bodies were refused
    // or missing are not asked again for a doubling time of up to a minute.
    std::vector<KeeperAction> onHint(Time now, const VersionHint& hint);
    // Version in force at a daemon, learned directly or through others.
    void onInForce(const DaemonId& daemon, std::uint64_t version);
    void forgetDaemon(const DaemonId& daemon);

    // Answers to actions.
    std::vector<KeeperAction> onPeerBody(Time now, const DaemonId& peer, std::string_view body);
    std::vector<KeeperAction> onPeerFailed(Time now, const DaemonId& peer);
    // NotFound means that no configuration was ever accepted.
    std::vector<KeeperAction> onPolled(Time now, const StoreAnswer& answer);
    std::vector<KeeperAction> onStoreBody(Time now, const StoreAnswer& answer);

    // A confirmation at this daemon was accepted; saves the fetch.
    std::vector<KeeperAction> onAccepted(Time now, std::shared_ptr<const Configuration> configuration);

    // Version in force at this daemon, or null.
    [[nodiscard]] std::shared_ptr<const Configuration> current() const { return this->inForce; }
    // Whether the store has answered a poll since the start.
    [[nodiscard]] bool storeAnswered() const { return this->storeHasAnswered; }
    // Newest version that peers or the store have named.
    [[nodiscard]] std::uint64_t newestKnown() const;
    [[nodiscard]] InForceView inForceView(std::size_t limit) const;
    // Bodies refused because of a wrong hash, a wrong version or wrong content.
    [[nodiscard]] std::uint64_t refusedBodies() const { return this->refused; }

private:
    struct Fetch {
        // Empty for the object store.
        DaemonId peer;
        std::uint64_t version = 0;
        std::string hash;
        Time startedAt;
    };
    // Peer whose bodies were refused or did not arrive.
    struct Penalty {
        Time until;
        int failures = 0;
    };

    std::vector<KeeperAction> next(Time now);
    [[nodiscard]] std::vector<const VersionHint*> newestHints(Time now) const;
    [[nodiscard]] bool storeIsNewer(Time now, std::uint64_t version) const;
    std::vector<KeeperAction> consider(Time now, const std::string& body);
    [[nodiscard]] bool isKnownHash(std::uint64_t version, const std::string& hash) const;
    std::vector<KeeperAction> adopt(Time now, std::shared_ptr<const Configuration> configuration);
    void fail(Time now);
    void dropOldHints();
    void runFetchTimeout(Time now);
    void runPoll(Time now, std::vector<KeeperAction>& actions);
    [[nodiscard]] std::uint64_t currentVersion() const;
    Duration jittered(Duration interval);

    VersionKeeperSettings settings;
    RandomHook random;
    std::shared_ptr<const Configuration> inForce;
    std::map<DaemonId, VersionHint> hints;
    std::map<DaemonId, Penalty> penalties;
    std::map<DaemonId, std::uint64_t> reports;
    std::optional<ConfigurationRow> storeRow;
    std::optional<Fetch> fetch;
    bool storeHasAnswered = false;
    std::optional<Time> pollStartedAt;
    Time pollDue;
    Time askDue;
    // Earliest time of the next fetch from the object store.
    Time storeFetchDue;
    std::uint64_t refused = 0;
};

} // namespace endivetrestle
