#include "process/membership.h"

#include <algorithm>

namespace endivetrestle {

std::string_view daemonStateName(DaemonState state)
{
    switch (state) {
    case DaemonState::Suspected:
        return "suspected";
    case DaemonState::Leaving:
        return "leaving";
    case DaemonState::Dead:
        return "dead";
    default:
        return "alive";
    }
}

Membership::Membership(DaemonInfo self, MembershipSettings settings)
    : selfId(self.id)
    , settings(settings)
{
    auto& entry = this->entries[self.id];
    entry.info = std::move(self);
    entry.info.state = DaemonState::Alive;
    entry.info.incarnation = std::min(entry.info.incarnation, maxIncarnation);
    this->markChanged(entry);
}

void Membership::applyLiveList(Time now, const std::vector<LiveListEntry>& list)
{
    if (list.empty())
        return;
    std::set<DaemonId> listed;
    for (const auto& entry : list) {
        listed.insert(entry.id);
        this->applyLiveListEntry(now, entry);
    }
    for (auto& [id, entry] : this->entries) {
        if (!entry.listed || listed.contains(id))
            continue;
        entry.listed = false;
        entry.listedLeaving = false;
        this->onDelisted(now, entry);
    }
}

void Membership::onDelisted(Time now, Entry& entry)
{
    if (entry.info.id == this->selfId || this->reachedRecently(now, entry))
        return;
    if (entry.info.state == DaemonState::Alive)
        this->setState(now, entry, DaemonState::Suspected);
    else if (entry.info.state == DaemonState::Leaving)
        this->setState(now, entry, DaemonState::Dead);
}

void Membership::applyLiveListEntry(Time now, const LiveListEntry& listed)
{
    const auto found = this->entries.find(listed.id);
    if (found == this->entries.end()) {
        const auto state = listed.leaving ? DaemonState::Leaving : DaemonState::Alive;
        const DaemonInfo info { listed.id, listed.peersAddress, listed.dataCentre, listed.region, 0, state };
        if (this->add(now, info)) {
            this->entries.at(listed.id).listed = true;
            this->entries.at(listed.id).listedLeaving = listed.leaving;
        }
        return;
    }
    auto& entry = found->second;
    entry.listed = true;
    // Only a transition counts: the list lags and may still describe an earlier process of the same name.
    const bool isTransition = entry.listedLeaving != listed.leaving;
    entry.listedLeaving = listed.leaving;
    if (isTransition)
        this->onListedLeaving(now, entry, listed.leaving);
}

void Membership::onListedLeaving(Time now, Entry& entry, bool leaving)
{
    const bool isSelf = entry.info.id == this->selfId;
    if (leaving && entry.info.state != DaemonState::Dead && entry.info.state != DaemonState::Leaving)
        this->setState(now, entry, DaemonState::Leaving);
    if (!leaving && isSelf && !this->shuttingDown && entry.info.state == DaemonState::Leaving) {
        entry.info.incarnation = std::min(entry.info.incarnation + 1, maxIncarnation);
        this->setState(now, entry, DaemonState::Alive);
    }
}

void Membership::reportSuccess(Time now, const DaemonId& daemon)
{
    auto* entry = this->findOther(daemon);
    if (entry == nullptr)
        return;
    entry->failures = 0;
    entry->lastSuccess = now;
    if (entry->info.state == DaemonState::Suspected || entry->info.state == DaemonState::Dead)
        this->setState(now, *entry, DaemonState::Alive);
}

void Membership::reportFailure(Time now, const DaemonId& daemon)
{
    auto* entry = this->findOther(daemon);
    if (entry == nullptr)
        return;
    ++entry->failures;
    entry->lastSuccess.reset();
    if (entry->failures < this->settings.failuresToSuspect)
        return;
    if (entry->info.state == DaemonState::Alive)
        this->setState(now, *entry, DaemonState::Suspected);
    else if (entry->info.state == DaemonState::Leaving)
        this->setState(now, *entry, DaemonState::Dead);
}

bool Membership::merge(Time now, const DaemonInfo& info)
{
    if (info.id.empty() || info.incarnation > maxIncarnation)
        return false;
    if (info.id == this->selfId)
        return this->mergeSelf(info);
    if (auto* entry = this->findOther(info.id); entry != nullptr)
        return this->mergeOther(now, *entry, info);
    return info.state != DaemonState::Dead && this->add(now, info);
}

bool Membership::mergeSelf(const DaemonInfo& info)
{
    auto& entry = this->selfEntry();
    const bool isHigher = info.incarnation > entry.info.incarnation;
    const bool isContradiction = info.incarnation == entry.info.incarnation && info.state > entry.info.state;
    if (!isHigher && !isContradiction)
        return false;
    entry.info.incarnation = std::min(info.incarnation + 1, maxIncarnation);
    this->markChanged(entry);
    return true;
}

bool Membership::mergeOther(Time now, Entry& entry, const DaemonInfo& info)
{
    const auto known = entry.info.incarnation;
    if (info.incarnation < known || (info.incarnation == known && info.state <= entry.info.state))
        return false;
    const bool isFailed = info.state == DaemonState::Suspected || info.state == DaemonState::Dead;
    if (info.incarnation > known) {
        entry.info = info;
        entry.failures = 0;
        this->setState(now, entry, isFailed ? DaemonState::Suspected : info.state);
        return true;
    }
    if (isFailed && (entry.info.state == DaemonState::Suspected || this->reachedRecently(now, entry)))
        return false;
    const bool wasLeaving = entry.info.state == DaemonState::Leaving;
    this->setState(now, entry, isFailed && !wasLeaving ? DaemonState::Suspected : info.state);
    return true;
}

void Membership::leave(Time now)
{
    this->shuttingDown = true;
    if (this->selfEntry().info.state != DaemonState::Leaving)
        this->setState(now, this->selfEntry(), DaemonState::Leaving);
}

void Membership::tick(Time now)
{
    std::vector<DaemonId> forgotten;
    for (auto& [id, entry] : this->entries) {
        if (this->dueTime(entry) > now)
            continue;
        if (entry.info.state == DaemonState::Suspected)
            this->setState(now, entry, DaemonState::Dead);
        else
            forgotten.push_back(id);
    }
    for (const auto& id : forgotten)
        this->remove(id);
}

Time Membership::nextDue() const
{
    auto due = Time::max();
    for (const auto& [id, entry] : this->entries)
        due = std::min(due, this->dueTime(entry));
    return due;
}

DaemonInfo Membership::self() const { return this->entries.at(this->selfId).info; }

std::optional<DaemonInfo> Membership::find(const DaemonId& daemon) const
{
    const auto found = this->entries.find(daemon);
    return found == this->entries.end() ? std::nullopt : std::optional(found->second.info);
}

std::vector<DaemonInfo> Membership::view() const
{
    std::vector<DaemonInfo> infos;
    infos.reserve(this->entries.size());
    for (const auto& [id, entry] : this->entries)
        infos.push_back(entry.info);
    return infos;
}

void Membership::forEach(const std::function<void(const DaemonInfo&)>& callback) const
{
    for (const auto& [id, entry] : this->entries)
        callback(entry.info);
}

std::vector<Membership::Delta> Membership::deltasSince(std::uint64_t sequence, std::size_t limit) const
{
    std::vector<Delta> deltas;
    auto next = this->bySequence.upper_bound(sequence);
    for (; next != this->bySequence.end() && deltas.size() < limit; ++next)
        deltas.push_back({ next->first, this->entries.at(next->second).info });
    return deltas;
}

Membership::Entry* Membership::findOther(const DaemonId& daemon)
{
    const auto found = this->entries.find(daemon);
    return found == this->entries.end() || daemon == this->selfId ? nullptr : &found->second;
}

bool Membership::add(Time now, const DaemonInfo& info)
{
    if (this->entries.size() >= this->settings.maxDaemons && !this->evictOldestDead())
        return false;
    auto& entry = this->entries[info.id];
    entry.info = info;
    this->setState(now, entry, info.state);
    return true;
}

bool Membership::evictOldestDead()
{
    const Entry* oldest = nullptr;
    for (const auto& [id, entry] : this->entries) {
        const bool isOlder = oldest == nullptr || entry.changedAt < oldest->changedAt;
        if (entry.info.state == DaemonState::Dead && isOlder)
            oldest = &entry;
    }
    if (oldest == nullptr)
        return false;
    this->remove(DaemonId(oldest->info.id));
    return true;
}

void Membership::remove(const DaemonId& daemon)
{
    this->bySequence.erase(this->entries.at(daemon).sequence);
    this->entries.erase(daemon);
    ++this->lastSequence;
}

void Membership::setState(Time now, Entry& entry, DaemonState state)
{
    entry.info.state = state;
    entry.changedAt = now;
    this->markChanged(entry);
}

void Membership::markChanged(Entry& entry)
{
    this->bySequence.erase(entry.sequence);
    entry.sequence = ++this->lastSequence;
    this->bySequence.emplace(entry.sequence, entry.info.id);
}

bool Membership::reachedRecently(Time now, const Entry& entry) const
{
    return entry.lastSuccess && now - *entry.lastSuccess < this->settings.recentContactAge;
}

Time Membership::dueTime(const Entry& entry) const
{
    if (entry.info.state == DaemonState::Suspected)
        return entry.changedAt + this->settings.suspicionTimeout;
    const bool isDead = entry.info.state == DaemonState::Dead;
    return isDead ? entry.changedAt + this->settings.deadRetention : Time::max();
}

} // namespace endivetrestle
