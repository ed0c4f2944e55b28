#include "request/retry_budget.h"

#include <algorithm>
#include <functional>

namespace endivetrestle {

SendEvidence evidenceOf(ErrorCode answerCode)
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

double RetryBudget::refilled(const Entry& entry, Time now) const
{
    const auto passed = std::max(Duration::zero(), now - entry.refilledAt);
    return std::min(this->settings.maxTokens, entry.tokens + toSeconds(passed) * this->settings.floorPerSecond);
}

double RetryBudget::initialTokens() const { return std::min(1.0, this->settings.maxTokens); }

RetryBudget::Entry& RetryBudget::use(const Key& key, Time now)
{
    auto [found, added] = this->entries.try_emplace(key);
    auto& entry = found->second;
    if (added) {
        entry.tokens = this->initialTokens();
        entry.refilledAt = now;
        entry.order = this->order.insert(this->order.end(), key);
    } else {
        this->order.splice(this->order.end(), this->order, entry.order);
    }
    entry.tokens = this->refilled(entry, now);
    entry.refilledAt = std::max(entry.refilledAt, now);
    entry.lastUse = now;
    if (this->entries.size() > std::max<std::size_t>(1, this->settings.maxEntries)) {
        this->entries.erase(this->order.front());
        this->order.pop_front();
    }
    return entry;
}

void RetryBudget::onRequest(const CallerId& caller, const DatabaseId& database, Time now)
{
    auto& entry = this->use({ caller, database }, now);
    entry.tokens = std::min(this->settings.maxTokens, entry.tokens + this->settings.ratio);
}

RetryDecision RetryBudget::mayRetry(const RetryQuestion& question, Time now)
{
    // The rule of at most one run (I6) comes first, so that no budget or setting can override it.
    if (question.evidence == SendEvidence::Unknown) {
        // After a lost answer the state of a transaction is not known, and the transaction cannot go on.
        const bool inTransaction = question.kind == RequestKind::Statement || question.kind == RequestKind::Commit
            || question.kind == RequestKind::Rollback;
        if (inTransaction)
            return { false, ErrorCode::TransactionAborted };
        if (!question.repeatable)
            return { false, ErrorCode::RequestAborted };
    }
    if (now >= question.deadline)
        return { false, ErrorCode::DeadlineExceeded };
    if (question.attempts >= this->settings.maxAttempts)
        return { false, ErrorCode::RetryBudgetSpent };
    if (question.evidence == SendEvidence::NotSent)
        return { true, ErrorCode::None };
    auto& entry = this->use({ question.caller, question.database }, now);
    if (entry.tokens < 1)
        return { false, ErrorCode::RetryBudgetSpent };
    entry.tokens -= 1;
    return { true, ErrorCode::None };
}

void RetryBudget::tick(Time now)
{
    while (!this->order.empty()) {
        const auto oldest = this->entries.find(this->order.front());
        if (oldest->second.lastUse + this->settings.idleExpiry > now)
            return;
        this->entries.erase(oldest);
        this->order.pop_front();
    }
}

double RetryBudget::available(const CallerId& caller, const DatabaseId& database, Time now) const
{
    const auto found = this->entries.find({ caller, database });
    return found == this->entries.end() ? this->initialTokens() : this->refilled(found->second, now);
}

} // namespace endivetrestle
