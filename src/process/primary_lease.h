#pragma once

#include "base/clock.h"

#include <algorithm>
#include <cstddef>

namespace endivetrestle {

// Lease that permits this daemon to use primaries. It is renewed in the store, on condition that no primary has been
// claimed for replacement since the daemon last read the fleet table. A daemon that replaces a primary waits until
// every other daemon has confirmed that it stopped using the primary, or until the lease of that daemon has expired.
//
// A renewal is valid for a short time by itself, and for a longer time while enough other daemons act as witnesses,
// that is, confirm that they know of no newer claim. A host that loses power thus delays a replacement only for the
// short time, and daemons that reach each other can continue through a store outage. The required number of witnesses
// is stored with the lease: the replacing daemon skips an unresponsive daemon only if the unresponsive daemons are too
// few to be its witnesses.
//
// A newcomer, that is, a daemon whose row the store has held for a short time only, needs witnesses sooner: if the
// store comes back from a copy that lacks the row, nobody knows that there is a lease to wait for.
//
// Example:
//     lease.onRenewed(preparedAt, witnesses);
//     if (lease.isValid(bootNow())) ...
class PrimaryLease {
public:
    // Longest validity of a renewal. It exceeds the duration of usual store outages.
    static constexpr Duration validity = std::chrono::seconds(13);
    // Validity of a renewal without witnesses. Two renewals in a row may fail within it.
    static constexpr Duration unwitnessedValidity = std::chrono::seconds(6);
    // The same for a newcomer. Of what a store that is restored has lost, a replacement waits for no more than this.
    static constexpr Duration newcomerValidity = std::chrono::seconds(3);
    // Time for which a daemon is a newcomer. It exceeds the age of copies from which the store is restored.
    static constexpr Duration newcomerTime = std::chrono::seconds(20);
    // Validity of a confirmation by the witnesses.
    static constexpr Duration witnessValidity = std::chrono::seconds(2);
    // Time between renewals.
    static constexpr Duration renewalInterval = std::chrono::milliseconds(2500);
    static constexpr Duration newcomerRenewalInterval = std::chrono::milliseconds(1500);
    // Age of a renewal from which witnesses are asked, and the interval between requests to them.
    static constexpr Duration witnessRequestAge = std::chrono::seconds(4);
    static constexpr Duration newcomerWitnessRequestAge = std::chrono::milliseconds(1700);
    static constexpr Duration witnessInterval = std::chrono::milliseconds(700);
    // Maximum number of required witnesses. A higher one would cost more calls and allow more unresponsive daemons to
    // be skipped.
    static constexpr int maxWitnesses = 16;
    // Safety margin subtracted from each validity, because clocks run at different speeds.
    static constexpr Duration clockDriftMargin = std::chrono::milliseconds(100);

    // Witnesses that a daemon of a fleet of the given size needs: half of the others, rounded up.
    static int witnessesFor(std::size_t fleetSize) { return std::min(static_cast<int>(fleetSize / 2), maxWitnesses); }

    // Tells whether this daemon is a newcomer when its lease is renewed.
    void setNewcomer(bool value) { this->newcomer = value; }
    [[nodiscard]] Duration timeBetweenRenewals() const
    {
        return this->newcomer ? newcomerRenewalInterval : renewalInterval;
    }
    // Call when a renewal with this number of witnesses is sent. It may be stored even if its answer is lost.
    void onRenewalSent(int witnesses) { this->requiredWitnesses = std::max(this->requiredWitnesses, witnesses); }
    // Call when a renewal that was prepared at the given time has been stored.
    void onRenewed(Time preparedAt, int witnesses)
    {
        this->renewedAt = preparedAt;
        this->renewed = true;
        this->requiredWitnesses = witnesses;
    }
    // Call when enough other daemons, asked at the given time, have confirmed that they know of no newer claim.
    void onWitnessed(Time askedAt) { this->witnessedAt = askedAt; }

    [[nodiscard]] int witnessesNeeded() const { return this->requiredWitnesses; }
    [[nodiscard]] bool needsWitnesses(Time now) const
    {
        const auto age = this->newcomer ? newcomerWitnessRequestAge : witnessRequestAge;
        return this->renewed && now - this->renewedAt >= age && now < this->renewedAt + validity;
    }
    [[nodiscard]] bool isValid(Time now) const { return now < this->end(); }
    [[nodiscard]] Time end() const
    {
        if (!this->renewed)
            return Time();
        const auto longest = this->renewedAt + validity - clockDriftMargin;
        if (this->requiredWitnesses == 0 && !this->newcomer)
            return longest;
        const auto alone = this->newcomer ? newcomerValidity : unwitnessedValidity;
        const auto witnessed = std::max(
            this->renewedAt + alone - clockDriftMargin, this->witnessedAt + witnessValidity - clockDriftMargin);
        return std::min(longest, witnessed);
    }

private:
    bool renewed = false;
    bool newcomer = false;
    Time renewedAt;
    Time witnessedAt;
    int requiredWitnesses = 0;
};

} // namespace endivetrestle
