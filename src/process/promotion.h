#pragma once

#include "base/timer_service.h"
#include "process/candidate_choice.h"
#include "process/fleet_hooks.h"
#include "process/lease_holders.h"
#include "process/promotion_lock.h"
#include "process/store_clock.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace endivetrestle {

// State and functions that a promotion shares with the fleet controller that runs it. All references must outlive the
// promotion.
struct PromotionContext {
    DaemonId self;
    TableStore& store;
    TimerService& timers;
    const FleetHooks& hooks;
    PromotionLock& promotionLock;
    StoreClock& clock;
    std::function<Time()> now;
    // Epoch up to which this daemon knows every claim.
    std::function<StoreVersion()> epochVersion;
    // Time of the store's clock by which all leases of earlier eras have ended.
    std::function<std::int64_t()> earlierLeasesEndMs;
    // Applies a row that this promotion wrote.
    std::function<void(const PrimaryRow&)> applyOwnRow;
    // Whether this daemon has no outstanding statements at the primary of the group.
    std::function<bool(const DatabaseId&)> isDrained;
    // Reads the fleet table again, after a conflict or a lost answer.
    std::function<void()> rereadFleetTable;
    // Endpoints that may hold acknowledged commits of a group, as far as this daemon knows.
    std::function<CommitHolders(const DatabaseId&)> knownHolders;
    // Notes how many of them a replacement waits for, and returns the time for which the primary has been missing.
    std::function<Duration(const DatabaseId&, std::size_t missing)> noteMissingHolders;
};

// Replaces the primary of one group.
//
// Steps: claim the group's row, on condition that the promotion lock is held; wait until every daemon has stopped using
// the primary, which is known from its confirmation or the expiry of its lease; read which endpoints are registered now
// and query them for their positions, until an endpoint is known to hold every acknowledged commit; if the old primary
// still answers, wait until the best replica has caught up with it, and demote it; order the promotion; wait until the
// new primary leads with a higher term; record and announce it. A step that fails is retried, or the promotion ends and
// the controller starts a new one, which claims the row again. Each step is safe if another daemon has taken over,
// because the claim, the order and the record are bound to the lock, its fencing token and the version of the row.
class Promotion {
public:
    // The initial row is the current row of the group, which the claim replaces. The callback runs once, when the
    // promotion has ended.
    Promotion(PromotionContext context, PrimaryRow initialRow, std::string reason, std::function<void(bool)> onEnded);
    ~Promotion();
    Promotion(const Promotion&) = delete;
    Promotion& operator=(const Promotion&) = delete;

    void start();

    [[nodiscard]] const std::string& step() const { return this->stepName; }

private:
    void claim();
    void readLeaseHolders();
    void requestSuspendFromAll();
    void requestSuspend(const DaemonId& daemon);
    void refreshLeaseHolders();
    void checkAllSuspended();
    void refreshEndpoints();
    void queryEndpoints();
    void queryEndpoint(const EndpointId& endpoint);
    void onReplies();
    void askAgain();
    void waitForProof(const LogEvidence& evidence);
    void waitForCatchUp(const Position& target, const EndpointReport& candidateReport);
    void pollCatchUp(const Position& target);
    void onCatchUpTimeout(const EndpointReply& reply);
    void demoteOldPrimary();
    void orderPromotion();
    void awaitLeadership();
    void recordPrimary(std::uint64_t term);
    void finish(bool succeeded);
    void enterStep(const char* step);
    void schedule(Duration delay, std::function<void()> action);
    [[nodiscard]] CommitHolders knownHolders() const;
    [[nodiscard]] LogEvidence logEvidence() const;
    [[nodiscard]] CandidateInput candidateInput() const;
    [[nodiscard]] bool mustWaitForOldPrimary();
    [[nodiscard]] bool mustWaitForTerm(const EndpointReport& best);
    void logMissingProof(const LogEvidence& evidence);

    // Wraps a callback so that it does nothing once the promotion has ended or another step has begun.
    template <typename Function> auto guarded(Function function)
    {
        return [weak = std::weak_ptr<int>(this->lifetime), generation = this->generation, this,
                   function = std::move(function)](auto&&... arguments) mutable {
            if (weak.expired() || generation != this->generation)
                return;
            function(std::forward<decltype(arguments)>(arguments)...);
        };
    }

    PromotionContext context;
    PrimaryRow initialRow;
    std::string reason;
    std::function<void(bool)> onEnded;
    std::shared_ptr<int> lifetime = std::make_shared<int>(0);
    // Incremented with each step, so that answers to earlier steps are ignored.
    int generation = 0;
    std::string stepName;
    Time startedAt;
    Time stepStartedAt;
    Claim ownClaim;
    // Daemons that may still use the old primary.
    LeaseHolders leaseHolders;
    // Addresses of all daemons with a lease, for the announcement of the new primary.
    std::vector<SocketAddress> peers;
    std::size_t queriesOutstanding = 0;
    // Latest reply of each endpoint that was asked.
    std::map<EndpointId, EndpointReply> replies;
    std::set<EndpointId> rejectedEndpoints;
    // Endpoints whose promotion this attempt has ordered.
    std::set<EndpointId> orderedEndpoints;
    EndpointId candidate;
    // Time since which only endpoints have answered that lack the term of the last primary.
    std::optional<Time> incompleteSince;
    // Position that holds every acknowledged commit; no value if the replies do not tell.
    std::optional<Position> requiredPosition;
    // Whether a candidate did not catch up with the old primary in time.
    bool catchUpFailed = false;
    // Time since which the old primary has been running without reporting.
    std::optional<Time> oldUnreportedSince;
    // Time since which no endpoint has been known to hold all acknowledged commits.
    std::optional<Time> unprovenSince;
    // Highest term that an endpoint reported.
    std::uint64_t highestTerm = 0;
    // Whether no other endpoint can lead with a higher term: all have answered, and no promotion has been ordered so
    // far.
    bool leadershipCertain = false;
    // Whether the candidate already leads with the highest term.
    bool candidateAlreadyLeads = false;
};

} // namespace endivetrestle
