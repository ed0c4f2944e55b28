#include "process/failover.h"

#include <algorithm>

namespace endivetrestle {

using failover::AskOpinions;
using failover::Fence;
using failover::Note;
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
    if (this->silence() >= this->suspectAfter)
        this->suspect(now, actions);
}

void Failover::stepConfirming(Time now, Actions& actions)
{
    if (this->backOffUntil && now < *this->backOffUntil)
        return;
    if (now >= this->askAgainAt)
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
        return this->fenceEveryone(now, actions);
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
    actions.push_back(Promote { this->attempt.chosen, this->attempt.term });
}

void Failover::stepSettling(Time /*now*/, Actions& actions)
{
    if (this->silence() >= this->options.settings.settleLimit)
        this->resumeWatching("not_seen", actions);
}

void Failover::suspect(Time now, Actions& actions)
{
    this->suspectedAt = this->observed.value();
    this->confirmedAt.reset();
    this->backOffUntil.reset();
    this->peers.clear();
    this->askAgainAt = now;
    this->enter(FailoverState::Confirming, this->primary() ? "no_contact" : "no_primary", actions);
    this->stepConfirming(now, actions);
}

void Failover::startFencing(Time now, Actions& actions)
{
    this->attemptedTerm = std::max(this->highTerm, this->attemptedTerm) + 1;
    this->attempt = Attempt();
    this->attempt.term = this->attemptedTerm;
    this->attempt.startedAt = now;
    this->attempt.fenceAll = !this->othersAreMajority(now);
    this->enter(FailoverState::Fencing, "term=" + std::to_string(this->attempt.term), actions);
    this->sendFences(now, actions);
}

void Failover::startPromoting(Time now, Actions& actions)
{
    this->attempt.chosen = this->choose();
    this->attempt.startedAt = now;
    this->attempt.repeatAt = now + this->options.settings.repeatAfter;
    this->enter(FailoverState::Promoting, "majority_fenced", actions);
    Note note { "primary_chosen",
        { { "endpoint", this->attempt.chosen.value }, { "term", std::to_string(this->attempt.term) } } };
    for (const auto& [endpoint, position] : this->attempt.granted)
        note.fields.emplace_back("position_" + endpoint.value, toString(position));
    if (this->isAvoided(this->attempt.chosen))
        note.fields.emplace_back("only_leaving_has_highest_position", "true");
    actions.push_back(std::move(note));
    actions.push_back(Promote { this->attempt.chosen, this->attempt.term });
}

void Failover::settle(Time now, Actions& actions)
{
    this->highTerm = std::max(this->highTerm, this->attempt.term);
    this->enter(FailoverState::Settling, "promoted", actions);
    this->changePrimary({ this->attempt.chosen, this->attempt.term }, true, now, actions);
}

void Failover::backOff(std::string_view reason, Time now, Actions& actions)
{
    const auto& settings = this->options.settings;
    const auto spread = static_cast<std::uint64_t>((settings.longestBackoff - settings.shortestBackoff).count());
    const auto extra = static_cast<Duration::rep>(this->options.random() % (spread + 1));
    this->backOffUntil = now + settings.shortestBackoff + Duration(extra);
    this->confirmedAt.reset();
    this->askAgainAt = *this->backOffUntil;
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
    actions.push_back(Note { "failover_state",
        { { "from", std::string(failoverStateName(this->currentState)) },
            { "to", std::string(failoverStateName(state)) }, { "reason", std::string(reason) },
            { "highest_term", std::to_string(this->highTerm) } } });
    this->currentState = state;
}

void Failover::askOpinions(Time now, Actions& actions)
{
    this->askAgainAt = now + this->options.settings.repeatAfter;
    if (const auto current = this->primary())
        actions.push_back(AskOpinions { current->endpoint, current->term });
}

