#include "version/route_table.h"

namespace endivetrestle {

std::string_view consistencyName(RouteConsistency consistency)
{
    switch (consistency) {
    case RouteConsistency::Primary:
        return "primary";
    case RouteConsistency::BoundedStaleness:
        return "bounded_staleness";
    case RouteConsistency::ReadYourWrites:
        break;
    }
    return "read_your_writes";
}

const Route* RouteTable::find(const std::string& databaseName) const
{
    const auto found = this->routes.find(databaseName);
    return found == this->routes.end() ? nullptr : &found->second;
}

std::optional<WorkspaceId> RouteTable::workspaceOfKey(const std::string& key) const
{
    const auto found = this->keyIndex.find(key);
    return found == this->keyIndex.end() ? std::nullopt : std::optional(found->second);
}

} // namespace endivetrestle
