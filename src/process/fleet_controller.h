#pragma once

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
};

// Maintains this daemon's lease and its view of the primary of each group, and replaces primaries.
//
// A daemon that replaces a primary first claims the group: it marks the group's row as being replaced. The view is
// built from the store's fleet table, from announcements of new primaries, and from requests of the replacing daemon to
// stop using a primary. A row is overwritten only by a row with a newer version. The lease is renewed, or extended by
// witnesses, only while this daemon knows every claim up to the newest one and has stopped using the primaries of all
// of them, so a lease proves that it no longer uses the primaries that are being replaced.
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
    // Releases the lease. The callback runs when the store has answered or the call has timed out.
    void stop(std::function<void()> done);

    // Handles a request to stop using the primary of a group, from the daemon that claimed it. The callback runs when
    // this daemon has no outstanding statements at the primary.
    void onSuspendRequest(const Claim& claim, std::function<void()> done);
    // Handles a request of another daemon to renew its lease in a batch.
    void onRenewRequest(const LeaseRenewal& renewal, TableStore::Callback done);
    // Returns the version of the newest claim that this daemon knows, as the answer to a daemon that needs witnesses.
    // Returns no value while this daemon has no lease, because only daemons with a lease are told of claims.
    [[nodiscard]] std::optional<std::uint64_t> newestKnownClaim() const;
    // Handles an announcement of new primaries.
    void onAnnouncement(const std::vector<PrimaryRow>& rows);

    [[nodiscard]] bool leaseValid(Time now) const { return this->lease.isValid(now); }
    [[nodiscard]] Time leaseEnd() const { return this->lease.end(); }
    // Whether the leases of the other daemons have been read at least once.
    [[nodiscard]] bool peersKnown() const { return this->leaseListings > 0; }
    // Whether the list of daemons is known to be complete. When all daemons start at the same time for the first time,
    // or after all leases have expired, the first list contains only those that have already stored their lease.
    [[nodiscard]] bool peerListComplete() const { return this->leaseListings > 1 || this->firstListComplete; }
    [[nodiscard]] const std::map<DatabaseId, PrimaryRow>& primaries() const { return this->rows; }
    [[nodiscard]] std::size_t liveDaemons() const { return this->liveCount; }

private:
    struct Suspension {
        bool drained = false;
        std::vector<std::function<void()>> drainedCallbacks;
    };
    // Primaries that are being adopted: the number of outstanding queries and the rows to store.
    struct Adoption {
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
    [[nodiscard]] LeaseRenewal makeRenewal(Time preparedAt) const;
    [[nodiscard]] std::optional<DaemonId> leaseDelegate() const;
    void onRenewed(Time preparedAt, int witnesses, const StoreResult& result);
    void onRenewalConflict(const StoreResult& result);
    void askWitnesses(Time now);
    void onWitness(Time askedAt, std::optional<std::uint64_t> claim);
    [[nodiscard]] bool obeysKnownClaims() const;
    void readFleet();
    void onFleetRead(const StoreResult& result);
    [[nodiscard]] bool watchesSuspendedPrimary() const;
    void listLeases();
    void removeLapsedLeases(std::vector<StoreCondition> rows);
    void removeLease(std::uint64_t version, std::function<void()> done);
    [[nodiscard]] std::uint64_t ownLeaseVersionIn(const StoreResult& result) const;
    void applyRow(const PrimaryRow& row);
    void suspend(const DatabaseId& group, std::function<void()> done);

    // fleet_controller_adoption.cc
    void adoptGroups(Time now);
    [[nodiscard]] std::vector<std::pair<DatabaseId, EndpointId>> adoptableGroups(Time now);
    void onAdoptionReport(const DatabaseId& group, const EndpointId& endpoint, const EndpointReport* report);
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
    // Store version up to which the fleet table has been read; 0 if the whole table must be read.
    std::uint64_t fleetVersion = 0;
    // Time of the last request to witnesses, and the number of witnesses that have confirmed since.
    Time witnessesAskedAt;
    int witnessAnswers = 0;
    std::size_t nextWitness = 0;
    // Start of the controller, or end of the latest lease; for reporting the time without a lease.
    Time noLeaseSince;
    // Version of this daemon's lease row.
    std::uint64_t leaseRowVersion = 0;
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
    // Valid leases of the other daemons as of the last listing.
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
    std::optional<Adoption> adoption;
    Time nextAdoption;
    // Expires with the controller. Callbacks hold a weak reference and do nothing once it has expired.
    std::shared_ptr<int> lifetime = std::make_shared<int>(0);
};

} // namespace endivetrestle
