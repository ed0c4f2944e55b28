#pragma once

#include "base/clock.h"

#include <cstdint>

namespace endivetrestle {

// Right of this daemon to use primaries. It is renewed in the store, under the condition that no primary has been
// claimed for replacement since the daemon last looked. A daemon that replaces a primary waits until every other daemon
// has confirmed that it stopped using it, or until its lease has ended.
//
// Example:
//     lease.onRenewed(sentAt);
//     if (lease.isValid(bootNow())) ...
class PrimaryLease {
public:
    // Validity of a renewal. It outlasts usual outages of the store; a daemon that cannot be reached delays a
    // replacement by at most this time.
    static constexpr Duration validity = std::chrono::seconds(13);
    // Time between renewals.
    static constexpr Duration renewalInterval = std::chrono::milliseconds(2500);
    // Part of the validity that is not used, against clocks of different speed.
    static constexpr Duration margin = std::chrono::milliseconds(100);

    // A renewal that was prepared at the given time has been stored.
    void onRenewed(Time preparedAt) { this->validUntil = preparedAt + validity - margin; }

    [[nodiscard]] bool isValid(Time now) const { return now < this->validUntil; }
    [[nodiscard]] Time end() const { return this->validUntil; }

private:
    Time validUntil;
};

} // namespace endivetrestle
