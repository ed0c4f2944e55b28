#include "process/durability/sync_requirement.h"

#include <algorithm>

namespace endivetrestle {

void SyncRequirement::apply(const RouteTable& routes, Time now)
{
    for (const auto& [group, declaration] : routes.groups) {
        const auto [found, added] = this->entries.try_emplace(group, Entry { declaration.syncReplicas, 0, now });
        auto& entry = found->second;
        if (added || entry.current == declaration.syncReplicas)
            continue;
        entry.replaced = this->of(group, now);
        entry.replacedUntil = now + changeWindow;
        entry.current = declaration.syncReplicas;
    }
}

std::size_t SyncRequirement::of(const DatabaseId& group, Time now) const
{
    const auto found = this->entries.find(group);
    if (found == this->entries.end())
        return 0;
    const auto& entry = found->second;
    return now < entry.replacedUntil ? std::max(entry.current, entry.replaced) : entry.current;
}

} // namespace endivetrestle
