#pragma once

#include "base/clock.h"
#include "base/identifier.h"
#include "base/random_hook.h"
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
    // Peers that are told at once of a new configuration version.
    std::size_t pushFanout = 3;
    // One of this many rounds also tries a suspected or dead daemon, so that a healed partition joins again.
    std::uint64_t deadRetryRounds = 8;
};

// What a message told.
struct GossipReceived {
    // Version in force at the sender; no value if it has none.
    std::optional<VersionHint> hint;
    // Versions in force at other daemons, as the sender knows them.
    std::vector<std::pair<DaemonId, std::uint64_t>> inForce;
    // Daemons whose entry changed.
    std::size_t changes = 0;
};

// Spreads the view of daemons and hints of configuration versions. An exchange sends one message and gets one back:
// the initiator sends message(peer), the other side calls receive() and answers message(initiator).
//
// A message is compact JSON. It holds the sender's version, a digest of the view in buckets, entries of daemons (the
// sender's, then what changed lately, then entries of buckets in which the other side's last digest differs), and
// daemons that are known to have the sender's version in force.
//
// Example:
//     for (const auto& peer : gossip.round())
//         call(peer, gossip.message(peer.id)); // on answer: gossip.receive(now, peer.id, answer)
class Gossip {
public:
    // The membership must outlive the gossip. Neither locks; the owner does.
    Gossip(Membership& membership, GossipSettings settings, RandomHook random);

    // Peers of the next round: own data centre, own region and other regions take turns by chance.
    std::vector<DaemonInfo> round();
    // Puts a version in force at this daemon and returns the peers to exchange with at once.
    std::vector<DaemonInfo> announce(std::uint64_t version, const std::string& hash);
    // Message for a peer, at most maxBytes.
    std::string message(const DaemonId& peer);
    // Takes a message. Returns no value for text that is too long or malformed; unknown fields are ignored.
    std::optional<GossipReceived> receive(Time now, const DaemonId& from, std::string_view text);

private:
    static constexpr std::size_t bucketCount = 32;
    // One exclusive or of entry hashes per bucket of daemon ids.
    using Digest = std::array<std::uint16_t, bucketCount>;

    struct News {
        std::uint64_t sequence = 0;
        int timesSent = 0;
    };

    using Candidates = std::vector<const DaemonInfo*>;

    std::vector<DaemonInfo> choose(std::size_t count, bool retryDead);
    // Removes a random candidate, which must exist.
    DaemonInfo take(Candidates& candidates);
    void refresh();
    [[nodiscard]] int sendLimit() const;
    // Entries for a peer, most urgent first.
    std::vector<DaemonInfo> entriesFor(const DaemonId& peer);
    void appendNews(std::vector<DaemonInfo>& entries) const;
    void appendDiffering(const DaemonId& peer, std::vector<DaemonInfo>& entries);
    [[nodiscard]] std::vector<DaemonId> daemonsInForce();
    void countSent(const DaemonInfo& info);
    void rememberDigest(const DaemonId& from, const nlohmann::json& text);
    void readInForce(const DaemonId& from, const nlohmann::json& value, GossipReceived& received);

    Membership& membership;
    GossipSettings settings;
    RandomHook random;
    std::uint64_t version = 0;
    std::string hash;
    std::uint64_t rounds = 0;
    // Latest change of the membership that the digest and the news include.
    std::uint64_t seenSequence = 0;
    Digest digest {};
    std::unordered_map<DaemonId, std::uint16_t> contributions;
    // Changes that were not yet sent often enough.
    std::map<DaemonId, News> news;
    // Last entry that was sent because digests differed.
    DaemonId cursor;
    // Digests of peers that await their answer, at most digestLimit.
    std::map<DaemonId, Digest> peerDigests;
    // Versions in force at known daemons.
    std::map<DaemonId, std::uint64_t> inForce;
};

} // namespace endivetrestle
