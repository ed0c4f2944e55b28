#pragma once

#include "base/timer_service.h"
#include "process/fleet_link.h"
#include "process/promotion_duty.h"
#include "process/store_clock.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace endivetrestle {

// What a promotion shares with the fleet controller that runs it. All references outlive the promotion.
struct PromotionContext {
    DaemonId self;
    TableStore& store;
    TimerService& timers;
    const FleetHooks& hooks;
    PromotionDuty& duty;
    StoreClock& clock;
    std::function<Time()> now;
    // Version of the epoch row that this daemon has taken into account.
    std::function<std::uint64_t()> epochVersion;
    // Applies a row that this promotion wrote, with the version of the change.
    std::function<void(const PrimaryRow&, std::uint64_t epochVersion)> applyOwnRow;
    // Whether nothing is outstanding at the primary any more on this daemon.
    std::function<bool(const DatabaseId&)> drainedHere;
    // Reads the fleet table again, after a conflict or a lost answer.
    std::function<void()> refresh;
};

// Replaces the primary of one group.
//
// Steps: claim the group's row, under the condition that the duty is held; make every daemon stop using the primary, by
// its confirmation or the end of its lease; ask the endpoints for their positions; wait until the best replica holds
// what the old primary holds, if that one can still be asked; demote the old primary; order the promotion; wait until
// the new primary leads a higher term; record and announce it. A step that fails is repeated, or the promotion ends and
// the controller starts a new one, which claims the row again. Each step is safe if another daemon has taken over,
// because the claim, the order and the record are bound to the duty, its token and the row's version.
class Promotion {
public:
    // The present row of the group is the base of the claim. The callback runs once, when the promotion has ended.
    Promotion(PromotionContext context, PrimaryRow base, std::string reason, std::function<void(bool)> ended);
    ~Promotion();
    Promotion(const Promotion&) = delete;
    Promotion& operator=(const Promotion&) = delete;

    void start();

    [[nodiscard]] const std::string& step() const { return this->stepName; }

private:
    struct Holder {
        LeaseRow lease;
        bool asking = false;
    };

    void claim();
    void readHolders();
    void askHolders();
    void askHolder(const std::string& name);
    void refreshHolders();
    void checkSuspended();
    [[nodiscard]] bool maySkipSilent(Time now) const;
    void queryEndpoints();
    void chooseCandidate();
    void catchUp(const EndpointId& old);
    void demoteOld();
    void order();
    void awaitLead();
    void record(std::uint64_t term);
    void end(bool succeeded);
    void enter(const char* step);
    void later(Duration delay, std::function<void()> action);
    static bool isAhead(const EndpointReport& left, const EndpointReport& right);
    [[nodiscard]] bool isDraining(const EndpointId& endpoint) const;

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
    PrimaryRow base;
    std::string reason;
    std::function<void(bool)> ended;
    std::shared_ptr<int> lifetime = std::make_shared<int>(0);
    // Incremented with each step, so that answers to earlier steps are recognised.
    int generation = 0;
    std::string stepName;
    Time startedAt;
    Time stepStartedAt;
    std::uint64_t claimVersion = 0;
    std::uint64_t claimEpoch = 0;
    // Daemons that may still use the old primary.
    std::map<std::string, Holder> holders;
    // When the last daemon confirmed, or its lease was known to have ended. What it witnessed before lasts a while.
    Time lastConfirmedAt;
    // All daemons with a lease, to be told about the new primary.
    std::vector<SocketAddress> peers;
    std::size_t queriesOutstanding = 0;
    std::map<EndpointId, EndpointReport> reports;
    std::set<EndpointId> rejected;
    // Endpoints that this attempt has ordered to lead.
    std::set<EndpointId> ordered;
    EndpointId candidate;
    // Highest term that an endpoint reported, and whether the candidate leads it already.
    std::uint64_t highestTerm = 0;
    // Whether no other endpoint can lead a higher term: all have answered and none has been ordered to lead.
    bool leadIsCertain = false;
    bool alreadyLeads = false;
};

} // namespace endivetrestle
