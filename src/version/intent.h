#pragma once

#include "version/configuration.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace endivetrestle {

// Intents of operators. Each states what shall hold, not how to get there.

// Adds a database or replaces its declaration.
struct DeclareDatabase {
    DatabaseDeclaration database;
};
// Refused while a caller is allowed to use the database.
struct RemoveDatabase {
    DatabaseId database;
};
// Adds a caller or replaces its declaration.
struct DeclareCaller {
    CallerDeclaration caller;
};
struct RemoveCaller {
    CallerId caller;
};
// Sets the largest read age of a caller at a database. No value allows any age.
struct SetReadAge {
    CallerId caller;
    DatabaseId database;
    std::optional<Duration> maxReadAge;
};
// Adds an endpoint in state joining, or makes a joining or leaving endpoint active.
struct JoinEndpoint {
    DatabaseId database;
    EndpointDeclaration endpoint;
};
struct LeaveEndpoint {
    DatabaseId database;
    EndpointId endpoint;
};
// Refused unless the endpoint is joining or leaving.
struct RemoveEndpoint {
    DatabaseId database;
    EndpointId endpoint;
};
struct SetLimits {
    DatabaseId database;
    std::optional<int> slots;
    std::optional<int> connectionsPerEndpoint;
};
// Replaces everything; the version number of the given document is ignored.
struct ReplaceDocument {
    ConfigurationDocument document;
};

using Intent = std::variant<DeclareDatabase, RemoveDatabase, DeclareCaller, RemoveCaller, SetReadAge, JoinEndpoint,
    LeaveEndpoint, RemoveEndpoint, SetLimits, ReplaceDocument>;

// Result of parseIntent(): an intent or problems.
struct IntentResult {
    std::optional<Intent> intent;
    std::vector<JsonProblem> problems;
};

// Parses {"intent": "leaveEndpoint", "database": "orders-1", "endpoint": "orders-1-a"} and its like.
IntentResult parseIntent(std::string_view text, const std::string& source);

} // namespace endivetrestle
