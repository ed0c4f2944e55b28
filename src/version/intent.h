#pragma once

#include "version/configuration.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace endivetrestle {

// Intents of operators. Each states the desired result and not the steps towards it.

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
// Sets the upper limit of the data age that a caller may accept for reads of a database. No value removes the limit.
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
// Replaces the whole document. The version number of the given document is ignored.
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

// Parses an intent, for example {"intent": "leaveEndpoint", "database": "orders-1", "endpoint": "orders-1-a"}.
IntentResult parseIntent(std::string_view text, const std::string& source);

} // namespace endivetrestle
