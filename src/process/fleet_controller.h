#pragma once

#include "process/durability/holder_list_keeper.h"
#include "process/fleet_era.h"
#include "process/fleet_hooks.h"
#include "process/known_claims.h"
#include "process/primary_lease.h"
#include "process/promotion.h"
#include "process/promotion_lock.h"
#include "process/store_clock.h"

#include <map>
#include <memory>
#include <set>
#include <string>

namespace endivetrestle {

// Identity under which the other daemons know this one.
struct FleetIdentity {
    DaemonId daemon;
    // Unique for each start of the process.
    std::string incarnation;
    SocketAddress peerAddress;
    SocketAddress forwardAddress;
    DataCentre dataCentre;
    HostCapacity capacity {};
};

// Maintains this daemon's lease and its view of the primary of each group, and replaces primaries.
//
// A daemon that replaces a primary first claims the group: it marks the group's row as being replaced. The view is
// built from the store's fleet table, from announcements of new primaries, and from requests of the replacing daemon to
// stop using a primary. A row is overwritten only by a row with a newer version. The lease is renewed, or extended by
// witnesses, only while this daemon knows every claim up to the newest one and has stopped using the primaries of all
// of them, so a lease proves that it no longer uses the primaries that are being replaced.
//
// All of this holds within one era of the store. When the store comes back from a copy, the daemon keeps its lease
// until it ends or is renewed in the new era, and begins anew with the rows of that era (fleet_era.h). Rows, claims,
// leases and the lock of earlier eras have no say any more.
class FleetController {
public:
    FleetController(
        FleetIdentity identity, TableStore& store, TimerService& timers, FleetHooks hooks, std::function<Time()> now);
    ~FleetController();
    FleetController(const FleetController&) = delete;
    FleetController& operator=(const FleetController&) = delete;

    // Reads the fleet table and starts to renew the lease.
    void start();
    // Does the periodic work. Must be called several times a second.
    void tick();
    // Begins anew because the store has come back from a copy. Call before any answer of the new era is handled.
    void onEraChanged(std::uint64_t newEra);
    // Releases the lease. The callback runs when the store has answered or the call has timed out.
    void stop(std::function<void()> done);

    // Handles a request to stop using the primary of a group, from the daemon that claimed it. The callback runs when
    // this daemon has no outstanding statements at the primary. Returns false, and the callback does not run, if the
    // claim is one of an earlier era, which means nothing any more.
    bool onSuspendRequest(const Claim& claim, std::function<void()> done);
    // Handles a request of another daemon to renew its lease in a batch.
    void onRenewRequest(const LeaseRenewal& renewal, TableStore::Callback done);
    // Returns the version of the newest claim that this daemon knows, as the answer to a daemon that needs witnesses.
    // Returns no value while this daemon has no lease, because only daemons with a lease are told of claims.
    [[nodiscard]] std::optional<StoreVersion> newestKnownClaim() const;
    // Handles an announcement of new primaries.
    void onAnnouncement(const std::vector<PrimaryRow>& rows);

    // Call when the registered endpoints of some groups have changed.
    void onEndpointsChanged(const std::set<DatabaseId>& groups);
    // Whether a commit of a group may be acknowledged: all its endpoints are recorded as holders of commits.
    [[nodiscard]] bool holdersAreRecorded(const DatabaseId& group) const { return this->holderLists.isRecorded(group); }

