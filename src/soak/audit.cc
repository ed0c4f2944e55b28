#include "soak/audit.h"

namespace endivetrestle::soak {

std::string violationKindName(ViolationKind kind)
{
    switch (kind) {
    case ViolationKind::WrongAnswer:
        return "wrong answer";
    case ViolationKind::WrongSession:
        return "wrong session";
    case ViolationKind::NotSent:
        return "not sent";
    case ViolationKind::WrongEffect:
        return "wrong effect";
    case ViolationKind::StaleRead:
        return "stale read";
    case ViolationKind::LostCommit:
        return "lost commit";
    case ViolationKind::Promotion:
        return "promotion";
    case ViolationKind::UnexpectedMessage:
        return "unexpected message";
    case ViolationKind::Service:
        break;
    }
    return "service";
}

void Audit::violate(ViolationKind kind, const std::string& what)
{
    // One fault causes many violations; the first ones of each kind are enough to trace it.
    constexpr std::uint64_t maxPrinted = 10;
    if (++this->foundCounts[kind] <= maxPrinted)
        this->found.push_back(violationKindName(kind) + ": " + what);
}

bool Audit::isRolledBack(const std::string& group, const Position& position) const
{
    const auto events = this->rollBacks.find(group);
    if (events == this->rollBacks.end())
        return false;
    for (const auto& event : events->second) {
        if (position.term < event.newTerm && position > event.after)
            return true;
    }
    return false;
}

void Audit::onSent(const std::string& id, const SentStatement& statement, Time now)
{
    auto& entry = this->sent[id];
    entry.statement = statement;
    if (!statement.reads)
        return;
    ++this->readCount;
    const auto before = statement.maxStaleness ? now - *statement.maxStaleness : now;
    if (!statement.group.empty())
        this->requireAcknowledged(entry, statement.group, before);
    else {
        for (const auto& [group, known] : this->acknowledgements)
            this->requireAcknowledged(entry, group, before);
    }
    for (const auto& [group, position] : statement.ownWrites)
        entry.required[group].push_back(position);
}

// Requires the newest position of a group that was acknowledged before the given time.
void Audit::requireAcknowledged(Sent& entry, const std::string& group, Time before)
{
    const auto& known = this->acknowledgements[group];
    for (auto item = known.rbegin(); item != known.rend(); ++item) {
        if (item->first < before && !this->isRolledBack(group, item->second)) {
            entry.required[group].push_back(item->second);
            break;
        }
    }
}

void Audit::onCommitted(const std::string& id, const std::string& group, const Position& position, bool superseded)
{
    auto& commit = this->commits[id];
    if (++commit.count > 1 && !this->isRolledBack(group, commit.position))
        this->violate(ViolationKind::WrongEffect, "write " + id + " took effect twice");
    commit.group = group;
    commit.position = position;
    commit.superseded = superseded;
    if (this->refused.count(id) != 0)
        this->violate(ViolationKind::WrongEffect, "write " + id + " took effect after a refusal");
}

void Audit::onRolledBack(const std::string& group, const Position& after, std::uint64_t newTerm)
{
    if (this->durableGroups.count(group) != 0) {
        for (const auto& [at, position] : this->acknowledgements[group]) {
            if (position.term < newTerm && position > after && !this->isRolledBack(group, position))
                this->violate(ViolationKind::LostCommit,
                    "term " + std::to_string(newTerm) + " of " + group + " begins after " + toString(after)
                        + " and lacks the acknowledged " + toString(position));
        }
    }
    this->rollBacks[group].push_back({ after, newTerm });
}

void Audit::onAcknowledged(const std::vector<std::string>& writes, Time now)
{
    ++this->acknowledgedCount;
    for (const auto& id : writes) {
        const auto commit = this->commits.find(id);
        if (commit == this->commits.end()) {
            this->violate(ViolationKind::WrongEffect, "write " + id + " was acknowledged and never took effect");
            continue;
        }
        if (commit->second.superseded)
            this->violate(ViolationKind::WrongEffect, "write " + id + " was acknowledged by a replaced primary");
        const auto& group = commit->second.group;
        if (this->durableGroups.count(group) != 0 && this->isRolledBack(group, commit->second.position))
            this->violate(ViolationKind::LostCommit, "write " + id + " was acknowledged and had been dropped");
        auto& known = this->acknowledgements[group];
        // Replies overtake each other; the list keeps rising positions only.
        if (known.empty() || known.back().second < commit->second.position)
            known.emplace_back(now, commit->second.position);
    }
}

void Audit::onRefused(const std::vector<std::string>& writes)
{
    for (const auto& id : writes) {
        this->refused[id] = true;
        const auto commit = this->commits.find(id);
        if (commit != this->commits.end())
            this->violate(ViolationKind::WrongEffect, "write " + id + " was refused although it had taken effect");
    }
}

std::optional<std::pair<std::string, Position>> Audit::commitOf(const std::string& write) const
{
    const auto commit = this->commits.find(write);
    if (commit == this->commits.end())
        return std::nullopt;
    return std::make_pair(commit->second.group, commit->second.position);
}

void Audit::onPromotion(const PromotionOrderSeen& order, bool inTouch, Time now)
{
    if (!this->promoted.empty()) {
        const auto& latest = this->promoted.back().order;
        if (order.token < latest.token)
            this->violate(ViolationKind::Promotion,
                "promotion with token " + std::to_string(order.token) + " after " + std::to_string(latest.token));
        if (order.token == latest.token && order.holder != latest.holder)
            this->violate(ViolationKind::Promotion,
                "promotions of " + latest.holder + " and " + order.holder + " with token "
                    + std::to_string(order.token));
        // One holder may order several promotions with its token.
        if (order.token <= latest.token)
            return;
    }
    this->promoted.push_back({ order, inTouch, now });
    this->checkTurns();
}

// Whether the latest three holders are two daemons in turn, within the time of a lease.
void Audit::checkTurns()
{
    constexpr Duration leaseTime = std::chrono::seconds(3);
    if (this->promoted.size() < 3)
        return;
    const auto& first = *(this->promoted.end() - 3);
    const auto& second = *(this->promoted.end() - 2);
    const auto& third = this->promoted.back();
    const bool turns = first.order.holder == third.order.holder && first.order.holder != second.order.holder;
    const auto name = [](const Promoted& promotion) { return promotion.order.group + "/" + promotion.order.endpoint; };
    if (turns && first.inTouch && second.inTouch && third.inTouch && third.at - first.at < leaseTime)
        this->violate(ViolationKind::Promotion,
            "daemons " + first.order.holder + " and " + second.order.holder
                + " order promotions in turn: " + name(first) + ", " + name(second) + ", " + name(third));
}

} // namespace endivetrestle::soak