// A record of the attempt's own term shows that the term already had a primary, so the term cannot be used again.
void Failover::addFence(const EndpointId& endpoint, const FenceAnswer& answer, Time now, Actions& actions)
{
    const auto& status = answer.status;
    const bool usable = answer.granted && status.term == this->attempt.term && status.role != EndpointRole::Primary
        && status.lastLog.term < this->attempt.term;
    if (!usable)
        return this->backOff("fence_refused", now, actions);
    this->members[endpoint].reachable = true;
    if (!this->isDoubtful(endpoint, status.lastLog, now))
        this->attempt.granted.emplace(endpoint, status.lastLog);
}

// A position below an earlier one may be a wrong answer, and counting it could drop acknowledged writes. It is believed
// once a repeated call has confirmed it, because a log also gets shorter when a divergent suffix is removed.
bool Failover::isDoubtful(const EndpointId& endpoint, const Position& position, Time now)
{
    if (position >= this->members[endpoint].highestLog)
        return false;
    const auto known = this->attempt.doubted.find(endpoint);
    if (known != this->attempt.doubted.end() && known->second.first == position)
        return now - known->second.second < this->options.settings.repeatAfter;
    this->attempt.doubted[endpoint] = { position, now };
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

void Failover::fenceEveryone(Time now, Actions& actions)
{
    if (this->attempt.fenceAll)
        return;
    this->attempt.fenceAll = true;
    this->sendFences(now, actions);
}

// The reported ages are used as they are. Adding the age of the status would make a status that merely is not the
// latest look like a lost contact.
Duration Failover::primaryContactAge(const Member& member) const
{
    const auto& status = *member.status;
    if (status.term < this->highTerm || status.role == EndpointRole::Fenced)
        return Duration::max();
    return status.role == EndpointRole::Primary ? Duration::zero() : status.primaryContactAge;
}

bool Failover::isFresh(const Member& member, Time now) const
{
    return member.reachable && member.status && now - member.sentAt <= this->suspectAfter / 2;
}

bool Failover::isMajorityFresh(Time now) const
{
    const auto fresh = std::count_if(this->members.begin(), this->members.end(),
        [&](const auto& entry) { return this->isFresh(entry.second, now); });
    return static_cast<std::size_t>(fresh) >= this->majority();
}

bool Failover::isConfirmed(Time now) const
{
    if (!this->isMajorityFresh(now))
        return false;
    std::size_t reachable = 0;
    std::size_t withoutContact = 0;
    bool veto = false;
    for (const auto& [endpoint, member] : this->members) {
        if (!this->isFresh(member, now))
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
        if (opinion.term > this->highTerm || *opinion.contactAge < this->suspectAfter)
            return false;
        confirmed = true;
    }
    return confirmed;
}

bool Failover::isAvoided(const EndpointId& endpoint) const
{
    const auto member = this->members.find(endpoint);
    return this->excluded.contains(endpoint) || (member != this->members.end() && member->second.leaving);
}

bool Failover::othersAreMajority(Time now) const
{
    const auto usable = std::count_if(this->members.begin(), this->members.end(),
        [&](const auto& entry) { return !this->isAvoided(entry.first) && this->isFresh(entry.second, now); });
    return static_cast<std::size_t>(usable) >= this->majority();
}

EndpointId Failover::choose() const
{
    const auto preferred = [&](const auto& left, const auto& right) {
        return std::pair(left.second, !this->isAvoided(left.first))
            < std::pair(right.second, !this->isAvoided(right.first));
    };
    return std::max_element(this->attempt.granted.begin(), this->attempt.granted.end(), preferred)->first;
}

// With a majority fenced there may be a reachable endpoint that has the same position and is not leaving, so such
// endpoints get a little time to answer.
bool Failover::mayPromote(Time now) const
{
    if (this->members.empty() || this->attempt.granted.size() < this->majority())
        return false;
    const bool betterMayAnswer = std::any_of(this->members.begin(), this->members.end(), [&](const auto& entry) {
        return !this->attempt.granted.contains(entry.first) && !this->isAvoided(entry.first)
            && this->isFresh(entry.second, now);
    });
    if (!betterMayAnswer || !this->isAvoided(this->choose()))
        return true;
    return now >= this->attempt.startedAt + this->options.settings.fenceAllAfter + this->options.settings.repeatAfter;
}

} // namespace endivetrestle
