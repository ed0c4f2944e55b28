#include "process/endpoint_directory.h"

#include <utility>

namespace endivetrestle {

bool EndpointDirectory::apply(const EndpointId& id, const std::optional<EndpointRecord>& entry, Time now)
{
    const auto record = entry ? std::optional(this->withKnownDraining(*entry, now)) : std::nullopt;
    if (!record) {
        if (this->listed.count(id) != 0)
            this->vanishedSince.try_emplace(id, now);
        return false;
    }
    this->vanishedSince.erase(id);
    const auto found = this->listed.find(id);
    if (found != this->listed.end() && found->second == *record)
        return false;
    if (found != this->listed.end())
        this->removeFromGroup(found->second);
    this->put(*record);
    return true;
}

EndpointRecord EndpointDirectory::withKnownDraining(EndpointRecord record, Time now) const
{
    const auto known = this->listed.find(record.id);
    if (this->copyDistrustedUntil && now < *this->copyDistrustedUntil && known != this->listed.end()
        && known->second.processStartMs == record.processStartMs)
        record.draining = record.draining || known->second.draining;
    return record;
}

void EndpointDirectory::onRestored(Time now)
{
    this->restartGrace(now);
    this->copyDistrustedUntil = now + removalGrace;
}

void EndpointDirectory::put(const EndpointRecord& record)
{
    this->listed[record.id] = record;
    this->members[record.group].insert(record.id);
    this->changedGroups.insert(record.group);
}

void EndpointDirectory::removeFromGroup(const EndpointRecord& record)
{
    this->changedGroups.insert(record.group);
    const auto found = this->members.find(record.group);
    found->second.erase(record.id);
    if (found->second.empty())
        this->members.erase(found);
}

std::vector<EndpointRecord> EndpointDirectory::recordsOf(const DatabaseId& group) const
{
    std::vector<EndpointRecord> result;
    const auto found = this->members.find(group);
    if (found == this->members.end())
        return result;
    for (const auto& id : found->second)
        result.push_back(this->listed.at(id));
    return result;
}

std::set<DatabaseId> EndpointDirectory::takeChangedGroups() { return std::exchange(this->changedGroups, {}); }

bool EndpointDirectory::replaceAll(const std::vector<EndpointRecord>& records, Time now)
{
    if (!this->gracePeriodStart)
        this->gracePeriodStart = now;
    bool changed = false;
    std::set<EndpointId> listed;
    for (const auto& record : records) {
        listed.insert(record.id);
        changed = this->apply(record.id, record, now) || changed;
    }
    for (const auto& [id, record] : this->listed) {
        if (listed.count(id) == 0)
            this->vanishedSince.try_emplace(id, now);
    }
    return changed;
}

bool EndpointDirectory::expire(Time now)
{
    bool changed = false;
    for (auto entry = this->vanishedSince.begin(); entry != this->vanishedSince.end();) {
        if (now - entry->second < removalGrace) {
            ++entry;
            continue;
        }
        if (const auto record = this->listed.extract(entry->first))
            this->removeFromGroup(record.mapped());
        entry = this->vanishedSince.erase(entry);
        changed = true;
    }
    return changed;
}

void EndpointDirectory::restartGrace(Time now)
{
    this->gracePeriodStart = now;
    for (auto& [id, since] : this->vanishedSince)
        since = now;
}

} // namespace endivetrestle
