#include "request/retry_budget.h"

#include <algorithm>
#include <functional>

namespace endivetrestle {

SendEvidence evidenceFromAnswer(ErrorCode answerCode)
{
    switch (answerCode) {
    case ErrorCode::WrongTerm:
    case ErrorCode::NotPrimary:
    case ErrorCode::PositionNotReached:
    case ErrorCode::PositionDiverged:
    case ErrorCode::ConnectionLimit:
    case ErrorCode::QueueFull:
    case ErrorCode::Overloaded:
    case ErrorCode::BadRequest:
    case ErrorCode::TransactionAborted:
        return SendEvidence::ProvenNotRun;
    default:
        return SendEvidence::Unknown;
    }
}

RetryBudget::RetryBudget(const RetryBudgetSettings& settings)
    : settings(settings)
{
}

std::size_t RetryBudget::KeyHash::operator()(const Key& key) const noexcept
{
    constexpr std::size_t oddMultiplier = 0x9e3779b97f4a7c15;
    return std::hash<CallerId>()(key.caller) * oddMultiplier + std::hash<DatabaseId>()(key.database);
}

double RetryBudget::refilledTokens(const Entry& entry, Time now) const
{
    const auto passed = std::max(Duration::zero(), now - entry.refilledAt);
    return std::min(this->settings.maxTokens, entry.tokens + toSeconds(passed) * this->settings.floorPerSecond);
}

double RetryBudget::initialTokens() const { return std::min(1.0, this->settings.maxTokens); }

RetryBudget::Entry& RetryBudget::refreshEntry(const Key& key, Time now)
{
    auto [found, added] = this->entries.try_emplace(key);
    auto& entry = found->second;
    if (added) {
        entry.tokens = this->initialTokens();
        entry.refilledAt = now;
        entry.lruPosition = this->lruOrder.insert(this->lruOrder.end(), key);
    } else {
        this->lruOrder.splice(this->lruOrder.end(), this->lruOrder, entry.lruPosition);
    }
    entry.tokens = this->refilledTokens(entry, now);
    entry.refilledAt = std::max(entry.refilledAt, now);
    entry.lastUse = now;
    if (this->entries.size() > std::max<std::size_t>(1, this->settings.maxEntries)) {
        this->entries.erase(this->lruOrder.front());
        this->lruOrder.pop_front();
    }
    return entry;
}

void RetryBudget::onRequest(const CallerId& caller, const DatabaseId& database, Time now)
{
    auto& entry = this->refreshEntry({ caller, database }, now);
    entry.tokens = std::min(this->settings.maxTokens, entry.tokens + this->settings.ratio);
}

RetryDecision RetryBudget::tryAcquireRetry(const RetryCandidate& candidate, Time now)
{
    // The at-most-once rule (I6) is checked first, so that no budget or setting can override it.
    if (candidate.evidence == SendEvidence::Unknown) {
        // After a lost answer the state of the transaction is unknown, so the transaction cannot continue.
        const bool inTransaction = candidate.kind == RequestKind::Statement || candidate.kind == RequestKind::Commit
            || candidate.kind == RequestKind::Rollback;
        if (inTransaction)
            return { false, ErrorCode::TransactionAborted };
        if (!candidate.repeatable)
            return { false, ErrorCode::RequestAborted };
    }
    if (now >= candidate.deadline)
        return { false, ErrorCode::DeadlineExceeded };
    if (candidate.attempts >= this->settings.maxAttempts)
        return { false, ErrorCode::RetryBudgetSpent };
    if (candidate.evidence == SendEvidence::NotSent)
        return { true, ErrorCode::None };
    auto& entry = this->refreshEntry({ candidate.caller, candidate.database }, now);
    if (entry.tokens < 1)
        return { false, ErrorCode::RetryBudgetSpent };
    entry.tokens -= 1;
    return { true, ErrorCode::None };
}

void RetryBudget::tick(Time now)
{
    while (!this->lruOrder.empty()) {
        const auto oldest = this->entries.find(this->lruOrder.front());
        if (oldest->second.lastUse + this->settings.idleExpiry > now)
            return;
        this->entries.erase(oldest);
        this->lruOrder.pop_front();
    }
}

double RetryBudget::available(const CallerId& caller, const DatabaseId& database, Time now) const
{
    const auto found = this->entries.find({ caller, database });
    return found == this->entries.end() ? this->initialTokens() : this->refilledTokens(found->second, now);
}

} // namespace endivetrestle
