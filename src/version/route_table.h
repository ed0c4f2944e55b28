#pragma once

#include "base/clock.h"
#include "base/identifier.h"
#include "version/workspace.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace endivetrestle {

// Consistency that a route guarantees for reads.
enum class RouteConsistency { Primary, BoundedStaleness, ReadYourWrites };

// Lower-case name of a consistency for logs and metric labels.
std::string_view consistencyName(RouteConsistency consistency);

// One database name that clients may open, and how its statements are served.
struct Route {
    // Name by which clients open the database.
    std::string databaseName;
    // Database group that serves it.
    DatabaseId group;
    RouteConsistency consistency = RouteConsistency::Primary;
    // Time limit of a single statement.
    Duration statementTimeout = std::chrono::seconds(1);
    // Latency objective of a whole operation.
    Duration objective = std::chrono::milliseconds(200);
    // 0 is served first.
    int priority = 0;
    // Largest age of data that a read may return; unused for Primary.
    Duration maxStaleness {};
    // Whether clients need no key.
    bool isPublic = false;

    bool operator==(const Route&) const = default;
};

// One database group as the operators declare it.
struct GroupDeclaration {
    DatabaseId group;
    // Connections that an endpoint of the group accepts from all daemons together.
    int connectionLimit = 16;
    // Replicas that must have received a commit before an endpoint of the group acknowledges it.
    std::size_t syncReplicas = 0;

    bool operator==(const GroupDeclaration&) const = default;
};

// One accepted version of the operators' configuration. Immutable; a new version replaces the whole value.
struct RouteTable {
    std::uint64_t version = 0;
    std::map<std::string, Route> routes;
    std::map<DatabaseId, GroupDeclaration> groups;
    // Time after which a transaction without a statement is rolled back.
    Duration transactionIdleLimit = std::chrono::seconds(3);
    // Whether clients need a key on all routes that are not public.
    bool workspacesInUse = false;
    std::map<WorkspaceId, Workspace> workspaces;
    // Workspace of each key.
    std::unordered_map<std::string, WorkspaceId> keyIndex;

    bool operator==(const RouteTable&) const = default;

    // Route of a database name, or nullptr.
    [[nodiscard]] const Route* find(const std::string& databaseName) const;
    // Workspace that holds the key; no value if none does.
    [[nodiscard]] std::optional<WorkspaceId> workspaceOfKey(const std::string& key) const;
};

} // namespace endivetrestle
