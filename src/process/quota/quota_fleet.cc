#include "process/quota/quota_fleet.h"

#include <algorithm>
#include <limits>

namespace endivetrestle {

namespace {

constexpr Duration shortestRetention = std::chrono::seconds(15);
constexpr Duration retentionBase = std::chrono::seconds(5);
constexpr Duration retentionPerDaemon = std::chrono::milliseconds(300);

} // namespace

QuotaFleet::QuotaFleet(DaemonId self, Time startedAt)
    : self(std::move(self))
    , startedAt(startedAt)
{
}

Duration QuotaFleet::retention(std::size_t daemons)
{
    return std::max(shortestRetention, retentionBase + retentionPerDaemon * static_cast<int>(daemons));
}

void QuotaFleet::update(const std::vector<QuotaDaemon>& others, Time now)
{
    auto oldest = std::numeric_limits<std::int64_t>::max();
    for (const auto& daemon : others) {
        if (daemon.rowSinceMs != 0)
            oldest = std::min(oldest, daemon.rowSinceMs);
    }
    const auto retention = QuotaFleet::retention(others.size() + 1);
    const auto youngLimit = oldest == std::numeric_limits<std::int64_t>::max()
        ? oldest
        : oldest + std::chrono::duration_cast<std::chrono::milliseconds>(retention).count();
    std::map<DaemonId, Time> next { { this->self, this->startedAt } };
    for (const auto& daemon : others) {
        const auto before = this->settledAt.find(daemon.id);
        if (before != this->settledAt.end())
            next.insert(*before);
        else
            next[daemon.id] = daemon.rowSinceMs > youngLimit ? now + retention : now;
    }
    this->settledAt = std::move(next);
    if (this->sizes.empty() || this->sizes.back().count != this->settledAt.size()) {
        if (!this->sizes.empty())
            this->sizes.back().until = now;
        this->sizes.push_back({ this->settledAt.size(), std::nullopt });
    }
    this->prune(now);
}

void QuotaFleet::prune(Time now)
{
    const auto retention = QuotaFleet::retention(this->size(now).largest);
    while (this->sizes.size() > 1 && now - *this->sizes.front().until > retention)
        this->sizes.pop_front();
}

FleetSize QuotaFleet::size(Time now) const
{
    std::size_t largest = 1;
    for (const auto& size : this->sizes)
        largest = std::max(largest, size.count);
    const auto retention = QuotaFleet::retention(largest);
    FleetSize result { std::numeric_limits<std::size_t>::max(), 1 };
    // What the list contained before the start of this daemon is not known.
    if (this->sizes.empty() || now - this->startedAt < retention)
        result.smallest = 1;
    for (const auto& size : this->sizes) {
        if (size.until && now - *size.until > retention)
            continue;
        result.smallest = std::min(result.smallest, size.count);
        result.largest = std::max(result.largest, size.count);
    }
    return result;
}

bool QuotaFleet::isSettled(const DaemonId& daemon, Time now) const
{
    const auto found = this->settledAt.find(daemon);
    return found != this->settledAt.end() && found->second <= now;
}

std::size_t QuotaFleet::settledDaemons(Time now) const
{
    return static_cast<std::size_t>(std::count_if(
        this->settledAt.begin(), this->settledAt.end(), [&](const auto& entry) { return entry.second <= now; }));
}

std::vector<DaemonId> QuotaFleet::daemons() const
{
    std::vector<DaemonId> result;
    result.reserve(this->settledAt.size());
    for (const auto& [daemon, at] : this->settledAt)
        result.push_back(daemon);
    return result;
}

} // namespace endivetrestle
