#include "process/promotion_lock.h"

#include "base/log.h"

#include <algorithm>

namespace endivetrestle {

namespace {

std::int64_t milliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

} // namespace

PromotionLock::PromotionLock(DaemonId daemon, std::string incarnation, TableStore& store)
    : daemon(std::move(daemon))
    , incarnation(std::move(incarnation))
    , store(store)
{
}

void PromotionLock::acquire(
    const PromotionLockRow& currentRow, const StoreClock& clock, Time now, std::function<void(bool)> callback)
{
    const bool own = currentRow.holder == this->daemon && currentRow.incarnation == this->incarnation;
    const bool heldByOther = !own && currentRow.untilStoreMs > clock.lowerBoundMs(now);
    const bool turnOfOthers = !own && this->lastOrderAt && now < *this->lastOrderAt + turnInterval;
    if (this->writing || heldByOther || turnOfOthers) {
        callback(false);
        return;
    }
    PromotionLockRow next;
    next.holder = this->daemon;
    next.incarnation = this->incarnation;
    next.token = std::max(currentRow.token + 1, firstToken(currentRow.version.era));
    next.version.era = currentRow.version.era;
    next.untilStoreMs = clock.upperBoundMs(now) + milliseconds(validity);
    this->write(next, currentRow.version, now, std::move(callback));
}

void PromotionLock::extend(const StoreClock& clock, Time now, std::function<void(bool)> callback)
{
    if (this->writing) {
        callback(this->isHeld(now));
        return;
    }
    auto next = this->row;
    next.untilStoreMs = clock.upperBoundMs(now) + milliseconds(validity);
    this->write(next, this->row.version, now, std::move(callback));
}

void PromotionLock::write(
    const PromotionLockRow& next, StoreVersion expected, Time preparedAt, std::function<void(bool)> callback)
{
    this->writing = true;
    StoreChange change;
    auto encoded = encodeRow(next);
    change.conditions.push_back({ leaseTable, encoded.key, expected });
    change.writes.push_back(std::move(encoded));
    this->store.change(change, [this, next, preparedAt, callback = std::move(callback)](const StoreResult& result) {
        this->writing = false;
        if (result.status == StoreStatus::Done) {
            this->row = next;
            this->row.version = result.version;
            this->held = true;
            this->validUntil = preparedAt + validity;
        } else if (result.status == StoreStatus::Conflict || result.status == StoreStatus::EraChanged)
            this->held = false;
        logEvent(LogLevel::Info, "promotion_duty",
            { { "token", next.token }, { "held", this->held ? 1 : 0 },
                { "store_status", static_cast<int>(result.status) } });
        callback(result.status == StoreStatus::Done);
    });
}

void PromotionLock::release()
{
    if (!this->held || this->writing)
        return;
    this->held = false;
    auto next = this->row;
    next.untilStoreMs = 0;
    StoreChange change;
    auto encoded = encodeRow(next);
    change.conditions.push_back({ leaseTable, encoded.key, this->row.version });
    change.writes.push_back(std::move(encoded));
    // The call is not retried if its answer is lost, because the lock expires by itself.
    this->store.change(change, [](const StoreResult&) {});
}

} // namespace endivetrestle
