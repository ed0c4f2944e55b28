// Finds the endpoint that takes over: asks the registered endpoints until one is known to hold what it must.
#include "process/promotion.h"

#include "base/log.h"

#include <algorithm>
#include <utility>

namespace endivetrestle {

namespace {

// Delay before the endpoints are queried again when none could be chosen.
constexpr Duration queryRetryDelay = std::chrono::milliseconds(300);
// Delay before an endpoint that had no free slot is queried again.
constexpr Duration busyQueryDelay = std::chrono::milliseconds(20);
// Longest wait for the report of an old primary that runs.
constexpr Duration oldPrimaryPatience = std::chrono::milliseconds(400);
// Time after which an attempt ends in which no endpoint is known to hold all acknowledged commits.
constexpr Duration proofTimeout = std::chrono::seconds(3);
// Longest wait for an endpoint that has followed the last primary. A change of primary may take 11 s.
constexpr Duration completeLogTimeout = std::chrono::seconds(10);
// Interval at which the position of the candidate is compared with that of the old primary, and the longest time to
// wait for it to catch up.
constexpr Duration catchUpPollInterval = std::chrono::milliseconds(30);
constexpr Duration catchUpTimeout = std::chrono::milliseconds(2500);

} // namespace

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
    this->replies.clear();
    const auto records = this->context.hooks.endpointsOf(this->initialRow.group);
    if (records.empty()) {
        this->schedule(queryRetryDelay, [this] { this->refreshEndpoints(); });
        return;
    }
    this->queriesOutstanding = records.size();
    for (const auto& record : records)
        this->queryEndpoint(record.id);
}

void Promotion::queryEndpoint(const EndpointId& endpoint)
{
    this->context.hooks.queryEndpoint(
        this->initialRow.group, endpoint, this->guarded([this, endpoint](const EndpointReply& reply) {
            this->replies[endpoint] = reply;
            if (--this->queriesOutstanding == 0)
                this->onReplies();
        }));
}

// Asks those again that run but have not reported. All are asked again once the list of endpoints may be old.
void Promotion::askAgain()
{
    std::vector<EndpointId> unreported;
    for (const auto& [id, reply] : this->replies) {
        if (reply.isAliveWithoutReport())
            unreported.push_back(id);
    }
    const bool listMayBeOld = this->context.now() - this->stepStartedAt >= queryRetryDelay;
    if (unreported.empty() || listMayBeOld) {
        this->schedule(unreported.empty() ? queryRetryDelay : busyQueryDelay, [this] { this->refreshEndpoints(); });
        return;
    }
    this->schedule(busyQueryDelay, [this, unreported] {
        this->queriesOutstanding = unreported.size();
        for (const auto& id : unreported)
            this->queryEndpoint(id);
    });
}

LogEvidence Promotion::logEvidence() const
{
    LogEvidence evidence;
    evidence.syncReplicas = this->context.hooks.syncReplicas(this->initialRow.group);
    evidence.oldPrimary = this->initialRow.endpoint;
    evidence.term = this->initialRow.term;
    evidence.mayLackMembers = this->initialRow.mayLackHolders;
    addMembers(evidence, this->context.knownHolders(this->initialRow.group),
        this->context.hooks.endpointsOf(this->initialRow.group));
    for (const auto& [id, reply] : this->replies) {
        if (reply.report)
            evidence.reports[id] = *reply.report;
    }
    return evidence;
}

CandidateInput Promotion::candidateInput() const
{
    CandidateInput input;
    input.evidence = this->logEvidence();
    for (const auto& record : this->context.hooks.endpointsOf(this->initialRow.group)) {
        if (record.draining)
            input.draining.insert(record.id);
    }
    input.rejected = this->rejectedEndpoints;
    input.catchUpFailed = this->catchUpFailed;
    return input;
}

void Promotion::onReplies()
{
    if (!this->context.promotionLock.isHeld(this->context.now())) {
        this->finish(false);
        return;
    }
    const auto input = this->candidateInput();
    const auto& reports = input.evidence.reports;
    this->highestTerm = this->initialRow.term;
    for (const auto& [id, report] : reports)
        this->highestTerm = std::max(this->highestTerm, report.term);
    const bool allReported = reports.size() == this->context.hooks.endpointsOf(this->initialRow.group).size();
    const bool orderedBefore = this->initialRow.replacing && !this->initialRow.isOpened();
    this->leadershipCertain = allReported && !orderedBefore && this->orderedEndpoints.empty();

    const auto choice = chooseCandidate(input);
    this->candidate = choice.endpoint;
    this->candidateAlreadyLeads = choice.alreadyLeads;
    this->requiredPosition = choice.required;
    if (choice.action == CandidateAction::NoCandidate) {
        this->rejectedEndpoints.clear();
        this->askAgain();
    } else if (choice.action == CandidateAction::AwaitProof) {
        this->waitForProof(input.evidence);
    } else if (choice.action == CandidateAction::Order && this->mustWaitForOldPrimary())
        this->askAgain();
    else if (this->mustWaitForTerm(reports.at(this->candidate)))
        this->schedule(queryRetryDelay, [this] { this->refreshEndpoints(); });
    else if (choice.action == CandidateAction::CatchUp)
        this->waitForCatchUp(reports.at(this->initialRow.endpoint).received, reports.at(this->candidate));
    else
        this->orderPromotion();
}

