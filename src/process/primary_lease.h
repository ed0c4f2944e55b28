#pragma once

#include "base/clock.h"

#include <algorithm>
#include <cstddef>

namespace endivetrestle {

// Right of this daemon to use primaries. It is renewed in the store, under the condition that no primary has been
// claimed for replacement since the daemon last looked. A daemon that replaces a primary waits until every other daemon
// has confirmed that it stopped using it, or until its lease has ended.
//
// A renewal holds for a short time by itself, and for a long one as long as other daemons witness that they know of no
// further claim. So a host that loses power delays a replacement only for the short time, and daemons that reach each
// other outlast an outage of the store. The number of witnesses is stored with the lease: the replacing daemon passes a
// silent daemon over only if the silent ones are too few to be its witnesses.
//
// Example:
//     lease.onRenewed(sentAt);
//     if (lease.isValid(bootNow())) ...
class PrimaryLease {
public:
    // Longest validity of a renewal. It outlasts usual outages of the store.
    static constexpr Duration validity = std::chrono::seconds(13);
    // Validity of a renewal without witnesses. It lets two renewals fail.
    static constexpr Duration unwitnessedValidity = std::chrono::seconds(6);
    // Validity of what the witnesses say.
    static constexpr Duration witnessValidity = std::chrono::seconds(2);
    // Time between renewals.
    static constexpr Duration renewalInterval = std::chrono::milliseconds(2500);
    // Age of a renewal from which witnesses are asked, and the interval at which they are.
    static constexpr Duration witnessAfter = std::chrono::seconds(4);
    static constexpr Duration witnessInterval = std::chrono::milliseconds(700);
    // Most witnesses that are needed. A larger number would cost more calls and let more silent daemons be passed over.
    static constexpr int mostWitnesses = 16;
    // Part of each validity that is not used, against clocks of different speed.
    static constexpr Duration margin = std::chrono::milliseconds(100);

    // Witnesses that a daemon of a fleet of the given size needs: half of the others, rounded up.
    static int witnessesFor(std::size_t fleetSize) { return std::min(static_cast<int>(fleetSize / 2), mostWitnesses); }

    // A renewal that names this number of witnesses is sent. If its answer is lost, it may still have been stored.
    void onRenewalSent(int witnesses) { this->needed = std::max(this->needed, witnesses); }
    // A renewal that was prepared at the given time has been stored.
    void onRenewed(Time preparedAt, int witnesses)
    {
        this->renewedAt = preparedAt;
        this->renewed = true;
        this->needed = witnesses;
    }
    // As many other daemons as are needed have answered that they know of no further claim; they were asked at the
    // given time.
    void onWitnessed(Time askedAt) { this->witnessedAt = askedAt; }

    [[nodiscard]] int witnessesNeeded() const { return this->needed; }
    [[nodiscard]] bool needsWitnesses(Time now) const
    {
        return this->renewed && now - this->renewedAt >= witnessAfter && now < this->renewedAt + validity;
    }
    [[nodiscard]] bool isValid(Time now) const { return now < this->end(); }
    [[nodiscard]] Time end() const
    {
        if (!this->renewed)
            return Time();
        const auto longest = this->renewedAt + validity - margin;
        if (this->needed == 0)
            return longest;
        const auto witnessed
            = std::max(this->renewedAt + unwitnessedValidity - margin, this->witnessedAt + witnessValidity - margin);
        return std::min(longest, witnessed);
    }

private:
    bool renewed = false;
    Time renewedAt;
    Time witnessedAt;
    int needed = 0;
};

} // namespace endivetrestle