    [[nodiscard]] bool leaseValid(Time now) const { return this->lease.isValid(now); }
    [[nodiscard]] Time leaseEnd() const { return this->lease.end(); }
    // Whether the leases of the other daemons have been read at least once.
    [[nodiscard]] bool peersKnown() const { return this->leaseListings > 0; }
    // Whether the list of daemons is known to be complete. When all daemons start at the same time for the first time,
    // or after all leases have expired, the first list contains only those that have already stored their lease.
    [[nodiscard]] bool peerListComplete() const { return this->leaseListings > 1 || this->firstListComplete; }
    [[nodiscard]] const std::map<DatabaseId, PrimaryRow>& primaries() const { return this->rows; }
    // Time for which the primary of a group has been in replacement, as far as this daemon knows; zero if it is not.
    [[nodiscard]] Duration primaryMissingFor(const DatabaseId& group) const;
    // Number of holders of commits for which a replacement of this daemon waits, or has waited last.
    [[nodiscard]] std::size_t awaitedHolders(const DatabaseId& group) const;
    [[nodiscard]] std::size_t liveDaemons() const { return this->liveCount; }
    // The first daemon by name of this daemon's part of the fleet, which does for the others of the part what one call
    // to the store can do for all. No value if no other daemon is known; may be this daemon.
    [[nodiscard]] std::optional<DaemonId> firstOfPart() const;
    // Whether the present era of the store is known to be older than the given time, or to be the first one.
    [[nodiscard]] bool eraIsOlderThan(Duration age) const;
    // Era of the store that this daemon goes by; 0 before the first answer.
    [[nodiscard]] std::uint64_t storeEra() const { return this->era; }
    // Whether this daemon has taken over the primaries of the present era.
    [[nodiscard]] bool hasJoinedEra() const { return this->fleetTableLoaded; }

private:
    struct Suspension {
        bool drained = false;
        std::vector<std::function<void()>> drainedCallbacks;
    };
    // Primaries that are being adopted: the number of outstanding queries and the rows to store.
    struct Adoption {
        // Era in which it began.
        std::uint64_t era = 0;
        std::size_t outstanding = 0;
        std::vector<PrimaryRow> rows;
    };
    // Answers of daemons and endpoints about a suspected primary.
    struct ReachabilityPoll {
        // Row of the group when the poll started.
        PrimaryRow row;
        std::size_t outstanding = 0;
        int reachable = 0;
        int unreachable = 0;
        // Daemons that did not answer although their lease is valid.
        int unresponsive = 0;
        // Other endpoints of the group that answered this daemon.
        int replicasReached = 0;
    };

    // fleet_controller_lease.cc
    void renew();
    void renewDirectly();
    [[nodiscard]] bool isNewcomer(Time at) const;
    [[nodiscard]] LeaseRenewal makeRenewal(Time preparedAt) const;
    [[nodiscard]] std::optional<DaemonId> leaseDelegate() const;
    void onRenewed(Time preparedAt, int witnesses, const StoreResult& result);
    void onRenewalConflict(const StoreResult& result);
    void askWitnesses(Time now);
    void onWitness(Time askedAt, std::optional<StoreVersion> claim);
    [[nodiscard]] bool obeysKnownClaims() const;
    void readFleet();
    void onFleetRead(const StoreResult& result, bool wholeTable);
    void takeFleetChanges(const StoreResult& result);
    void fleetWasRead(StoreVersion epoch, StoreVersion upTo);
    [[nodiscard]] bool watchesSuspendedPrimary() const;
    void listLeases();
    void onLeasesListed(const StoreResult& result);
    void removeLapsedLeases(std::vector<StoreCondition> rows);
    void removeLease(StoreVersion version, std::function<void()> done);
    [[nodiscard]] StoreVersion ownLeaseVersionIn(const StoreResult& result) const;
    [[nodiscard]] std::string ownLeaseKey() const;
    void applyRow(const PrimaryRow& row);
    void suspend(const DatabaseId& group, std::function<void()> done);

    // fleet_controller_era.cc
    void takeFleetTable(const StoreResult& result);
    void considerOpeningEra(const FleetTable& table);
    void openEra(const std::shared_ptr<const std::vector<StoreChange>>& changes, std::size_t next);
    void joinEra(const FleetTable& table);
    void forgetPrimary(const DatabaseId& group);
    [[nodiscard]] bool earlierEraIsOver(const PrimaryRow& row) const;
    [[nodiscard]] bool mayReplace(const PrimaryRow& observedRow) const;
    [[nodiscard]] std::int64_t earlierLeasesEndMs() const;
    [[nodiscard]] Duration leaseLeft() const;

    // fleet_controller_holders.cc
    [[nodiscard]] HolderListContext holderListContext();
    void publishRow(const PrimaryRow& row);

    // fleet_controller_adoption.cc
    void adoptGroups(Time now);
    [[nodiscard]] std::vector<std::pair<DatabaseId, EndpointId>> adoptableGroups(Time now);
    void onAdoptionReply(const DatabaseId& group, const EndpointId& endpoint, const EndpointReply& reply);
    void storeAdoption();

