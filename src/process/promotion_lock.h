#pragma once

#include "base/timer_service.h"
#include "process/fleet_rows.h"
#include "process/store_clock.h"
#include "process/table_store.h"

#include <functional>
#include <optional>

namespace endivetrestle {

// Lock of the whole fleet that permits ordering promotions. One daemon holds it at a time, so that the fencing tokens
// of the orders never decrease. It is acquired when needed and released afterwards; it expires if its holder dies.
class PromotionLock {
public:
    // Time for which the lock is acquired or extended. It exceeds the longest time that an order may be in flight.
    static constexpr Duration validity = std::chrono::seconds(8);
    // Remaining validity that is required for sending an order.
    static constexpr Duration minValidityForOrder = std::chrono::milliseconds(2500);

    // Time after its last order for which a holder that another daemon has followed does not take the lock again. The
    // platform counts holders that order in turn within it as two that believe to hold the lock.
    static constexpr Duration turnInterval = std::chrono::seconds(3);

    PromotionLock(DaemonId daemon, std::string incarnation, TableStore& store);

    // Acquires the lock with a new token, given its current row in the present era of the store (its version is not
    // set, but names the era, if there is none). The callback tells whether this succeeded. It fails while another
    // daemon holds the lock, and while it is the turn of others.
    void acquire(
        const PromotionLockRow& currentRow, const StoreClock& clock, Time now, std::function<void(bool)> callback);
    // Extends the validity of the lock, which this daemon holds.
    void extend(const StoreClock& clock, Time now, std::function<void(bool)> callback);
    // Releases the lock. The token stays in the row.
    void release();

    // Lowest token of an era. Tokens of a later era exceed all of the earlier ones, which the store may have lost.
    [[nodiscard]] static std::uint64_t firstToken(std::uint64_t era) { return (era << tokenBitsPerEra) + 1; }

    // Gives the lock up because the store has come back from a copy: its row is one of an earlier era.
    void onEraChanged() { this->held = false; }

    // Notes that an order is sent now.
    void onOrder(Time now) { this->lastOrderAt = now; }

    // Whether an order may be sent now.
    [[nodiscard]] bool canOrderPromotion(Time now) const
    {
        return this->held && now + minValidityForOrder < this->validUntil;
    }
    [[nodiscard]] bool isHeld(Time now) const { return this->held && now < this->validUntil; }
    [[nodiscard]] bool needsExtension(Time now) const { return this->held && now + validity / 2 > this->validUntil; }
    [[nodiscard]] std::uint64_t token() const { return this->row.token; }
    // Version of the row that this daemon wrote; a condition of every claim.
    [[nodiscard]] StoreVersion rowVersion() const { return this->row.version; }

private:
    // Low bits of a token that count the turns within an era.
    static constexpr unsigned tokenBitsPerEra = 32;

    void write(
        const PromotionLockRow& next, StoreVersion expected, Time preparedAt, std::function<void(bool)> callback);

    DaemonId daemon;
    std::string incarnation;
    TableStore& store;
    PromotionLockRow row;
    bool held = false;
    bool writing = false;
    Time validUntil;
    std::optional<Time> lastOrderAt;
};

} // namespace endivetrestle
