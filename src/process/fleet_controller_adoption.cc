// Adoption: records the primary of a group that has no row in the fleet table yet.
#include "process/fleet_controller.h"

#include "base/log.h"

namespace endivetrestle {

namespace {

// Maximum number of groups adopted by one store change. A change may contain 100 entries and needs two for each group.
constexpr std::size_t maxAdoptions = 40;
// Interval at which this daemon looks for groups without a recorded primary.
constexpr Duration adoptionInterval = std::chrono::milliseconds(300);
// Delay of each daemon behind the previous one in rank order. All daemons notice a new group at the same time.
constexpr Duration adoptionStagger = std::chrono::milliseconds(600);
// Time without a recorded primary after which a daemon reads the fleet table, and the interval between these reads.
constexpr Duration announcementTimeout = std::chrono::seconds(3);

// Returns the only endpoint that claims to be the primary; no value if there are several or none.
std::optional<EndpointId> findOnlyClaimant(const std::vector<EndpointRecord>& records)
{
    std::optional<EndpointId> claimant;
    for (const auto& record : records) {
        if (!record.claimsPrimary)
            continue;
        if (claimant)
            return std::nullopt;
        claimant = record.id;
    }
    return claimant;
}

} // namespace

// Returns the groups whose primary this daemon may adopt now, with the endpoint that claims to be the primary.
std::vector<std::pair<DatabaseId, EndpointId>> FleetController::adoptableGroups(Time at)
{
    std::vector<std::pair<DatabaseId, EndpointId>> result;
    const auto delay = adoptionStagger * this->ownRank();
    for (const auto& group : this->hooks.groups()) {
        if (this->rows.count(group) != 0)
            continue;
        const auto claimant = findOnlyClaimant(this->hooks.endpointsOf(group));
        if (!claimant)
            continue;
        const auto since = this->plannedSince.try_emplace(group, at).first->second;
        // An announcement may have been lost.
        if (at - since >= announcementTimeout && at >= this->nextFleetRead + announcementTimeout)
            this->readFleet();
        if (at - since >= delay && result.size() < maxAdoptions)
            result.emplace_back(group, *claimant);
    }
    return result;
}

// Adopts many groups with one store change. The epoch is left unchanged, because no daemon uses a primary that has no
// row yet. A new epoch would make every daemon read the table before it can renew its lease, which would delay the
// leases of a large fleet at its start. The other daemons learn of the rows by announcement, or by reading the table
// after announcementTimeout.
void FleetController::adoptGroups(Time at)
{
    // Until the list of daemons is complete, most daemons would consider themselves the first one in rank order.
    if (this->adoption || at < this->nextAdoption || !this->peerListComplete())
        return;
    this->nextAdoption = at + adoptionInterval;
    const auto candidates = this->adoptableGroups(at);
    if (candidates.empty())
        return;
    this->adoption = Adoption { this->era, candidates.size(), {} };
    for (const auto& [group, endpoint] : candidates) {
        this->hooks.queryEndpoint(group, endpoint,
            [this, group = group, endpoint = endpoint, weak = std::weak_ptr<int>(this->lifetime)](
                const EndpointReply& reply) {
                if (!weak.expired())
                    this->onAdoptionReply(group, endpoint, reply);
            });
    }
}

// An endpoint that has not reported is asked again with the next adoption.
void FleetController::onAdoptionReply(const DatabaseId& group, const EndpointId& endpoint, const EndpointReply& reply)
{
    if (reply.report && reply.report->isPrimary) {
        PrimaryRow row { group, false, endpoint, reply.report->term, this->identity.daemon };
        if (this->hooks.syncReplicas(group) > 0)
            row.holders = holdersOf(this->hooks.endpointsOf(group));
        this->adoption->rows.push_back(std::move(row));
    }
    if (--this->adoption->outstanding > 0)
        return;
    // What was found for an earlier era may have been carried over, or replaced, meanwhile.
    const bool current = this->adoption->era == this->era && this->fleetTableLoaded;
    if (this->adoption->rows.empty() || !current)
        this->adoption.reset();
    else
        this->storeAdoption();
}

void FleetController::storeAdoption()
{
    StoreChange change;
    for (const auto& row : this->adoption->rows) {
        const auto encoded = encodeRow(row, this->era);
        change.conditions.push_back({ fleetTable, encoded.key, { this->era, 0 } });
        change.writes.push_back(encoded);
    }
    this->store.change(change, [this, weak = std::weak_ptr<int>(this->lifetime)](const StoreResult& result) {
        if (weak.expired())
            return;
        auto adopted = std::move(this->adoption->rows);
        this->adoption.reset();
        this->nextAdoption = this->now();
        if (result.status != StoreStatus::Done) {
            // Another daemon has adopted some of them, or the outcome is unknown.
            this->nextAdoption += adoptionInterval;
            this->readFleet();
            return;
        }
        logEvent(LogLevel::Info, "primaries_adopted",
            { { "groups", adopted.size() }, { "version", toString(result.version) } });
        for (auto& row : adopted) {
            row.version = result.version;
            this->plannedSince.erase(row.group);
            this->applyRow(row);
        }
        for (const auto& [daemon, lease] : this->peers)
            this->hooks.announce(lease.address, adopted);
    });
}

} // namespace endivetrestle
