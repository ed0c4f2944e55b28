#include "process/durability/holder_list_keeper.h"

#include "base/log.h"

#include <algorithm>

namespace endivetrestle {

namespace {

// Delay before a write that the store did not make is tried again.
constexpr Duration writeRetryDelay = std::chrono::milliseconds(300);
// Interval at which the endpoints are asked for their positions until a holder that has left can be taken off.
constexpr Duration departureAskInterval = std::chrono::milliseconds(300);
// Time after which a check begins anew, with a new position of the primary.
constexpr Duration departureRestartInterval = std::chrono::seconds(3);
// Delay of each daemon behind the previous one in rank order before it checks holders that have left. Only a daemon
// that has ended or is cut off leaves the check to the next one, so it may take a while.
constexpr Duration departureStagger = std::chrono::seconds(2);

std::string namesOf(const CommitHolders& holders)
{
    std::string names;
    for (const auto& holder : holders)
        names += (names.empty() ? "" : " ") + holder.id.value + "@" + std::to_string(holder.processStartMs);
    return names;
}

} // namespace

HolderListKeeper::HolderListKeeper(HolderListContext context)
    : context(std::move(context))
{
}

HolderListKeeper::~HolderListKeeper() = default;

// Notes the endpoints that are registered and that the list lacks. They stay noted when they leave the registry. What
// an earlier list had counts as well if the present one is of another era, or has been dropped by an earlier release.
void HolderListKeeper::remember(const DatabaseId& id, Group& group, const PrimaryRow* row)
{
    if (row != nullptr && (row->holders.empty() || row->version.era != group.lastEra))
        group.unrecorded = merged(group.lastList, group.unrecorded);
    // Nothing is acknowledged while the primary is being replaced, so a further process of a known endpoint holds
    // nothing alone then. One that starts again and again would make the list grow without a limit.
    const auto known = this->known(id);
    for (const auto& holder : this->registered(id)) {
        if (row == nullptr || !row->replacing || !containsEndpoint(known, holder.id))
            group.unrecorded = merged(group.unrecorded, { holder });
    }
    if (row == nullptr)
        return;
    group.unrecorded = without(group.unrecorded, row->holders);
    group.lastList = row->holders;
    group.lastEra = row->version.era;
}

// Processes of the registered endpoints, but for those of which the list has a later one: the registry is old then.
CommitHolders HolderListKeeper::registered(const DatabaseId& id) const
{
    const auto* row = this->context.row(id);
    auto holders = holdersOf(this->context.hooks.endpointsOf(id));
    if (row != nullptr)
        std::erase_if(holders, [&](const CommitHolder& holder) { return containsLater(row->holders, holder); });
    return holders;
}

void HolderListKeeper::update(const WatchedGroup& watched)
{
    const auto& id = watched.id;
    if (this->context.hooks.syncReplicas(id) == 0) {
        this->groups.erase(id);
        return;
    }
    auto& group = this->groups[id];
    const auto* row = this->context.row(id);
    this->remember(id, group, row);
    const auto now = this->context.now();
    const bool writable
        = row != nullptr && !row->replacing && this->context.hasJoinedEra() && row->version.era == this->context.era();
    if (!writable || group.writePending || now < group.nextWrite)
        return;
    // Of a process that is registered, the present address and state count.
    auto wanted = merged(merged(row->holders, group.unrecorded), this->registered(id));
    if (wanted == row->holders) {
        group.dueSince.reset();
        this->updateDeparture(watched, group, *row);
        return;
    }
    if (!group.dueSince)
        group.dueSince = now;
    if (now >= *group.dueSince + writeStagger * this->context.rank(watched))
        this->write(id, group, *row, std::move(wanted));
}

void HolderListKeeper::write(const DatabaseId& id, Group& group, PrimaryRow row, CommitHolders holders)
{
    group.writePending = true;
    const auto added = without(holders, row.holders);
    const auto removed = without(row.holders, holders);
    const auto condition = row.version;
    row.holders = std::move(holders);
    const auto encoded = encodeRow(row, condition.era);
    StoreChange change;
    change.conditions.push_back({ fleetTable, encoded.key, condition });
    change.writes.push_back(encoded);
    this->context.store.change(change,
        [this, id, row, added, removed, weak = std::weak_ptr<int>(this->lifetime)](const StoreResult& result) mutable {
            const auto found = weak.expired() ? this->groups.end() : this->groups.find(id);
            if (weak.expired() || found == this->groups.end())
                return;
            found->second.writePending = false;
            logEvent(LogLevel::Info, result.status == StoreStatus::Done ? "holders_recorded" : "holders_not_recorded",
                { { "group", id.value }, { "added", namesOf(added) }, { "removed", namesOf(removed) },
                    { "holders", row.holders.size() }, { "term", row.term }, { "version", toString(result.version) },
                    { "store_status", static_cast<int>(result.status) } });
            if (result.status == StoreStatus::Done) {
                row.version = result.version;
                this->context.publish(row);
                return;
            }
            // Another daemon has written the row, or it is not known whether this one has.
            found->second.nextWrite = this->context.now() + writeRetryDelay;
            this->context.rereadFleetTable();
        });
}

bool HolderListKeeper::isRecorded(const DatabaseId& group) const
{
    if (this->context.hooks.syncReplicas(group) == 0)
        return true;
    const auto* row = this->context.row(group);
    if (row == nullptr || !this->context.hasJoinedEra() || row->version.era != this->context.era())
        return false;
    const auto found = this->groups.find(group);
    const bool allNoted = found == this->groups.end() || without(found->second.unrecorded, row->holders).empty();
    return allNoted && containsAll(row->holders, this->context.hooks.endpointsOf(group));
}

CommitHolders HolderListKeeper::known(const DatabaseId& group) const
{
    const auto* row = this->context.row(group);
    const auto found = this->groups.find(group);
    const auto recorded = row == nullptr ? CommitHolders() : row->holders;
    return found == this->groups.end() ? recorded : merged(recorded, found->second.unrecorded);
}

// Holders whose process is not registered any more: the endpoint has left, or has started again. A registry that tells
// of an earlier process than the list is old.
CommitHolders HolderListKeeper::departedFrom(const DatabaseId& id, const PrimaryRow& row) const
{
    const auto present = holdersOf(this->context.hooks.endpointsOf(id));
    const bool missingAreGone = this->context.hooks.missingEndpointsAreGone();
    CommitHolders departed;
    for (const auto& holder : without(row.holders, present)) {
        const bool startedAgain = containsLater(present, holder);
        if (startedAgain || (missingAreGone && !containsEndpoint(present, holder.id)))
            departed.push_back(holder);
    }
    return departed;
}

// Takes holders that have left off the list once enough others have everything that these may hold.
void HolderListKeeper::updateDeparture(const WatchedGroup& watched, Group& group, const PrimaryRow& row)
{
    const auto now = this->context.now();
    const auto departed = this->departedFrom(watched.id, row);
    if (departed.empty()) {
        group.departedSince.reset();
        group.departure.reset();
        return;
    }
    if (!group.departedSince)
        group.departedSince = now;
    if (now < *group.departedSince + departureStagger * this->context.rank(watched))
        return;
    auto& check = group.departure;
    const bool current = check && check->term == row.term && check->primary == row.endpoint
        && without(check->left, departed).empty() && now < check->startedAt + departureRestartInterval;
    if (!current) {
        check = std::make_unique<Departure>(Departure { departed, row.term, row.endpoint, now, now, 0, {}, 0 });
        this->probe(watched.id, *check);
        return;
    }
    if (check->outstanding > 0 || now < check->nextAskAt || check->left.empty())
        return;
    check->nextAskAt = now + departureAskInterval;
    if (!check->target)
        this->askPrimary(watched.id, *check);
    else
        this->askReplicas(watched.id, *check, row);
}

HolderListKeeper::Departure* HolderListKeeper::present(const DatabaseId& id, Time startedAt)
{
    const auto found = this->groups.find(id);
    if (found == this->groups.end() || !found->second.departure || found->second.departure->startedAt != startedAt)
        return nullptr;
    return found->second.departure.get();
}

// An endpoint that is not registered may only be cut off from the store. It is asked at its address whether it lives.
// One that is registered has started again, so its earlier process has ended.
void HolderListKeeper::probe(const DatabaseId& id, Departure& departure)
{
    auto asked = departure.left;
    const auto present = holdersOf(this->context.hooks.endpointsOf(id));
    std::erase_if(asked, [&](const CommitHolder& holder) { return containsEndpoint(present, holder.id); });
    departure.outstanding = asked.size();
    for (const auto& holder : asked) {
        this->context.hooks.probeEndpoint(id, holder,
            [this, id, holder, startedAt = departure.startedAt, weak = std::weak_ptr<int>(this->lifetime)](bool alive) {
                auto* check = weak.expired() ? nullptr : this->present(id, startedAt);
                if (check == nullptr)
                    return;
                --check->outstanding;
                if (!alive)
                    return;
                logEvent(LogLevel::Info, "holder_lives_unregistered",
                    { { "group", id.value }, { "endpoint", holder.id.value },
                        { "address", toString(holder.address) } });
                check->left = without(check->left, { holder });
            });
    }
}

void HolderListKeeper::askPrimary(const DatabaseId& id, Departure& departure)
{
    departure.outstanding = 1;
    this->context.hooks.queryEndpoint(id, departure.primary,
        [this, id, startedAt = departure.startedAt, weak = std::weak_ptr<int>(this->lifetime)](
            const EndpointReply& reply) {
            auto* check = weak.expired() ? nullptr : this->present(id, startedAt);
            if (check == nullptr)
                return;
            check->outstanding = 0;
            if (reply.report && reply.report->isPrimary && reply.report->term == check->term) {
                check->target = reply.report->received;
                check->nextAskAt = this->context.now();
            }
        });
}

void HolderListKeeper::askReplicas(const DatabaseId& id, Departure& departure, const PrimaryRow& row)
{
    std::vector<EndpointId> asked;
    for (const auto& record : this->context.hooks.endpointsOf(id)) {
        if (record.id != departure.primary && contains(row.holders, holderOf(record)))
            asked.push_back(record.id);
    }
    departure.outstanding = asked.size();
    departure.reached = 0;
    for (const auto& endpoint : asked) {
        this->context.hooks.queryEndpoint(id, endpoint,
            [this, id, startedAt = departure.startedAt, weak = std::weak_ptr<int>(this->lifetime)](
                const EndpointReply& reply) {
                auto* check = weak.expired() ? nullptr : this->present(id, startedAt);
                if (check == nullptr)
                    return;
                const auto& report = reply.report;
                if (report && report->term >= check->term && report->received >= *check->target)
                    ++check->reached;
                if (--check->outstanding == 0)
                    this->onReplicaAnswer(id);
            });
    }
}

// All replicas have answered.
void HolderListKeeper::onReplicaAnswer(const DatabaseId& id)
{
    auto& group = this->groups.at(id);
    const auto* row = this->context.row(id);
    const auto& check = *group.departure;
    const bool same = row != nullptr && !row->replacing && row->term == check.term && row->endpoint == check.primary
        && row->version.era == this->context.era();
    if (!same || group.writePending || check.reached < this->context.hooks.syncReplicas(id))
        return;
    logEvent(LogLevel::Info, "holders_departed",
        { { "group", id.value }, { "left", namesOf(check.left) }, { "primary", check.primary.value },
            { "target", toString(*check.target) }, { "reached", check.reached },
            { "took_ms", toMilliseconds(this->context.now() - *group.departedSince) } });
    const auto left = check.left;
    group.departure.reset();
    this->write(id, group, *row, without(row->holders, left));
}

} // namespace endivetrestle
