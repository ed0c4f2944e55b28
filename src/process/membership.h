#pragma once

#include "base/clock.h"
#include "base/identifier.h"
#include "base/socket_address.h"
#include "process/host_capacity.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

namespace endivetrestle {

// State of a daemon in this daemon's view. A later enumerator overrides an earlier one of the same incarnation.
enum class DaemonState { Alive, Suspected, Leaving, Dead };

// "alive", "suspected", "leaving" or "dead".
std::string_view daemonStateName(DaemonState state);

// What is known of one daemon.
struct DaemonInfo {
    DaemonId id;
    SocketAddress peersAddress;
    DataCentre dataCentre;
    Region region;
    // Raised only by the daemon itself, to refute a suspicion or after a restart.
    std::uint64_t incarnation = 0;
    DaemonState state = DaemonState::Alive;
    // What its host can carry; not stated by a daemon of an earlier release.
    HostCapacity capacity {};

    bool operator==(const DaemonInfo&) const = default;
};

// Entry of the platform's live list.
struct LiveListEntry {
    DaemonId id;
    SocketAddress peersAddress;
    DataCentre dataCentre;
    Region region;
    bool leaving = false;

    bool operator==(const LiveListEntry&) const = default;
};

struct MembershipSettings {
    // Consecutive failed calls after which a daemon is suspected.
    int failuresToSuspect = 2;
    // Time that a suspected daemon has to refute the suspicion before it is declared dead.
    Duration suspicionTimeout = std::chrono::seconds(3);
    // A suspicion by other daemons is ignored while this daemon's last successful call is more recent than this.
    Duration recentContactAge = std::chrono::seconds(2);
    // Time for which a dead daemon is remembered, so that old messages do not revive it.
    Duration deadRetention = std::chrono::minutes(10);
    std::size_t maxDaemons = 4096;
};

// View of the fleet's daemons, derived from the live list, this daemon's own calls and gossip. The live list lags: it
// adds daemons and marks them as leaving, but own observations decide between alive, suspected and dead. A gossiped
// death only counts as a suspicion, so that a daemon that is cut off from the network cannot remove others: every
// daemon gives the suspected one time to refute it.
class Membership {
public:
    // Largest integer that every JSON library represents exactly.
    static constexpr std::uint64_t maxIncarnation = 1ULL << 53U;

    // The incarnation of self should be higher than in earlier runs, for example the Unix time in milliseconds.
    Membership(DaemonInfo self, MembershipSettings settings = {});

    // Applies a new live list. Daemons that it no longer lists are suspected unless this daemon reached them recently.
    // If it lists this daemon's host as leaving, self is leaving too. An empty list is taken for a fault of the service
    // and ignored.
    void applyLiveList(Time now, const std::vector<LiveListEntry>& list);
    // Records the result of a call to a daemon.
    void reportSuccess(Time now, const DaemonId& daemon);
    void reportFailure(Time now, const DaemonId& daemon);
    // Merges an entry received by gossip. Returns whether the view changed. A suspicion of self raises its incarnation.
    // Incarnations above maxIncarnation are ignored as malformed.
    bool merge(Time now, const DaemonInfo& info);
    // Declares that this daemon is shutting down. It stays leaving, whatever the live list says.
    void leave(Time now);
    // Declares daemons dead whose suspicion has timed out, and forgets daemons that have been dead for deadRetention.
    // Call at nextDue() or later.
    void tick(Time now);
    [[nodiscard]] Time nextDue() const;

    [[nodiscard]] DaemonInfo self() const;
    [[nodiscard]] std::optional<DaemonInfo> find(const DaemonId& daemon) const;
    // All known daemons including self, ordered by id.
    [[nodiscard]] std::vector<DaemonInfo> view() const;
    // Calls the callback for each entry of view() without copying the view. The callback must not change the
    // membership.
    void forEach(const std::function<void(const DaemonInfo&)>& callback) const;
    [[nodiscard]] std::size_t size() const { return this->entries.size(); }

    // Number of the latest change. Callers that cache data derived from the view compare it.
    [[nodiscard]] std::uint64_t sequence() const { return this->lastSequence; }

    struct Delta {
        std::uint64_t sequence = 0;
        DaemonInfo info;
    };
    // Entries changed after the given sequence number, oldest change first, at most limit.
    [[nodiscard]] std::vector<Delta> deltasSince(std::uint64_t sequence, std::size_t limit) const;

private:
    struct Entry {
        DaemonInfo info;
        std::uint64_t sequence = 0;
        int failures = 0;
        std::optional<Time> lastSuccess;
        // When the state was last changed.
        Time changedAt;
        bool listed = false;
        bool listedLeaving = false;
    };

    [[nodiscard]] Entry& selfEntry() { return this->entries.at(this->selfId); }
    Entry* findOther(const DaemonId& daemon);
    bool add(Time now, const DaemonInfo& info);
    bool evictOldestDead();
    void setState(Time now, Entry& entry, DaemonState state);
    void markChanged(Entry& entry);
    void applyLiveListEntry(Time now, const LiveListEntry& listed);
    void onListedLeaving(Time now, Entry& entry, bool leaving);
    void onDelisted(Time now, Entry& entry);
    bool mergeSelf(const DaemonInfo& info);
    bool mergeOther(Time now, Entry& entry, const DaemonInfo& info);
    void remove(const DaemonId& daemon);
    [[nodiscard]] bool reachedRecently(Time now, const Entry& entry) const;
    [[nodiscard]] Time dueTime(const Entry& entry) const;

    DaemonId selfId;
    MembershipSettings settings;
    bool shuttingDown = false;
    std::map<DaemonId, Entry> entries;
    std::map<std::uint64_t, DaemonId> bySequence;
    std::uint64_t lastSequence = 0;
};

} // namespace endivetrestle
