#pragma once

#include "process/store_version.h"

#include <algorithm>
#include <map>

namespace endivetrestle {

// What a daemon knows of the claims of all groups, by their versions in the store.
//
// A claim is made on condition of the epoch before it, so the claims form a chain. A daemon that misses one claim may
// still hear of later ones. What it has to prove, by a renewal or through witnesses, is that it knows every claim up to
// a version; the newest claim that it has heard of does not prove this.
//
// The chain begins anew with each era of the store: what is known of a later era goes before all claims of earlier
// ones.
//
// Example:
//     claims.add(claim.version, claim.previousEpoch);
//     if (witnessed <= claims.completeUpTo()) ...
class KnownClaims {
public:
    // Adds all claims up to the given epoch, which have been read from the store.
    void addAllUpTo(StoreVersion epoch)
    {
        this->newestVersion = std::max(this->newestVersion, epoch);
        this->completeVersion = std::max(this->completeVersion, epoch);
        this->closeGaps();
    }
    // Adds one claim that was made on condition of the given epoch.
    void add(StoreVersion version, StoreVersion previousEpoch)
    {
        this->newestVersion = std::max(this->newestVersion, version);
        if (version <= this->completeVersion)
            return;
        auto& next = this->beyondGap[previousEpoch];
        next = std::max(next, version);
        this->closeGaps();
    }

    // Version of the newest claim that this daemon has heard of.
    [[nodiscard]] StoreVersion newest() const { return this->newestVersion; }
    // Version up to which this daemon knows every claim.
    [[nodiscard]] StoreVersion completeUpTo() const { return this->completeVersion; }

private:
    void closeGaps()
    {
        while (!this->beyondGap.empty() && this->beyondGap.begin()->first <= this->completeVersion) {
            this->completeVersion = std::max(this->completeVersion, this->beyondGap.begin()->second);
            this->beyondGap.erase(this->beyondGap.begin());
        }
    }

    StoreVersion newestVersion;
    StoreVersion completeVersion;
    // Claims of which an earlier one is missing: the epoch before the claim, and its version.
    std::map<StoreVersion, StoreVersion> beyondGap;
};

} // namespace endivetrestle
