// How the primaries of groups that no daemon has recorded yet are adopted.
#include "process/fleet_controller.h"

#include "base/log.h"

namespace endivetrestle {

namespace {

// Groups adopted by one change of the store. A change holds 100 entries, two for each group.
constexpr std::size_t maxAdoptions = 40;
// Interval at which groups without a primary are looked for.
constexpr Duration adoptionInterval = std::chrono::milliseconds(300);
// Head start of each daemon over the next one, since all daemons notice a new group at the same time.
constexpr Duration adoptionHeadStart = std::chrono::milliseconds(600);
// Time without a primary after which a daemon reads the table, and interval at which it does so.
constexpr Duration missedAnnouncement = std::chrono::seconds(3);

// The endpoint that alone considers itself the primary; no value if there are several or none.
std::optional<EndpointId> onlyClaimant(const std::vector<EndpointRecord>& records)
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

// Groups whose primary this daemon may adopt now, with the endpoint that claims to be the primary.
std::vector<std::pair<DatabaseId, EndpointId>> FleetController::adoptable(Time at)
{
    std::vector<std::pair<DatabaseId, EndpointId>> result;
    const auto headStart = adoptionHeadStart * this->ownRank();
    for (const auto& group : this->hooks.groups()) {
        if (this->rows.count(group) != 0)
            continue;
        const auto claimant = onlyClaimant(this->hooks.endpointsOf(group));
        if (!claimant)
            continue;
        const auto since = this->plannedSince.try_emplace(group, at).first->second;
        // An announcement may have been lost.
        if (at - since >= missedAnnouncement && at >= this->nextFleetRead + missedAnnouncement)
            this->readFleet();
        if (at - since >= headStart && result.size() < maxAdoptions)
            result.emplace_back(group, *claimant);
    }
    return result;
}

// Adopts many groups with one change. The epoch stays as it is, since nobody uses a primary that has no row yet: a new
// epoch makes every daemon read the table before it can renew its lease, which would keep a large fleet from its leases
// while it starts. The other daemons are told, or read the table when they miss a primary for long.
void FleetController::adoptGroups(Time at)
{
    // Before the second list of the leases most daemons would take themselves for the first one.
    if (this->adoption || at < this->nextAdoption || !this->peersSettled())
        return;
    this->nextAdoption = at + adoptionInterval;
    const auto candidates = this->adoptable(at);
    if (candidates.empty())
        return;
    this->adoption = Adoption { candidates.size(), {} };
    for (const auto& [group, endpoint] : candidates) {
        this->hooks.queryEndpoint(group, endpoint,
            [this, group = group, endpoint = endpoint, weak = std::weak_ptr<int>(this->lifetime)](
                const std::optional<EndpointReport>& report) {
                if (!weak.expired())
                    this->onAdoptionReport(group, endpoint, report ? &*report : nullptr);
            });
    }
}

void FleetController::onAdoptionReport(
    const DatabaseId& group, const EndpointId& endpoint, const EndpointReport* report)
{
    if (report != nullptr && report->isPrimary)
        this->adoption->rows.push_back({ group, false, endpoint, report->term, this->identity.daemon });
    if (--this->adoption->outstanding > 0)
        return;
    if (this->adoption->rows.empty())
        this->adoption.reset();
    else
        this->storeAdoption();
}

void FleetController::storeAdoption()
{
    StoreChange change;
    for (const auto& row : this->adoption->rows) {
        const auto encoded = encodeRow(row);
        change.conditions.push_back({ fleetTable, encoded.key, 0 });
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
        logEvent(LogLevel::Info, "primaries_adopted", { { "groups", adopted.size() }, { "version", result.version } });
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
