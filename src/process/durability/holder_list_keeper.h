#pragma once

#include "process/durability/commit_holders.h"
#include "process/fleet_hooks.h"

#include <map>
#include <memory>
#include <optional>

namespace endivetrestle {

// State and functions that the keeper shares with the fleet controller. All references must outlive the keeper.
struct HolderListContext {
    TableStore& store;
    const FleetHooks& hooks;
    std::function<Time()> now;
    // Era of the store by which this daemon goes, and whether it has taken over the primaries of that era.
    std::function<std::uint64_t()> era;
    std::function<bool()> hasJoinedEra;
    // Row of a group; null if there is none.
    std::function<const PrimaryRow*(const DatabaseId&)> row;
    // Number of live daemons that write the list of a group before this one.
    std::function<std::size_t(const WatchedGroup&)> rank;
    // Applies a row that the keeper has written, and announces it to the daemons that use the group.
    std::function<void(const PrimaryRow&)> publish;
    // Reads the fleet table again, after a conflict or a lost answer.
    std::function<void()> rereadFleetTable;
};

// Keeps the lists of commit holders in the rows of the groups that this daemon watches, and tells whether a commit may
// be acknowledged: only while every registered endpoint of the group is in the list that is recorded in the present
// era. Groups without synchronous replicas have no list.
//
// A list is written when an endpoint process is registered that it lacks, and when one has left that can hold nothing
// alone any more. All writes are conditional on the version of the row, and none is made while the primary is being
// replaced: the claim has the list by then, and nothing is acknowledged.
class HolderListKeeper {
public:
    // Delay of each daemon behind the previous one in rank order, so that usually only the first one writes.
    static constexpr Duration writeStagger = std::chrono::milliseconds(150);

    explicit HolderListKeeper(HolderListContext context);
    ~HolderListKeeper();
    HolderListKeeper(const HolderListKeeper&) = delete;
    HolderListKeeper& operator=(const HolderListKeeper&) = delete;

    // Writes what is due for a group. Called periodically, and when its registered endpoints have changed.
    void update(const WatchedGroup& watched);
    // Whether a commit of the group may be acknowledged as far as the list is concerned.
    [[nodiscard]] bool isRecorded(const DatabaseId& group) const;
    // Everything that this daemon knows to be a holder of the group: the recorded list and what it lacks so far.
    [[nodiscard]] CommitHolders known(const DatabaseId& group) const;

private:
    // Check whether holders that have left can still hold something alone.
    struct Departure {
        CommitHolders left;
        // Term and primary in which it began.
        std::uint64_t term = 0;
        EndpointId primary;
        Time startedAt;
        // Time of the next request to the endpoints.
        Time nextAskAt;
        std::size_t outstanding = 0;
        // Position that the primary reported after the holders had left.
        std::optional<Position> target;
        std::size_t reached = 0;
    };
    struct Group {
        // Holders that this daemon knows of and that the list lacks.
        CommitHolders unrecorded;
        // The list as this daemon saw it last, with its era.
        CommitHolders lastList;
        std::uint64_t lastEra = 0;
        // Time since which a write has been due.
        std::optional<Time> dueSince;
        // Time since which there have been holders that left.
        std::optional<Time> departedSince;
        Time nextWrite;
        bool writePending = false;
        std::unique_ptr<Departure> departure;
    };

    void remember(const DatabaseId& id, Group& group, const PrimaryRow* row);
    [[nodiscard]] CommitHolders registered(const DatabaseId& id) const;
    [[nodiscard]] CommitHolders departedFrom(const DatabaseId& id, const PrimaryRow& row) const;
    void write(const DatabaseId& id, Group& group, PrimaryRow row, CommitHolders holders);
    void updateDeparture(const WatchedGroup& watched, Group& group, const PrimaryRow& row);
    void probe(const DatabaseId& id, Departure& departure);
    void askPrimary(const DatabaseId& id, Departure& departure);
    void askReplicas(const DatabaseId& id, Departure& departure, const PrimaryRow& row);
    void onReplicaAnswer(const DatabaseId& id);
    // The check of a group that is under way, if it is still the one that began in the given term and at the given
    // time.
    [[nodiscard]] Departure* present(const DatabaseId& id, Time startedAt);

    HolderListContext context;
    std::map<DatabaseId, Group> groups;
    // Expires with the keeper. Callbacks hold a weak reference and do nothing once it has expired.
    std::shared_ptr<int> lifetime = std::make_shared<int>(0);
};

} // namespace endivetrestle