    // fleet_controller_promotion.cc
    void checkWatchedGroups(Time now);
    void pollReachability(const PrimaryRow& row);
    [[nodiscard]] std::vector<LeaseRow> reachabilityVoters(const DatabaseId& group) const;
    void onReachabilityAnswer(const DatabaseId& group);
    void startPromotion(const PrimaryRow& observedRow, const std::string& reason);
    void checkReason(const PrimaryRow& observedRow, const std::string& reason);
    void runPromotion(const PrimaryRow& observedRow, const std::string& reason);
    void promotionEnded(const DatabaseId& group);
    void releaseIdleLock();
    [[nodiscard]] std::string plannedReplacementReason(const PrimaryRow& row) const;
    [[nodiscard]] std::size_t ownRank() const;
    [[nodiscard]] std::size_t ownRank(const WatchedGroup& group) const;
    [[nodiscard]] PromotionContext promotionContext();

    FleetIdentity identity;
    TableStore& store;
    TimerService& timers;
    FleetHooks hooks;
    std::function<Time()> now;
    PrimaryLease lease;
    StoreClock clock;
    PromotionLock promotionLock;
    LeaseBatch leaseBatch;
    // Time until which the delegate is not asked to renew the lease, because it did not answer.
    Time delegationPausedUntil;
    // Whether the store refused or did not answer the last direct renewal.
    bool lastDirectRenewalFailed = false;
    KnownClaims claims;
    // Era of the store that this daemon goes by.
    std::uint64_t era = 0;
    // Time at which this daemon first read the fleet table of the present era, here and by the store's clock.
    std::optional<Time> eraReadAt;
    std::int64_t eraReadStoreMs = 0;
    // Time of the store's clock by which the present era had begun; no value if it is the first one.
    std::optional<std::int64_t> eraBegunStoreMs;
    bool openingPending = false;
    // Store version up to which the fleet table has been read; not set if the whole table must be read.
    StoreVersion fleetVersion;
    // Time of the last request to witnesses, and the number of witnesses that have confirmed since.
    Time witnessesAskedAt;
    int witnessAnswers = 0;
    std::size_t nextWitness = 0;
    // Start of the controller, or end of the latest lease; for reporting the time without a lease.
    Time noLeaseSince;
    // Time of the store's clock since which this daemon has had a lease row; no value before it is known.
    std::optional<std::int64_t> rowSinceStoreMs;
    // Version of this daemon's lease row in the present era.
    StoreVersion leaseRowVersion;
    bool fleetTableLoaded = false;
    bool fleetReadPending = false;
    bool renewalPending = false;
    int leaseListings = 0;
    bool firstListComplete = false;
    bool storeReachable = true;
    bool stopping = false;
    Time nextRenewal;
    Time nextListing;
    Time nextFleetRead;
    std::map<DatabaseId, PrimaryRow> rows;
    // Groups of which another daemon has told the claim, and whose row has not been read since. The claim names neither
    // the primary that is replaced nor its term.
    std::set<DatabaseId> unreadClaims;
    std::map<DatabaseId, Suspension> suspensions;
    // Time at which this daemon first saw that the primary of a group is being replaced.
    std::map<DatabaseId, Time> replacingSince;
    std::map<DatabaseId, std::size_t> missingHolders;
    // Valid leases of the other daemons as of the last listing, and those of earlier eras that may be valid.
    std::map<DaemonId, LeaseRow> peers;
    std::size_t liveCount = 1;
    std::map<DatabaseId, ReachabilityPoll> reachabilityPolls;
    std::map<DatabaseId, std::unique_ptr<Promotion>> promotions;
    // Groups whose reason for a replacement is being checked while this daemon holds the promotion lock.
    std::set<DatabaseId> checkedGroups;
    // Earliest time of the next attempt to replace the primary of a group.
    std::map<DatabaseId, Time> nextAttemptAt;
    // Time since which a planned replacement or an adoption of a group's primary has been due.
    std::map<DatabaseId, Time> plannedSince;
    HolderListKeeper holderLists;
    std::optional<Adoption> adoption;
    Time nextAdoption;
    // Expires with the controller. Callbacks hold a weak reference and do nothing once it has expired.
    std::shared_ptr<int> lifetime = std::make_shared<int>(0);
};

} // namespace endivetrestle
