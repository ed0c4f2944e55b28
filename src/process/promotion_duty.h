#pragma once

#include "base/timer_service.h"
#include "process/fleet_rows.h"
#include "process/store_clock.h"
#include "process/table_store.h"

#include <functional>

namespace endivetrestle {

// The right to order promotions. One daemon of the fleet holds it at a time, so that the tokens of the orders never
// decrease. It is taken when it is needed and given back afterwards; a holder that dies loses it when its time is over.
class PromotionDuty {
public:
    // Time for which the duty is taken. It exceeds the longest time that an order may be under way.
    static constexpr Duration validity = std::chrono::seconds(8);
    // Rest of the validity that an order needs.
    static constexpr Duration orderReserve = std::chrono::milliseconds(2500);

    PromotionDuty(DaemonId daemon, std::string incarnation, TableStore& store);

    // Takes or extends the duty, given the present row (version 0 if there is none). The callback tells whether it is
    // held. It is refused while another daemon holds it.
    void acquire(const DutyRow& present, const StoreClock& clock, Time now, std::function<void(bool)> callback);
    // Extends the duty that is held.
    void extend(const StoreClock& clock, Time now, std::function<void(bool)> callback);
    // Gives the duty back. The token stays in the row.
    void giveBack();

    // Whether an order may be sent now.
    [[nodiscard]] bool mayOrder(Time now) const { return this->held && now + orderReserve < this->validUntil; }
    [[nodiscard]] bool isHeld(Time now) const { return this->held && now < this->validUntil; }
    [[nodiscard]] bool needsExtension(Time now) const { return this->held && now + validity / 2 > this->validUntil; }
    [[nodiscard]] std::uint64_t token() const { return this->row.token; }
    // Version of the row that this daemon wrote; a condition of every claim.
    [[nodiscard]] std::uint64_t rowVersion() const { return this->row.version; }

private:
    void write(const DutyRow& next, std::uint64_t expected, Time preparedAt, std::function<void(bool)> callback);

    DaemonId daemon;
    std::string incarnation;
    TableStore& store;
    DutyRow row;
    bool held = false;
    bool writing = false;
    Time validUntil;
};

} // namespace endivetrestle
