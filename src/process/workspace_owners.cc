#include "process/workspace_owners.h"

#include "process/ownership.h"
#include "request/wait_policy.h"

#include <algorithm>
#include <utility>

namespace endivetrestle {

namespace {

// The owners of a group in descending order of their weight for the workspace, as many as can be needed.
std::vector<DaemonId> orderFor(
    const DatabaseId& group, const WorkspaceId& workspace, const std::vector<DaemonId>& owners)
{
    const DatabaseId key(group.value + "/" + workspace.value);
    std::vector<std::pair<std::uint64_t, const DaemonId*>> weighted;
    weighted.reserve(owners.size());
    for (const auto& owner : owners)
        weighted.emplace_back(Ownership::weight(owner, key), &owner);
    std::sort(weighted.begin(), weighted.end(), [](const auto& left, const auto& right) {
        return left.first != right.first ? left.first > right.first : *left.second < *right.second;
    });
    // This daemon may be one of them.
    weighted.resize(std::min(weighted.size(), WorkspaceOwners::maxTriedByOther + 1));
    std::vector<DaemonId> order;
    order.reserve(weighted.size());
    for (const auto& [weight, owner] : weighted)
        order.push_back(*owner);
    return order;
}

} // namespace

bool showsOverload(const StatementResult& result, Duration objective, Duration elapsed)
{
    if (result.answer.code == ReplyCode::Busy && !result.answer.succeeded)
        return result.reason == "queue_timeout" || result.reason == "not_in_time";
    return objective > Duration::zero() && elapsed > waitLimit(objective);
}

WorkspaceOwners::WorkspaceOwners(DaemonId self)
    : self(std::move(self))
{
}

bool WorkspaceOwners::setOwners(const DatabaseId& group, const std::vector<DaemonId>& owners)
{
    auto& entry = this->groups[group];
    if (entry.owners == owners)
        return false;
    this->orders -= entry.orders.size();
    entry.orders.clear();
    entry.owners = owners;
    return true;
}

WorkspaceOwners::Order& WorkspaceOwners::orderOf(const DatabaseId& id, Group& group, const WorkspaceId& workspace)
{
    const auto found = group.orders.find(workspace);
    if (found != group.orders.end())
        return found->second;
    if (this->orders >= maxOrders) {
        for (auto& [name, other] : this->groups)
            other.orders.clear();
        this->orders = 0;
    }
    ++this->orders;
    return group.orders.emplace(workspace, Order { orderFor(id, workspace, group.owners), {} }).first->second;
}

std::vector<DaemonId> WorkspaceOwners::targets(
    const DatabaseId& group, const WorkspaceId& workspace, bool canRun, Time now)
{
    const auto found = this->groups.find(group);
    if (found == this->groups.end() || found->second.owners.empty())
        return {};
    auto& order = this->orderOf(group, found->second, workspace);
    auto targets = order.owners;
    if (targets.size() > 1 && order.spread.useSecond(now))
        std::swap(targets[0], targets[1]);
    const auto own = std::find(targets.begin(), targets.end(), this->self);
    if (own != targets.end())
        targets.erase(own, canRun ? targets.end() : own + 1);
    targets.resize(std::min(targets.size(), canRun ? maxTriedByOwner : maxTriedByOther));
    return targets;
}

bool WorkspaceOwners::report(
    const DatabaseId& group, const WorkspaceId& workspace, const DaemonId& owner, bool overloaded, Time now)
{
    const auto found = this->groups.find(group);
    if (found == this->groups.end())
        return false;
    const auto kept = found->second.orders.find(workspace);
    if (kept == found->second.orders.end() || kept->second.owners.size() < 2)
        return false;
    auto& order = kept->second;
    const auto& ran = owner.empty() ? this->self : owner;
    if (ran != order.owners[0] && ran != order.owners[1])
        return false;
    return order.spread.report(ran == order.owners[1], overloaded, now);
}

} // namespace endivetrestle
