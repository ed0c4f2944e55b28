#include "process/store_contact.h"

#include "base/log.h"

#include <algorithm>
#include <utility>

namespace endivetrestle {

namespace {

StoreStatus unchanged(const StoreResult& result) { return result.status; }

// Whether a change was prepared for another era than that in which it was answered.
bool isOfOtherEra(const StoreChange& change, std::uint64_t era)
{
    const auto differs = [era](const StoreCondition& condition) { return condition.version.era != era; };
    return std::any_of(change.conditions.begin(), change.conditions.end(), differs)
        || std::any_of(change.removals.begin(), change.removals.end(), differs);
}

bool hasEffect(StoreStatus status) { return status == StoreStatus::Done || status == StoreStatus::Conflict; }

} // namespace

StoreContact::StoreContact(TableStore& store, StoreContactHooks hooks)
    : store(store)
    , hooks(std::move(hooks))
{
}

// Passes an answer on with the status that it has in the present era.
TableStore::Callback StoreContact::inPresentEra(Callback callback, Rule rule)
{
    return [this, callback = std::move(callback), rule = std::move(rule)](const StoreResult& result) {
        if (!result.answered) {
            callback(result);
            return;
        }
        const auto era = result.version.era;
        if (era > this->presentEra)
            this->takeEra(era);
        StoreResult present = result;
        const bool late = era < this->presentEra && result.status != StoreStatus::Refused;
        present.status = late ? StoreStatus::Unknown : rule(result);
        if (present.status != result.status) {
            logEvent(LogLevel::Info, "store_answer_of_other_era",
                { { "answered_in", era }, { "present", this->presentEra },
                    { "status", static_cast<int>(result.status) } });
            present.rows.clear();
        }
        callback(present);
    };
}

void StoreContact::takeEra(std::uint64_t era)
{
    const auto previous = std::exchange(this->presentEra, era);
    if (previous == 0)
        return;
    logEvent(LogLevel::Warning, "store_restored", { { "previous_era", previous }, { "era", era } });
    this->hooks.eraChanged(era);
}

TableStore::Callback StoreContact::observed(Callback callback, Rule rule)
{
    return [this, callback = this->inPresentEra(std::move(callback), std::move(rule))](const StoreResult& result) {
        const bool answered = result.answered;
        callback(result);
        this->onCallEnded(answered);
    };
}

void StoreContact::onCallEnded(bool answered)
{
    if (answered != this->lost)
        return;
    this->lost = !answered;
    if (this->hooks.answering)
        this->hooks.answering(answered);
    logEvent(LogLevel::Info, answered ? "store_answers_again" : "store_call_unanswered", {});
    if (answered)
        this->hooks.regained();
}

void StoreContact::readAll(const std::string& table, Callback callback)
{
    this->store.readAll(table, this->observed(std::move(callback), unchanged));
}

void StoreContact::change(const StoreChange& change, Callback callback)
{
    this->store.change(change, this->observed(std::move(callback), [change](const StoreResult& result) {
        const bool other = hasEffect(result.status) && isOfOtherEra(change, result.version.era);
        return other ? StoreStatus::EraChanged : result.status;
    }));
}

// A watch that waits tells its owner itself when it ends.
void StoreContact::watch(const std::string& table, StoreVersion after, Duration wait, Callback callback)
{
    Rule rule = [after](const StoreResult& result) {
        const bool other = after.isSet() && result.status == StoreStatus::Done && result.version.era != after.era;
        return other ? StoreStatus::HistoryLost : result.status;
    };
    this->store.watch(table, after, wait,
        wait == Duration::zero() ? this->observed(std::move(callback), std::move(rule))
                                 : this->inPresentEra(std::move(callback), std::move(rule)));
}

} // namespace endivetrestle
