#include "connection/session_writes.h"

#include <algorithm>
#include <utility>

namespace endivetrestle {

void SessionWrites::add(const DatabaseId& group, const std::optional<Position>& position)
{
    if (this->last.group == group || this->last.group.empty()) {
        this->last = { group, position };
        return;
    }
    if (!this->others)
        this->others = std::make_unique<std::vector<Entry>>();
    auto& entries = *this->others;
    std::erase_if(entries, [&](const Entry& entry) { return entry.group == group; });
    entries.push_back(std::exchange(this->last, Entry { group, position }));
    if (entries.size() < maxGroups)
        return;
    entries.erase(entries.begin());
    this->incomplete = true;
}

OwnWrites SessionWrites::in(const DatabaseId& group) const
{
    const auto wantedOf = [](const Entry& entry) { return OwnWrites { entry.position, !entry.position }; };
    if (this->last.group == group && !group.empty())
        return wantedOf(this->last);
    if (this->others) {
        for (const auto& entry : *this->others) {
            if (entry.group == group)
                return wantedOf(entry);
        }
    }
    return { std::nullopt, this->incomplete };
}

} // namespace endivetrestle
