#pragma once

#include <algorithm>
#include <cstdint>
#include <map>

namespace endivetrestle {

// What a daemon knows of the claims of all groups, by their versions in the store.
//
// A claim is made on condition of the epoch before it, so the claims form a chain. A daemon that misses one claim may
// still hear of later ones. What it has to prove, by a renewal or through witnesses, is that it knows every claim up to
// a version; the newest claim that it has heard of does not prove this.
//
// Example:
//     claims.add(claim.version, claim.previousEpoch);
//     if (witnessed <= claims.completeUpTo()) ...
class KnownClaims {
public:
    // Adds all claims up to the given epoch, which have been read from the store.
    void addAllUpTo(std::uint64_t epoch)
    {
        this->newestVersion = std::max(this->newestVersion, epoch);
        this->completeVersion = std::max(this->completeVersion, epoch);
        this->closeGaps();
    }
    // Adds one claim that was made on condition of the given epoch.
    void add(std::uint64_t version, std::uint64_t previousEpoch)
    {
        this->newestVersion = std::max(this->newestVersion, version);
        if (version <= this->completeVersion)
            return;
        auto& next = this->beyondGap[previousEpoch];
        next = std::max(next, version);
        this->closeGaps();
    }

    // Version of the newest claim that this daemon has heard of.
    [[nodiscard]] std::uint64_t newest() const { return this->newestVersion; }
    // Version up to which this daemon knows every claim.
    [[nodiscard]] std::uint64_t completeUpTo() const { return this->completeVersion; }

private:
    void closeGaps()
    {
        while (!this->beyondGap.empty() && this->beyondGap.begin()->first <= this->completeVersion) {
            this->completeVersion = std::max(this->completeVersion, this->beyondGap.begin()->second);
            this->beyondGap.erase(this->beyondGap.begin());
        }
    }

    std::uint64_t newestVersion = 0;
    std::uint64_t completeVersion = 0;
    // Claims of which an earlier one is missing: the epoch before the claim, and its version.
    std::map<std::uint64_t, std::uint64_t> beyondGap;
};

} // namespace endivetrestle
