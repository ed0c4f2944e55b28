#include "process/failover.h"

#include "request/status_check.h"

#include <algorithm>
#include <utility>

namespace endivetrestle {

using failover::JournalEvent;
using failover::PrimaryChanged;

std::string_view failoverStateName(FailoverState state)
{
    switch (state) {
    case FailoverState::Watching:
        return "watching";
    case FailoverState::Confirming:
        return "confirming";
    case FailoverState::Fencing:
        return "fencing";
    case FailoverState::Promoting:
        return "promoting";
    case FailoverState::Settling:
        return "settling";
    }
    return "unknown";
}

Failover::Failover(Options options, std::vector<FailoverEndpoint> endpoints, Time now)
    : options(std::move(options))
    , suspectAfter(this->options.settings.suspectAfter)
    , observed(this->options.settings.longestStep, now)
{
    for (auto& endpoint : endpoints)
        this->members[endpoint.endpoint].leaving = endpoint.leaving;
}

Failover::Actions Failover::tick(Time now)
{
    Actions actions;
    this->observed.advance(now);
    this->step(now, actions);
    return actions;
}

Failover::Actions Failover::onStatus(const EndpointStatus& status, Time sentAt, Time receivedAt)
{
    Actions actions;
    this->observed.advance(receivedAt);
    const auto found = this->members.find(status.endpoint);
    if (found == this->members.end() || !isPlausible(status))
        return actions;
    Member& member = found->second;
    member.highestLog = std::max(member.highestLog, status.lastLog);
    const bool outdated = member.status && (sentAt < member.sentAt || status.term < member.status->term);
    if (!outdated) {
        member.status = status;
        member.sentAt = sentAt;
        member.reachable = true;
    }
    this->applyStatus(status, receivedAt, actions);
    this->step(receivedAt, actions);
    return actions;
}

Failover::Actions Failover::onContactFailure(const EndpointId& endpoint, Time now)
{
    Actions actions;
    this->observed.advance(now);
    if (const auto found = this->members.find(endpoint); found != this->members.end())
        found->second.reachable = false;
    this->step(now, actions);
    return actions;
}

Failover::Actions Failover::onOpinion(const Opinion& opinion, Time now)
{
    Actions actions;
    this->observed.advance(now);
    this->peers[opinion.daemon] = { opinion, now };
    this->step(now, actions);
    return actions;
}

Failover::Actions Failover::onFenceAnswer(
    const EndpointId& endpoint, std::uint64_t term, const FenceAnswer& answer, Time now)
{
    Actions actions;
    this->observed.advance(now);
    if (answer.status.endpoint != endpoint || !this->members.contains(endpoint) || !isPlausible(answer.status))
        return actions;
    const bool current = this->isAttempt(FailoverState::Fencing, term);
    this->applyStatus(answer.status, now, actions);
    if (current && this->isAttempt(FailoverState::Fencing, term))
        this->handleFenceAnswer(endpoint, answer, now, actions);
    this->step(now, actions);
    return actions;
}

Failover::Actions Failover::onFenceFailed(const EndpointId& endpoint, std::uint64_t term, Time now)
{
    Actions actions;
    this->observed.advance(now);
    if (const auto found = this->members.find(endpoint); found != this->members.end())
        found->second.reachable = false;
    if (this->isAttempt(FailoverState::Fencing, term) && !this->preferredAreMajority(now))
        this->fenceAllEndpoints(now, actions);
    this->step(now, actions);
    return actions;
}

Failover::Actions Failover::onPromoteAnswer(
    const EndpointId& endpoint, std::uint64_t term, const FenceAnswer& answer, Time now)
{
    Actions actions;
    this->observed.advance(now);
    if (answer.status.endpoint != endpoint || !this->members.contains(endpoint) || !isPlausible(answer.status))
        return actions;
    const bool current = this->isAttempt(FailoverState::Promoting, term) && endpoint == this->attempt.candidate;
    if (current && answer.granted && answer.status.term == term)
        this->startSettling(now, actions);
    else
        this->applyStatus(answer.status, now, actions);
    if (current && !answer.granted && this->isAttempt(FailoverState::Promoting, term))
        this->backOff("promote_refused", now, actions);
    this->step(now, actions);
    return actions;
}

Failover::Actions Failover::onPromoteFailed(const EndpointId& endpoint, std::uint64_t, Time now)
{
    // The call may have taken effect, so the attempt repeats it until attemptLimit and never chooses another endpoint
    // in the same term.
    return this->onContactFailure(endpoint, now);
}

Failover::Actions Failover::requestSwitchover(std::string reason, std::set<EndpointId> exclude, Time now)
{
    Actions actions;
    this->observed.advance(now);
    if (this->currentState != FailoverState::Watching || !this->majorityHasRecentStatus(now)) {
        actions.push_back(JournalEvent { "switchover_ignored",
            { { "reason", reason }, { "state", std::string(failoverStateName(this->currentState)) } } });
        return actions;
    }
    this->excluded = std::move(exclude);
    if (const auto current = this->primary())
        this->excluded.insert(current->endpoint);
    actions.push_back(JournalEvent { "switchover_requested", { { "reason", reason } } });
    this->startFencing(now, actions);
    this->step(now, actions);
    return actions;
}

Failover::Actions Failover::setEndpoints(std::vector<FailoverEndpoint> endpoints, Time now)
{
    Actions actions;
    this->observed.advance(now);
    std::map<EndpointId, Member> updated;
    bool added = false;
    for (auto& endpoint : endpoints) {
        const auto existing = this->members.find(endpoint.endpoint);
        added |= existing == this->members.end();
        Member member = existing == this->members.end() ? Member() : existing->second;
        member.leaving = endpoint.leaving;
        updated.emplace(endpoint.endpoint, std::move(member));
    }
    const bool sameGroup = !added && updated.size() == this->members.size();
    this->members = std::move(updated);
    const bool underWay
        = this->currentState == FailoverState::Fencing || this->currentState == FailoverState::Promoting;
    if (!sameGroup && underWay)
        this->backOff("group_changed", now, actions);
    return actions;
}

void Failover::setRank(int rank) { this->rank = std::max(rank, 0); }

void Failover::setSuspectAfter(Duration suspectAfter) { this->suspectAfter = suspectAfter; }

std::optional<KnownPrimary> Failover::primary() const
{
    return this->knownPrimary && this->knownPrimary->term == this->highestSeenTerm ? this->knownPrimary : std::nullopt;
}

void Failover::applyStatus(const EndpointStatus& status, Time now, Actions& actions)
{
    this->adoptHigherTerm(status.term, now, actions);
    if (status.role == EndpointRole::Primary && status.term == this->highestSeenTerm)
        this->adoptPrimary({ status.endpoint, status.term }, now, actions);
}

// Restarts the suspicion timeout, so that the daemon that raised the term has the whole timeout to finish its attempt.
void Failover::adoptHigherTerm(std::uint64_t term, Time now, Actions& actions)
{
    if (term <= this->highestSeenTerm)
        return;
    this->highestSeenTerm = term;
    this->lastContact = this->observed.value();
    switch (this->currentState) {
    case FailoverState::Watching:
        return;
    case FailoverState::Confirming:
        return this->backOffUntil ? this->backOff("term_raised", now, actions)
                                  : this->resumeWatching("term_raised", actions);
    case FailoverState::Fencing:
    case FailoverState::Promoting:
        if (term > this->attempt.term)
            this->backOff("term_raised", now, actions);
        return;
    case FailoverState::Settling:
        return this->resumeWatching("term_raised", actions);
    }
}

void Failover::adoptPrimary(const KnownPrimary& found, Time now, Actions& actions)
{
    if (this->knownPrimary && this->knownPrimary->term == found.term
        && this->knownPrimary->endpoint != found.endpoint) {
        actions.push_back(JournalEvent { "two_primaries_in_term",
            { { "term", std::to_string(found.term) }, { "known", this->knownPrimary->endpoint.value },
                { "reported", found.endpoint.value } } });
        return;
    }
    const bool ownAttempt = this->isAttempt(FailoverState::Promoting, found.term);
    if (ownAttempt && found.endpoint == this->attempt.candidate)
        this->startSettling(now, actions);
    else if (this->knownPrimary != found)
        this->changePrimary(found, false, now, actions);
    this->lastContact = this->observed.value();
    this->lastPrimaryContact = now;
    const bool attempting
        = this->currentState == FailoverState::Fencing || this->currentState == FailoverState::Promoting;
    if (this->currentState == FailoverState::Watching || (attempting && found.term < this->attempt.term))
        return;
    this->resumeWatching("primary_seen", actions);
}

void Failover::changePrimary(const KnownPrimary& found, bool promotedHere, Time now, Actions& actions)
{
    const Duration gap
        = this->lastPrimaryContact ? std::max(now - *this->lastPrimaryContact, Duration::zero()) : Duration::zero();
    this->knownPrimary = found;
    this->lastContact = this->observed.value();
    this->lastPrimaryContact = now;
    actions.push_back(PrimaryChanged { found.endpoint, found.term, gap, promotedHere });
}

bool Failover::isAttempt(FailoverState state, std::uint64_t term) const
{
    return this->currentState == state && this->attempt.term == term;
}

} // namespace endivetrestle
