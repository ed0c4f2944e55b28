#pragma once

#include "process/fleet_link.h"
#include "process/primary_lease.h"
#include "process/promotion.h"
#include "process/promotion_duty.h"
#include "process/store_clock.h"

#include <map>
#include <memory>
#include <string>

namespace endivetrestle {

// Who this daemon is towards the others.
struct FleetIdentity {
    DaemonId daemon;
    // Unique for each start of the process.
    std::string incarnation;
    SocketAddress peerAddress;
    SocketAddress forwardAddress;
    DataCentre dataCentre;
};

// Keeps this daemon's view of the groups' primaries and its lease, and replaces primaries.
//
// The view comes from the store's fleet table, from announcements of the daemon that replaces a primary, and from its
// requests to stop using one. A row only ever gives way to a row of a newer version. The lease is renewed only when
// every claim that the view holds has been obeyed, so a renewed lease proves that the daemon has stopped using the
// primaries that are being replaced.
class FleetController {
public:
    FleetController(
        FleetIdentity identity, TableStore& store, TimerService& timers, FleetHooks hooks, std::function<Time()> now);
    ~FleetController();
    FleetController(const FleetController&) = delete;
    FleetController& operator=(const FleetController&) = delete;

    // Reads the fleet table and begins to renew the lease.
    void start();
    // Periodic work; called several times a second.
    void tick();
    // Gives the lease back. The callback runs when the store has answered or the time is over.
    void stop(std::function<void()> done);

    // Request of the daemon that claimed a group. The callback runs when nothing is outstanding at the primary.
    void onSuspendRequest(const DatabaseId& group, std::uint64_t claimVersion, std::function<void()> done);
    // Request of another daemon to renew its lease together with this daemon's.
    void onRenewRequest(const LeaseRenewal& renewal, TableStore::Callback done);
    // Version of the newest claim that this daemon knows, for a daemon that needs witnesses. No value without a lease:
    // only daemons with a lease are told of claims.
    [[nodiscard]] std::optional<std::uint64_t> witnessClaims() const;
    // Announcement of new primaries.
    void onAnnouncement(const std::vector<PrimaryRow>& rows);

    [[nodiscard]] bool leaseValid(Time now) const { return this->lease.isValid(now); }
    [[nodiscard]] Time leaseEnd() const { return this->lease.end(); }
    // Whether the leases of the other daemons have been listed.
    [[nodiscard]] bool peersKnown() const { return this->listings > 0; }
    // Whether a list shows the whole fleet. Where all daemons start together for the first time, or after all leases
    // have ended, the first list shows only those whose lease was stored a moment earlier.
    [[nodiscard]] bool peersSettled() const { return this->listings > 1 || this->firstListComplete; }
    [[nodiscard]] const std::map<DatabaseId, PrimaryRow>& primaries() const { return this->rows; }
    [[nodiscard]] std::size_t liveDaemons() const { return this->liveCount; }

private:
    struct Suspension {
        bool drained = false;
        std::vector<std::function<void()>> waiting;
    };
    // Primaries that are being adopted, with the queries that are outstanding.
    struct Adoption {
        std::size_t outstanding = 0;
        std::vector<PrimaryRow> rows;
    };
    // Evidence gathered about a doubted primary.
    struct Inquiry {
        // The row whose primary is doubted.
        PrimaryRow row;
        std::size_t outstanding = 0;
        int reachable = 0;
        int unreachable = 0;
        // Daemons that did not answer although their lease is valid.
        int silent = 0;
        // Other endpoints of the group that this daemon reaches.
        int replicas = 0;
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
    void noteClaim(std::uint64_t version);
    void readFleet();
    void onFleetRead(const StoreResult& result);
    [[nodiscard]] bool waitsForReplacement() const;
    void listLeases();
    void removeLapsedLeases(std::vector<StoreCondition> rows);
    void applyRow(const PrimaryRow& row);
    void suspend(const DatabaseId& group, std::function<void()> done);

    // fleet_controller_adoption.cc
    void adoptGroups(Time now);
    [[nodiscard]] std::vector<std::pair<DatabaseId, EndpointId>> adoptable(Time now);
    void onAdoptionReport(const DatabaseId& group, const EndpointId& endpoint, const EndpointReport* report);
    void storeAdoption();

    // fleet_controller_groups.cc
    void watchGroups(Time now);
    void inquire(const PrimaryRow& row);
    [[nodiscard]] std::vector<LeaseRow> opinionHolders(const DatabaseId& group) const;
    void onInquiryAnswer(const DatabaseId& group);
    void startPromotion(const PrimaryRow& decidedOn, const std::string& reason);
    void runPromotion(const PrimaryRow& decidedOn, const std::string& reason);
    void promotionEnded(const DatabaseId& group);
    [[nodiscard]] std::string plannedReason(const PrimaryRow& row) const;
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
    PromotionDuty duty;
    LeaseBatch batch;
    // Time before which no other daemon is asked to renew the lease, because one did not answer.
    Time delegateNotBefore;
    // Whether the store did not do the last renewal that this daemon asked for directly.
    bool directFailed = false;
    std::uint64_t epochVersion = 0;
    // Version of the store up to which the fleet table has been read; 0 if it must be read as a whole.
    std::uint64_t fleetVersion = 0;
    // Version of the newest claim or epoch that is known.
    std::uint64_t newestClaim = 0;
    // When witnesses were asked last, and how many have answered that.
    Time witnessesAskedAt;
    int witnessesHeard = 0;
    std::size_t nextWitness = 0;
    // Start of the controller, or end of the last lease.
    Time leaseWantedSince;
    // Version of this daemon's lease row.
    std::uint64_t leaseRowVersion = 0;
    bool fleetKnown = false;
    bool fleetReading = false;
    bool renewing = false;
    int listings = 0;
    bool firstListComplete = false;
    bool storeReachable = true;
    bool stopping = false;
    Time nextRenewal;
    Time nextListing;
    Time nextFleetRead;
    std::map<DatabaseId, PrimaryRow> rows;
    std::map<DatabaseId, Suspension> suspensions;
    // Since when a row has been seen as being replaced.
    std::map<DatabaseId, Time> replacingSince;
    // Leases of the other daemons as last listed.
    std::map<DaemonId, LeaseRow> peers;
    std::size_t liveCount = 1;
    std::map<DatabaseId, Inquiry> inquiries;
    std::map<DatabaseId, std::unique_ptr<Promotion>> promotions;
    // Time before which no new attempt is made for a group.
    std::map<DatabaseId, Time> attemptNotBefore;
    std::map<DatabaseId, Time> plannedSince;
    std::optional<Adoption> adoption;
    Time nextAdoption;
    std::shared_ptr<int> lifetime = std::make_shared<int>(0);
};

} // namespace endivetrestle
