#include "process/failover.h"

#include <algorithm>

namespace endivetrestle {

using failover::AskOpinions;
using failover::Fence;
using failover::JournalEvent;
using failover::Promote;

void Failover::step(Time now, Actions& actions)
{
    switch (this->currentState) {
    case FailoverState::Watching:
        return this->stepWatching(now, actions);
    case FailoverState::Confirming:
        return this->stepConfirming(now, actions);
    case FailoverState::Fencing:
        return this->stepFencing(now, actions);
    case FailoverState::Promoting:
        return this->stepPromoting(now, actions);
    case FailoverState::Settling:
        return this->stepSettling(now, actions);
    }
}

void Failover::stepWatching(Time now, Actions& actions)
{
    if (this->timeWithoutContact() >= this->suspectAfter)
        this->suspect(now, actions);
}

void Failover::stepConfirming(Time now, Actions& actions)
{
    if (this->backOffUntil && now < *this->backOffUntil)
        return;
    if (now >= this->nextOpinionRequestAt)
        this->askOpinions(now, actions);
    if (!this->isConfirmed(now)) {
        this->confirmedAt.reset();
        return;
    }
    if (!this->confirmedAt)
        this->confirmedAt = now;
    const Duration delay = this->backOffUntil ? Duration::zero() : this->rank * this->options.settings.rankDelay;
    if (now >= *this->confirmedAt + delay)
        this->startFencing(now, actions);
}

void Failover::stepFencing(Time now, Actions& actions)
{
    const auto& settings = this->options.settings;
    if (this->mayPromote(now))
        return this->startPromoting(now, actions);
    if (now >= this->attempt.startedAt + settings.attemptLimit)
        return this->backOff("fence_timed_out", now, actions);
    if (!this->attempt.fenceAll && now >= this->attempt.startedAt + settings.fenceAllAfter)
        return this->fenceAllEndpoints(now, actions);
    if (now >= this->attempt.repeatAt)
        this->sendFences(now, actions);
}

void Failover::stepPromoting(Time now, Actions& actions)
{
    if (now >= this->attempt.startedAt + this->options.settings.attemptLimit)
        return this->backOff("promote_timed_out", now, actions);
    if (now < this->attempt.repeatAt)
        return;
    this->attempt.repeatAt = now + this->options.settings.repeatAfter;
    actions.push_back(Promote { this->attempt.candidate, this->attempt.term });
}

void Failover::stepSettling(Time /*now*/, Actions& actions)
{
    if (this->timeWithoutContact() >= this->options.settings.settleLimit)
        this->resumeWatching("not_seen", actions);
}

void Failover::suspect(Time now, Actions& actions)
{
    this->suspectedAt = this->observed.value();
    this->confirmedAt.reset();
    this->backOffUntil.reset();
    this->peers.clear();
    this->nextOpinionRequestAt = now;
    this->enter(FailoverState::Confirming, this->primary() ? "no_contact" : "no_primary", actions);
    this->stepConfirming(now, actions);
}

void Failover::startFencing(Time now, Actions& actions)
{
    this->highestAttemptedTerm = std::max(this->highestSeenTerm, this->highestAttemptedTerm) + 1;
    this->attempt = Attempt();
    this->attempt.term = this->highestAttemptedTerm;
    this->attempt.startedAt = now;
    this->attempt.fenceAll = !this->preferredAreMajority(now);
    this->enter(FailoverState::Fencing, "term=" + std::to_string(this->attempt.term), actions);
    this->sendFences(now, actions);
}

void Failover::startPromoting(Time now, Actions& actions)
{
    this->attempt.candidate = this->chooseCandidate();
    this->attempt.startedAt = now;
    this->attempt.repeatAt = now + this->options.settings.repeatAfter;
    this->enter(FailoverState::Promoting, "majority_fenced", actions);
    JournalEvent event { "primary_chosen",
        { { "endpoint", this->attempt.candidate.value }, { "term", std::to_string(this->attempt.term) } } };
    for (const auto& [endpoint, position] : this->attempt.granted)
        event.fields.emplace_back("position_" + endpoint.value, toString(position));
    if (this->isAvoided(this->attempt.candidate))
        event.fields.emplace_back("only_leaving_has_highest_position", "true");
    actions.push_back(std::move(event));
    actions.push_back(Promote { this->attempt.candidate, this->attempt.term });
}

void Failover::startSettling(Time now, Actions& actions)
{
    this->highestSeenTerm = std::max(this->highestSeenTerm, this->attempt.term);
    this->enter(FailoverState::Settling, "promoted", actions);
    this->changePrimary({ this->attempt.candidate, this->attempt.term }, true, now, actions);
}

void Failover::backOff(std::string_view reason, Time now, Actions& actions)
{
    const auto& settings = this->options.settings;
    const auto spread = static_cast<std::uint64_t>((settings.longestBackoff - settings.shortestBackoff).count());
    const auto extra = static_cast<Duration::rep>(this->options.random() % (spread + 1));
    this->backOffUntil = now + settings.shortestBackoff + Duration(extra);
    this->confirmedAt.reset();
    this->nextOpinionRequestAt = *this->backOffUntil;
    this->enter(FailoverState::Confirming, reason, actions);
}

void Failover::resumeWatching(std::string_view reason, Actions& actions)
{
    this->excluded.clear();
    this->backOffUntil.reset();
    this->confirmedAt.reset();
    this->enter(FailoverState::Watching, reason, actions);
}

void Failover::enter(FailoverState state, std::string_view reason, Actions& actions)
{
    actions.push_back(JournalEvent { "failover_state",
        { { "from", std::string(failoverStateName(this->currentState)) },
            { "to", std::string(failoverStateName(state)) }, { "reason", std::string(reason) },
            { "highest_term", std::to_string(this->highestSeenTerm) } } });
    this->currentState = state;
}

void Failover::askOpinions(Time now, Actions& actions)
{
    this->nextOpinionRequestAt = now + this->options.settings.repeatAfter;
    if (const auto current = this->primary())
        actions.push_back(AskOpinions { current->endpoint, current->term });
}

// A record of the attempt's own term shows that the term already had a primary, so the term cannot be used again.
void Failover::handleFenceAnswer(const EndpointId& endpoint, const FenceAnswer& answer, Time now, Actions& actions)
{
    const auto& status = answer.status;
    const bool usable = answer.granted && status.term == this->attempt.term && status.role != EndpointRole::Primary
        && status.lastLog.term < this->attempt.term;
    if (!usable)
        return this->backOff("fence_refused", now, actions);
    this->members[endpoint].reachable = true;
    if (!this->isUnconfirmedRegression(endpoint, status.lastLog, now))
        this->attempt.granted.emplace(endpoint, status.lastLog);
}

// A position below an earlier one of the same endpoint may be wrong, and counting it could lose acknowledged writes. It
// is accepted once a repeated call has confirmed it, because a log also gets shorter when a divergent suffix is
// truncated.
bool Failover::isUnconfirmedRegression(const EndpointId& endpoint, const Position& position, Time now)
{
    if (position >= this->members[endpoint].highestLog)
        return false;
    const auto known = this->attempt.regressions.find(endpoint);
    if (known != this->attempt.regressions.end() && known->second.first == position)
        return now - known->second.second < this->options.settings.repeatAfter;
    this->attempt.regressions[endpoint] = { position, now };
    return true;
}

void Failover::sendFences(Time now, Actions& actions)
{
    this->attempt.repeatAt = now + this->options.settings.repeatAfter;
    for (const auto& [endpoint, member] : this->members) {
        const bool wanted = this->attempt.fenceAll || !this->isAvoided(endpoint);
        if (wanted && !this->attempt.granted.contains(endpoint))
            actions.push_back(Fence { endpoint, this->attempt.term });
    }
}

void Failover::fenceAllEndpoints(Time now, Actions& actions)
{
    if (this->attempt.fenceAll)
        return;
    this->attempt.fenceAll = true;
    this->sendFences(now, actions);
}

// Uses the reported age without adding the age of the status, which would make a status that is merely not the latest
// look like a lost contact.
Duration Failover::primaryContactAge(const Member& member) const
{
    const auto& status = *member.status;
    if (status.term < this->highestSeenTerm || status.role == EndpointRole::Fenced)
        return Duration::max();
    return status.role == EndpointRole::Primary ? Duration::zero() : status.primaryContactAge;
}

bool Failover::hasRecentStatus(const Member& member, Time now) const
{
    return member.reachable && member.status && now - member.sentAt <= this->suspectAfter / 2;
}

bool Failover::majorityHasRecentStatus(Time now) const
{
    const auto fresh = std::count_if(this->members.begin(), this->members.end(),
        [&](const auto& entry) { return this->hasRecentStatus(entry.second, now); });
    return static_cast<std::size_t>(fresh) >= this->majority();
}

// Whether most reachable endpoints, or the peers, have lost contact with the primary too. An endpoint that has recent
// contact with the primary vetoes the failover; after vetoLimit the peers can override the veto.
bool Failover::isConfirmed(Time now) const
{
    if (!this->majorityHasRecentStatus(now))
        return false;
    std::size_t reachable = 0;
    std::size_t withoutContact = 0;
    bool veto = false;
    for (const auto& [endpoint, member] : this->members) {
        if (!this->hasRecentStatus(member, now))
            continue;
        const Duration age = this->primaryContactAge(member);
        ++reachable;
        withoutContact += age >= this->suspectAfter ? 1 : 0;
        veto |= age < this->suspectAfter / 2;
    }
    const bool overdue = this->observed.value() - this->suspectedAt >= this->options.settings.vetoLimit;
    if (veto)
        return overdue && this->peersConfirm(now);
    return withoutContact * 2 > reachable || this->peersConfirm(now);
}

bool Failover::peersConfirm(Time now) const
{
    const auto current = this->primary();
    if (!current)
        return false;
    bool confirmed = false;
    for (const auto& [daemon, view] : this->peers) {
        const auto& opinion = view.opinion;
        const bool counts = opinion.dataCentre != this->options.dataCentre && opinion.endpoint == current->endpoint
            && opinion.contactAge && now - view.receivedAt <= this->suspectAfter;
        if (!counts)
            continue;
        if (opinion.term > this->highestSeenTerm || *opinion.contactAge < this->suspectAfter)
            return false;
        confirmed = true;
    }
    return confirmed;
}

// Whether the endpoint is leaving or excluded. It then becomes primary only if no other has as high a position.
bool Failover::isAvoided(const EndpointId& endpoint) const
{
    const auto member = this->members.find(endpoint);
    return this->excluded.contains(endpoint) || (member != this->members.end() && member->second.leaving);
}

// Whether the endpoints that are not avoided and have a recent status are a majority.
bool Failover::preferredAreMajority(Time now) const
{
    const auto usable = std::count_if(this->members.begin(), this->members.end(),
        [&](const auto& entry) { return !this->isAvoided(entry.first) && this->hasRecentStatus(entry.second, now); });
    return static_cast<std::size_t>(usable) >= this->majority();
}

EndpointId Failover::chooseCandidate() const
{
    const auto preferred = [&](const auto& left, const auto& right) {
        return std::pair(left.second, !this->isAvoided(left.first))
            < std::pair(right.second, !this->isAvoided(right.first));
    };
    return std::max_element(this->attempt.granted.begin(), this->attempt.granted.end(), preferred)->first;
}

// If the best candidate of a fenced majority is leaving or excluded, a reachable endpoint that is neither may have the
// same position. Such endpoints get a short time to answer before the promotion.
bool Failover::mayPromote(Time now) const
{
    if (this->members.empty() || this->attempt.granted.size() < this->majority())
        return false;
    const bool preferredMayAnswer = std::any_of(this->members.begin(), this->members.end(), [&](const auto& entry) {
        return !this->attempt.granted.contains(entry.first) && !this->isAvoided(entry.first)
            && this->hasRecentStatus(entry.second, now);
    });
    if (!preferredMayAnswer || !this->isAvoided(this->chooseCandidate()))
        return true;
    return now >= this->attempt.startedAt + this->options.settings.fenceAllAfter + this->options.settings.repeatAfter;
}

} // namespace endivetrestle
