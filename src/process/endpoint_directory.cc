#include "process/endpoint_directory.h"

#include <set>

namespace endivetrestle {

bool EndpointDirectory::apply(const EndpointId& id, const std::optional<EndpointRecord>& record, Time now)
{
    if (!record) {
        if (this->current.count(id) != 0)
            this->vanished.try_emplace(id, now);
        return false;
    }
    this->vanished.erase(id);
    auto& entry = this->current[id];
    if (entry == *record)
        return false;
    entry = *record;
    return true;
}

bool EndpointDirectory::replaceAll(const std::vector<EndpointRecord>& records, Time now)
{
    bool changed = false;
    std::set<EndpointId> listed;
    for (const auto& record : records) {
        listed.insert(record.id);
        changed = this->apply(record.id, record, now) || changed;
    }
    for (const auto& [id, record] : this->current) {
        if (listed.count(id) == 0)
            this->vanished.try_emplace(id, now);
    }
    return changed;
}

bool EndpointDirectory::expire(Time now)
{
    bool changed = false;
    for (auto entry = this->vanished.begin(); entry != this->vanished.end();) {
        if (now - entry->second < removalGrace) {
            ++entry;
            continue;
        }
        this->current.erase(entry->first);
        entry = this->vanished.erase(entry);
        changed = true;
    }
    return changed;
}

void EndpointDirectory::restartGrace(Time now)
{
    for (auto& [id, since] : this->vanished)
        since = now;
}

} // namespace endivetrestle
