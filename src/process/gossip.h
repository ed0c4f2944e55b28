#pragma once

#include "base/clock.h"
#include "base/identifier.h"
#include "base/random_source.h"
#include "process/membership.h"
#include "version/version_keeper.h"

#include <nlohmann/json_fwd.hpp>

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace endivetrestle {

struct GossipSettings {
    // Largest message in bytes, each way.
    std::size_t maxBytes = 1200;
    // Peers in one round.
    std::size_t fanout = 2;
    // Peers that are told immediately of a new configuration version.
    std::size_t pushFanout = 3;
    // One of this many rounds also contacts a suspected or dead daemon, so that the fleet reunites after a network
    // partition.
    std::uint64_t deadRetryRounds = 8;
};

// Content of a received message.
struct GossipReceived {
    // Version in force at the sender; no value if it has none.
    std::optional<VersionHint> hint;
    // Versions in force at other daemons, as the sender knows them.
    std::vector<std::pair<DaemonId, std::uint64_t>> inForce;
    // Daemons whose entry changed.
    std::size_t changes = 0;
};

// Spreads the membership view and hints of configuration versions. An exchange consists of one message in each
// direction: the initiator sends message(peer), the other side calls receive() and answers with message(initiator).
//
// A message is compact JSON. It holds the sender's version, a digest of the view in buckets, entries of daemons (the
// sender's, then recent changes, then entries of buckets in which the other side's last digest differs), and daemons
// that are known to have the sender's version in force.
//
// Example:
//     for (const auto& peer : gossip.round())
//         call(peer, gossip.message(peer.id)); // on answer: gossip.receive(now, peer.id, answer)
class Gossip {
public:
    // The membership must outlive the gossip. Neither class is thread-safe; the owner has to lock.
    Gossip(Membership& membership, GossipSettings settings, RandomSource random);

    // Returns random peers for the next round, from the own data centre, the own region and other regions.
    std::vector<DaemonInfo> round();
    // Puts a version in force at this daemon and returns the peers for an immediate exchange.
    std::vector<DaemonInfo> announce(std::uint64_t version, const std::string& hash);
    // Returns the message for a peer, at most maxBytes long.
    std::string message(const DaemonId& peer);
    // Processes a received message. Returns no value if the text is too long or malformed; unknown fields are ignored.
    std::optional<GossipReceived> receive(Time now, const DaemonId& from, std::string_view text);

private:
    static constexpr std::size_t bucketCount = 32;
    // XOR of the entry hashes in each bucket of daemon ids.
    using Digest = std::array<std::uint16_t, bucketCount>;

    struct PendingUpdate {
        std::uint64_t sequence = 0;
        int timesSent = 0;
    };

    using Candidates = std::vector<const DaemonInfo*>;

    std::vector<DaemonInfo> choosePeers(std::size_t count, bool retryDead);
    // Removes and returns a random candidate. There must be at least one.
    DaemonInfo takeRandom(Candidates& candidates);
    void applyMembershipChanges();
    [[nodiscard]] int maxSends() const;
    // Entries for a peer, most urgent first.
    std::vector<DaemonInfo> entriesFor(const DaemonId& peer);
    void appendPendingUpdates(std::vector<DaemonInfo>& entries) const;
    void appendDifferingEntries(const DaemonId& peer, std::vector<DaemonInfo>& entries);
    [[nodiscard]] std::vector<DaemonId> daemonsWithVersionInForce();
    void recordSent(const DaemonInfo& info);
    void storePeerDigest(const DaemonId& from, const nlohmann::json& text);
    void parseInForce(const DaemonId& from, const nlohmann::json& value, GossipReceived& received);

    Membership& membership;
    GossipSettings settings;
    RandomSource random;
    std::uint64_t version = 0;
    std::string hash;
    std::uint64_t rounds = 0;
    // Latest change of the membership that the digest and the pending updates include.
    std::uint64_t appliedSequence = 0;
    Digest digest {};
    std::unordered_map<DaemonId, std::uint16_t> contributions;
    // Changes that have not been sent maxSends() times yet.
    std::map<DaemonId, PendingUpdate> pendingUpdates;
    // Last entry that was sent because digests differed; the next message continues after it.
    DaemonId digestSyncCursor;
    // Latest digests of peers that have not been answered yet, at most digestLimit.
    std::map<DaemonId, Digest> peerDigests;
    // Versions in force at known daemons.
    std::map<DaemonId, std::uint64_t> inForce;
};

} // namespace endivetrestle
