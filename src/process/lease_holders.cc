#include "process/lease_holders.h"

#include "process/primary_lease.h"

#include <algorithm>

namespace endivetrestle {

void LeaseHolders::start(StoreVersion claim, const std::vector<LeaseRow>& present, std::int64_t storeMs, Time now)
{
    this->claimVersion = claim;
    this->leases.clear();
    for (const auto& lease : present)
        this->leases[lease.daemon] = lease;
    this->lastRemovalAt = now;
    this->removeEnded(storeMs, now);
}

void LeaseHolders::confirm(const DaemonId& daemon, Time now)
{
    if (this->leases.erase(daemon) != 0)
        this->lastRemovalAt = now;
}

void LeaseHolders::update(const std::vector<StoreRow>& rows, Time now)
{
    std::map<DaemonId, const StoreRow*> present;
    for (const auto& row : rows) {
        const auto key = parseEraKey(row.key);
        if (key && key->era == this->claimVersion.era)
            present.emplace(DaemonId(key->name), &row);
    }
    for (auto entry = this->leases.begin(); entry != this->leases.end();) {
        const auto row = present.find(entry->first);
        const bool ofEarlierEra = entry->second.epochVersion.era < this->claimVersion.era;
        if (row == present.end() && ofEarlierEra) {
            ++entry;
            continue;
        }
        if (row == present.end()) {
            entry = this->leases.erase(entry);
            this->lastRemovalAt = now;
            continue;
        }
        // A row that cannot be read leaves the last known lease in force.
        if (const auto lease = decodeLeaseRow(*row->second))
            entry->second = *lease;
        ++entry;
    }
}

void LeaseHolders::removeEnded(std::int64_t storeMs, Time now)
{
    for (auto entry = this->leases.begin(); entry != this->leases.end();) {
        const auto& lease = entry->second;
        if (lease.untilStoreMs <= storeMs || lease.epochVersion >= this->claimVersion) {
            entry = this->leases.erase(entry);
            this->lastRemovalAt = now;
        } else
            ++entry;
    }
}

bool LeaseHolders::mayPassOver(std::int64_t storeMs, Time now) const
{
    if (now < this->lastRemovalAt + PrimaryLease::witnessValidity)
        return false;
    constexpr auto early = PrimaryLease::validity - PrimaryLease::unwitnessedValidity;
    const auto earlyMs = std::chrono::duration_cast<std::chrono::milliseconds>(early).count();
    const auto others = static_cast<int>(this->leases.size()) - 1;
    return std::all_of(this->leases.begin(), this->leases.end(), [&](const auto& entry) {
        const auto& lease = entry.second;
        return others < lease.witnesses && lease.untilStoreMs - earlyMs <= storeMs;
    });
}

std::vector<LeaseRow> leasesOf(const std::vector<StoreRow>& rows, std::uint64_t era, std::int64_t earlierLeasesEndMs)
{
    std::map<DaemonId, LeaseRow> newest;
    for (const auto& row : rows) {
        const auto lease = decodeLeaseRow(row);
        if (!lease)
            continue;
        auto& known = newest.try_emplace(lease->daemon, *lease).first->second;
        if (known.epochVersion.era < lease->epochVersion.era)
            known = *lease;
    }
    std::vector<LeaseRow> result;
    for (auto& [daemon, lease] : newest) {
        if (lease.epochVersion.era < era)
            lease.untilStoreMs = earlierLeasesEndMs;
        result.push_back(std::move(lease));
    }
    return result;
}

} // namespace endivetrestle