// No endpoint is ordered as long as acknowledged commits may be missing in its log. The group stays without a primary;
// this attempt ends after a while, so that the promotion lock is free for other groups, and another one follows.
void Promotion::waitForProof(const LogEvidence& evidence)
{
    const auto now = this->context.now();
    if (!this->unprovenSince) {
        this->unprovenSince = now;
        this->logMissingProof(evidence);
    }
    if (now < *this->unprovenSince + proofTimeout)
        this->askAgain();
    else
        this->finish(false);
}

void Promotion::logMissingProof(const LogEvidence& evidence)
{
    std::string missing;
    std::size_t count = 0;
    for (const auto& id : evidence.members) {
        const auto reply = this->replies.find(id);
        const auto status = reply == this->replies.end() ? EndpointReplyStatus::Unregistered : reply->second.status;
        const bool reported = status == EndpointReplyStatus::Reported;
        if (reported && evidence.restarted.count(id) == 0)
            continue;
        ++count;
        missing += (missing.empty() ? "" : " ") + id.value + ":" + (reported ? "restarted" : replyStatusName(status));
    }
    const auto since = this->context.noteMissingHolders(this->initialRow.group, count);
    logEvent(LogLevel::Warning, "promotion_waits_for_proof",
        { { "group", this->initialRow.group.value }, { "sync_replicas", evidence.syncReplicas },
            { "reported", evidence.reports.size() }, { "missing", missing },
            { "list_complete", evidence.mayLackMembers ? 0 : 1 }, { "primary_missing_ms", toMilliseconds(since) },
            { "required", this->requiredPosition ? toString(*this->requiredPosition) : "" } });
}

// An old primary that runs but had no free slot holds commits that the candidate may lack. It is asked again before the
// candidate is ordered without catching up with it.
bool Promotion::mustWaitForOldPrimary()
{
    const auto reply = this->replies.find(this->initialRow.endpoint);
    if (this->candidateAlreadyLeads || reply == this->replies.end() || !reply->second.isAliveWithoutReport())
        return false;
    const auto now = this->context.now();
    if (!this->oldUnreportedSince)
        this->oldUnreportedSince = now;
    return now < *this->oldUnreportedSince + oldPrimaryPatience;
}

// An endpoint that has not followed the primary of the last term lacks what was acknowledged in it. Those that have it
// may be back soon, and until then nothing is read that lacks it.
bool Promotion::mustWaitForTerm(const EndpointReport& best)
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

// Waits until the candidate has received what the old primary reported.
void Promotion::waitForCatchUp(const Position& target, const EndpointReport& candidateReport)
{
    if (candidateReport.received >= target) {
        this->demoteOldPrimary();
        return;
    }
    this->enterStep("catch_up");
    this->pollCatchUp(target);
}

void Promotion::pollCatchUp(const Position& target)
{
    this->context.hooks.queryEndpoint(
        this->initialRow.group, this->candidate, this->guarded([this, target](const EndpointReply& reply) {
            const bool reached = reply.report && reply.report->received >= target;
            if (reached)
                this->demoteOldPrimary();
            else if (this->context.now() < this->stepStartedAt + catchUpTimeout)
                this->schedule(catchUpPollInterval, [this, target] { this->pollCatchUp(target); });
            else
                this->onCatchUpTimeout(reply);
        }));
}

// Without the commits that were acknowledged the candidate is not ordered, however long that takes.
void Promotion::onCatchUpTimeout(const EndpointReply& reply)
{
    const bool nothingRequired = this->requiredPosition == Position {};
    const bool complete = reply.report && this->requiredPosition && reply.report->received >= *this->requiredPosition;
    if (nothingRequired || complete) {
        this->demoteOldPrimary();
        return;
    }
    logEvent(LogLevel::Warning, "catch_up_failed",
        { { "group", this->initialRow.group.value }, { "candidate", this->candidate.value },
            { "reply", replyStatusName(reply.status) },
            { "received", reply.report ? toString(reply.report->received) : "" },
            { "required", this->requiredPosition ? toString(*this->requiredPosition) : "" } });
    this->catchUpFailed = true;
    this->refreshEndpoints();
}

} // namespace endivetrestle
