#include "process/promotion_duty.h"

#include "base/log.h"

namespace endivetrestle {

namespace {

std::int64_t milliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

} // namespace

PromotionDuty::PromotionDuty(DaemonId daemon, std::string incarnation, TableStore& store)
    : daemon(std::move(daemon))
    , incarnation(std::move(incarnation))
    , store(store)
{
}

void PromotionDuty::acquire(
    const DutyRow& present, const StoreClock& clock, Time now, std::function<void(bool)> callback)
{
    const bool own = present.holder == this->daemon && present.incarnation == this->incarnation;
    if (this->writing || (!own && present.untilStoreMs > clock.earliestMs(now))) {
        callback(false);
        return;
    }
    DutyRow next;
    next.holder = this->daemon;
    next.incarnation = this->incarnation;
    next.token = present.token + 1;
    next.untilStoreMs = clock.latestMs(now) + milliseconds(validity);
    this->write(next, present.version, now, std::move(callback));
}

void PromotionDuty::extend(const StoreClock& clock, Time now, std::function<void(bool)> callback)
{
    if (this->writing) {
        callback(this->isHeld(now));
        return;
    }
    auto next = this->row;
    next.untilStoreMs = clock.latestMs(now) + milliseconds(validity);
    this->write(next, this->row.version, now, std::move(callback));
}

void PromotionDuty::write(
    const DutyRow& next, std::uint64_t expected, Time preparedAt, std::function<void(bool)> callback)
{
    this->writing = true;
    StoreChange change;
    change.conditions.push_back({ leaseTable, dutyKey, expected });
    change.writes.push_back(encodeRow(next));
    this->store.change(change, [this, next, preparedAt, callback = std::move(callback)](const StoreResult& result) {
        this->writing = false;
        if (result.status == StoreStatus::Done) {
            this->row = next;
            this->row.version = result.version;
            this->held = true;
            this->validUntil = preparedAt + validity;
        } else if (result.status == StoreStatus::Conflict)
            this->held = false;
        logEvent(LogLevel::Info, "promotion_duty",
            { { "token", next.token }, { "held", this->held ? 1 : 0 },
                { "store_status", static_cast<int>(result.status) } });
        callback(result.status == StoreStatus::Done);
    });
}

void PromotionDuty::giveBack()
{
    if (!this->held || this->writing)
        return;
    this->held = false;
    auto next = this->row;
    next.untilStoreMs = 0;
    StoreChange change;
    change.conditions.push_back({ leaseTable, dutyKey, this->row.version });
    change.writes.push_back(encodeRow(next));
    // A lost answer needs no repetition: the duty ends by itself.
    this->store.change(change, [](const StoreResult&) {});
}

} // namespace endivetrestle
