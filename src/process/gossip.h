#pragma once

#include "base/clock.h"
#include "base/identifier.h"
#include "base/random_hook.h"
#include "process/membership.h"
#include "version/version_keeper.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
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
// A message holds the sender's version, a digest of the view in buckets, and entries of daemons: what changed lately
// first, then entries of buckets in which the other side's last digest differs.
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
    static constexpr std::size_t bucketCount = 16;
    using Digest = std::array<std::uint32_t, bucketCount>;

    std::vector<DaemonInfo> choose(std::size_t count);
    void refresh();
    [[nodiscard]] Digest digest() const;
    std::vector<DaemonInfo> candidatesFor(const DaemonId& peer);
    void appendInForce(std::string& text);

    Membership& membership;
    GossipSettings settings;
    RandomHook random;
    std::uint64_t version = 0;
    std::string hash;
    std::uint64_t rounds = 0;
    // Times that the latest change of a daemon was sent.
    std::map<DaemonId, std::pair<std::uint64_t, int>> sent;
    std::map<DaemonId, Digest> lastDigests;
    std::map<DaemonId, std::uint64_t> inForce;
};

} // namespace endivetrestle
