#include "process/ownership.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace endivetrestle {

namespace {

struct Candidate {
    const DaemonInfo* info = nullptr;
    std::uint64_t weight = 0;
    // Weight with regard to the capacity; 0 if capacities do not count.
    double score = 0;
};

bool isHeavier(const Candidate& left, const Candidate& right)
{
    if (left.score != right.score)
        return left.score > right.score;
    return left.weight != right.weight ? left.weight > right.weight : left.info->id < right.info->id;
}

// Score of weighted rendezvous hashing: the highest of several belongs to each candidate with a probability
// proportional to its capacity.
double scoreOf(std::uint64_t weight, const HostCapacity& capacity)
{
    // 52 bits of the weight, so that the fraction is exact and neither 0 nor 1.
    const double fraction = std::ldexp(static_cast<double>(weight >> 12U) + 0.5, -52);
    return -capacity.statementsPerSecond() / std::log(fraction);
}

bool capacitiesDiffer(const std::vector<DaemonInfo>& view)
{
    double smallest = 0;
    double largest = 0;
    for (const auto& info : view) {
        if (info.state == DaemonState::Dead)
            continue;
        if (!info.capacity.isStated())
            return false;
        const double capacity = info.capacity.statementsPerSecond();
        smallest = smallest == 0 ? capacity : std::min(smallest, capacity);
        largest = std::max(largest, capacity);
    }
    return largest > 0 && largest >= Ownership::minCapacityRatio * smallest;
}

bool hasOwnerIn(const std::vector<DaemonInfo>& chosen, const DataCentre& dataCentre)
{
    return std::any_of(
        chosen.begin(), chosen.end(), [&](const DaemonInfo& info) { return info.dataCentre == dataCentre; });
}

// Returns the candidate with the highest weight in a data centre that has no owner yet, or else the one with the
// highest weight. The candidates must be ordered by descending weight, and there must be at least one.
std::vector<Candidate>::iterator bestCandidate(std::vector<Candidate>& ordered, const std::vector<DaemonInfo>& chosen)
{
    const auto inNewDataCentre
        = [&](const Candidate& candidate) { return !hasOwnerIn(chosen, candidate.info->dataCentre); };
    const auto found = std::find_if(ordered.begin(), ordered.end(), inNewDataCentre);
    return found == ordered.end() ? ordered.begin() : found;
}

} // namespace

Ownership::Ownership(std::size_t ownersPerDatabase)
    : ownersPerDatabase(ownersPerDatabase)
{
}

void Ownership::update(const std::vector<DaemonInfo>& view)
{
    this->byRegion.clear();
    this->capacityWeighed = capacitiesDiffer(view);
    for (const auto& info : view) {
        if (info.state == DaemonState::Dead)
            continue;
        auto& tiers = this->byRegion[info.region];
        const std::size_t tier = info.state == DaemonState::Alive ? 0 : info.state == DaemonState::Suspected ? 1 : 2;
        tiers[tier].push_back(info);
    }
}

std::uint64_t Ownership::weight(const DaemonId& daemon, const DatabaseId& database)
{
    const auto seed = XXH3_64bits(database.value.data(), database.value.size());
    return XXH3_64bits_withSeed(daemon.value.data(), daemon.value.size(), seed);
}

void Ownership::appendOwners(
    const Tiers& tiers, const DatabaseId& database, std::size_t ownerCount, std::vector<DaemonInfo>& chosen) const
{
    for (const auto& tier : tiers) {
        std::vector<Candidate> ordered;
        ordered.reserve(tier.size());
        for (const auto& info : tier) {
            const auto hash = weight(info.id, database);
            ordered.push_back({ &info, hash, this->capacityWeighed ? scoreOf(hash, info.capacity) : 0 });
        }
        std::sort(ordered.begin(), ordered.end(), isHeavier);
        while (chosen.size() < ownerCount && !ordered.empty()) {
            const auto next = bestCandidate(ordered, chosen);
            chosen.push_back(*next->info);
            ordered.erase(next);
        }
    }
}

std::vector<DaemonInfo> Ownership::owners(const DatabaseId& database, const Region& region) const
{
    return this->owners(database, region, this->ownersPerDatabase);
}

std::vector<DaemonInfo> Ownership::owners(
    const DatabaseId& database, const Region& region, std::size_t ownerCount) const
{
    std::vector<DaemonInfo> chosen;
    const auto found = this->byRegion.find(region);
    if (found != this->byRegion.end())
        appendOwners(found->second, database, ownerCount, chosen);
    if (!chosen.empty())
        return chosen;
    Tiers others;
    for (const auto& [name, tiers] : this->byRegion) {
        for (std::size_t tier = 0; tier < tiers.size(); ++tier)
            others[tier].insert(others[tier].end(), tiers[tier].begin(), tiers[tier].end());
    }
    appendOwners(others, database, ownerCount, chosen);
    return chosen;
}

int Ownership::rankOf(const DaemonId& daemon, const DatabaseId& database, const Region& region) const
{
    const auto ranks = this->owners(database, region);
    const auto hasId = [&](const DaemonInfo& info) { return info.id == daemon; };
    const auto found = std::find_if(ranks.begin(), ranks.end(), hasId);
    return found == ranks.end() ? -1 : static_cast<int>(found - ranks.begin());
}

} // namespace endivetrestle
