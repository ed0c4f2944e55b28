// Which endpoint takes over: asks the registered endpoints and waits until the best one holds what it must.
#include "process/promotion.h"

#include "base/log.h"

#include <algorithm>
#include <tuple>

namespace endivetrestle {

namespace {

// Delay before the endpoints are queried again when none could be chosen.
constexpr Duration queryRetryDelay = std::chrono::milliseconds(300);
// Longest wait for an endpoint that has followed the last primary. A change of primary may take 11 s.
constexpr Duration completeLogTimeout = std::chrono::seconds(10);
// Interval at which the position of the candidate is compared with that of the old primary, and the longest time to
// wait for it to catch up.
constexpr Duration catchUpPollInterval = std::chrono::milliseconds(30);
constexpr Duration catchUpTimeout = std::chrono::milliseconds(2500);

} // namespace

// An endpoint that already leads because of an order of an earlier attempt comes first, then the one with the highest
// received position.
bool Promotion::isAhead(const EndpointReport& left, const EndpointReport& right)
{
    const auto rank = [](const EndpointReport& report) {
        return std::make_tuple(report.isPrimary ? report.term : 0, report.received);
    };
    return rank(left) > rank(right);
}

// The candidate is chosen from the endpoints that are registered now. This daemon may have missed changes since it last
// read them, while the others were asked to stop or before.
void Promotion::refreshEndpoints()
{
    this->enterStep("query");
    const auto now = this->context.now();
    if (this->context.promotionLock.needsExtension(now))
        this->context.promotionLock.extend(this->context.clock, now, [](bool) {});
    this->context.hooks.refreshEndpoints(this->guarded([this](bool current) {
        if (current)
            this->queryEndpoints();
        else if (this->context.promotionLock.isHeld(this->context.now()))
            this->schedule(queryRetryDelay, [this] { this->refreshEndpoints(); });
        else
            this->finish(false);
    }));
}

void Promotion::queryEndpoints()
{
    this->reports.clear();
    const auto records = this->context.hooks.endpointsOf(this->initialRow.group);
    this->queriesOutstanding = records.size();
    if (records.empty()) {
        this->schedule(queryRetryDelay, [this] { this->refreshEndpoints(); });
        return;
    }
    for (const auto& record : records) {
        this->context.hooks.queryEndpoint(this->initialRow.group, record.id,
            this->guarded([this, id = record.id](const std::optional<EndpointReport>& report) {
                if (report)
                    this->reports[id] = *report;
                if (--this->queriesOutstanding == 0)
                    this->chooseCandidate();
            }));
    }
}

bool Promotion::isDraining(const EndpointId& endpoint) const
{
    const auto records = this->context.hooks.endpointsOf(this->initialRow.group);
    return std::any_of(records.begin(), records.end(),
        [&](const EndpointRecord& record) { return record.id == endpoint && record.draining; });
}

void Promotion::chooseCandidate()
{
    const auto now = this->context.now();
    if (!this->context.promotionLock.isHeld(now)) {
        this->finish(false);
        return;
    }
    this->highestTerm = this->initialRow.term;
    const bool allAnswered = this->reports.size() == this->context.hooks.endpointsOf(this->initialRow.group).size();
    const bool orderedBefore = this->initialRow.replacing && !this->initialRow.isOpened();
    this->leadershipCertain = allAnswered && !orderedBefore && this->orderedEndpoints.empty();
    const EndpointReport* best = nullptr;
    for (const auto& [id, report] : this->reports) {
        this->highestTerm = std::max(this->highestTerm, report.term);
        const bool usable
            = id != this->initialRow.endpoint && !this->isDraining(id) && this->rejectedEndpoints.count(id) == 0;
        if (usable && (best == nullptr || isAhead(report, *best))) {
            best = &report;
            this->candidate = id;
        }
    }
    const auto old = this->reports.find(this->initialRow.endpoint);
    const bool oldAnswers = old != this->reports.end();
    const bool oldMayLead = oldAnswers && old->second.isPrimary && !this->isDraining(old->first);
    const bool incomplete = best != nullptr && best->term < this->initialRow.term;
    if (best == nullptr || (incomplete && oldMayLead)) {
        // No replica can take over. If the old primary still answers, it is confirmed as the primary.
        this->rejectedEndpoints.clear();
        if (!oldMayLead) {
            this->schedule(queryRetryDelay, [this] { this->refreshEndpoints(); });
            return;
        }
        best = &old->second;
        this->candidate = old->first;
    }
    if (this->waitForCompleteLog(*best)) {
        this->schedule(queryRetryDelay, [this] { this->refreshEndpoints(); });
        return;
    }
    this->candidateAlreadyLeads = best->isPrimary && best->term == this->highestTerm;
    if (oldAnswers && old->first != this->candidate && !this->candidateAlreadyLeads)
        this->waitForCatchUp(old->first);
    else
        this->orderPromotion();
}

// An endpoint that has not followed the primary of the last term lacks what was acknowledged in it. Those that have it
// may be back soon, and until then nothing is read that lacks it.
bool Promotion::waitForCompleteLog(const EndpointReport& best)
{
    if (best.term >= this->initialRow.term)
        return false;
    const auto now = this->context.now();
    if (!this->incompleteSince) {
        this->incompleteSince = now;
        logEvent(LogLevel::Warning, "promotion_waits_for_log",
            { { "group", this->initialRow.group.value }, { "candidate", this->candidate.value },
                { "candidate_term", best.term }, { "last_term", this->initialRow.term } });
    }
    return now < *this->incompleteSince + completeLogTimeout;
}

void Promotion::waitForCatchUp(const EndpointId& old)
{
    const auto target = this->reports.at(old).received;
    if (this->reports.at(this->candidate).received >= target) {
        this->demoteOldPrimary();
        return;
    }
    this->enterStep("catch_up");
    const auto giveUpAt = this->context.now() + catchUpTimeout;
    const auto poll = std::make_shared<std::function<void()>>();
    *poll = [this, target, giveUpAt, weak = std::weak_ptr<std::function<void()>>(poll)] {
        this->context.hooks.queryEndpoint(this->initialRow.group, this->candidate,
            this->guarded([this, target, giveUpAt, self = weak.lock()](const std::optional<EndpointReport>& report) {
                const bool reached = report && report->received >= target;
                if (reached || this->context.now() >= giveUpAt)
                    this->demoteOldPrimary();
                else
                    this->schedule(catchUpPollInterval, [self] { (*self)(); });
            }));
    };
    (*poll)();
}

} // namespace endivetrestle
