#pragma once

#include "base/clock.h"
#include "base/identifier.h"
#include "base/socket_address.h"
#include "base/strict_json.h"
#include "request/request.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace endivetrestle {

// Membership state of an endpoint in its group, as declared by operators.
enum class DeclaredEndpointState {
    // Still copying the data: does not count for a majority and gets no reads.
    Joining,
    Active,
    // Gets no new work.
    Leaving,
};

// "joining", "active" or "leaving".
std::string_view endpointStateName(DeclaredEndpointState state);

// One member of a database group.
struct EndpointDeclaration {
    EndpointId id;
    SocketAddress address;
    DataCentre dataCentre;
    DeclaredEndpointState state = DeclaredEndpointState::Active;

    bool operator==(const EndpointDeclaration&) const = default;
};

// Service level objectives of one database.
struct Objectives {
    // Share of the requests that must succeed; below 1.
    double availability = 0.999;
    // Time within which a read or a write must be answered.
    Duration readLatency = std::chrono::milliseconds(100);
    Duration writeLatency = std::chrono::milliseconds(200);

    bool operator==(const Objectives&) const = default;
};

// One replicated database group. Endpoints are ordered by id.
struct DatabaseDeclaration {
    DatabaseId id;
    Region region;
    std::vector<EndpointDeclaration> endpoints;
    // Statements that one endpoint runs concurrently.
    int slots = 1;
    // Connections that one endpoint accepts from all daemons together.
    int connectionsPerEndpoint = 1;
    Objectives objectives;

    bool operator==(const DatabaseDeclaration&) const = default;

    [[nodiscard]] const EndpointDeclaration* findEndpoint(const EndpointId& endpoint) const;
    // Number of endpoints that count for a majority: all but the joining ones. Leaving ones count, because they still
    // hold acknowledged writes.
    [[nodiscard]] std::size_t votingCount() const;
};

// Request kinds that a caller may use. Resolving an earlier request is always allowed.
struct AllowedKinds {
    bool read = true;
    bool write = true;
    bool transaction = true;

    bool operator==(const AllowedKinds&) const = default;
    [[nodiscard]] bool allows(RequestKind kind) const;
};

// What a caller may do at one database.
struct DatabaseGrant {
    // Upper limit of the data age that the caller may accept for a read. No value means no limit.
    std::optional<Duration> maxReadAge;

    bool operator==(const DatabaseGrant&) const = default;
};

// One client application.
struct CallerDeclaration {
    CallerId id;
    // SHA-256 of the caller's key, 64 lower-case hexadecimal digits.
    std::string keySha256;
    std::map<DatabaseId, DatabaseGrant> databases;
    AllowedKinds kinds;

    bool operator==(const CallerDeclaration&) const = default;
};

// Content of one configuration version. Databases and callers are ordered by id.
struct ConfigurationDocument {
    std::uint64_t version = 0;
    std::vector<DatabaseDeclaration> databases;
    std::vector<CallerDeclaration> callers;

    bool operator==(const ConfigurationDocument&) const = default;
};

// Checks rules that span several values: identifiers, addresses and caller keys are unique, a majority of each group's
// voting endpoints is active, and grants refer to declared databases. Returns every violation.
std::vector<JsonProblem> validateConfiguration(const ConfigurationDocument& document, const std::string& source);

// Canonical text: compact JSON with sorted keys and identifiers. Equal documents have equal texts.
std::string serialiseConfiguration(const ConfigurationDocument& document);

// One valid configuration version with lookups. Immutable; shared as std::shared_ptr<const Configuration>.
class Configuration {
public:
    // The document must satisfy validateConfiguration(). Orders databases, endpoints and callers by id.
    explicit Configuration(ConfigurationDocument document);

    [[nodiscard]] std::uint64_t version() const { return this->content.version; }
    // SHA-256 of text().
    [[nodiscard]] const std::string& hash() const { return this->contentHash; }
    // Canonical text, which peers and the object store hold.
    [[nodiscard]] const std::string& text() const { return this->canonicalText; }
    [[nodiscard]] const ConfigurationDocument& document() const { return this->content; }

    // Lookups return nullptr for an unknown identifier. The pointers live as long as the configuration.
    [[nodiscard]] const DatabaseDeclaration* findDatabase(const DatabaseId& id) const;
    [[nodiscard]] const CallerDeclaration* findCaller(const CallerId& id) const;
    // Finds a caller by the SHA-256 of the presented key in lower-case hexadecimal digits.
    [[nodiscard]] const CallerDeclaration* findCallerByKey(const std::string& keySha256) const;

private:
    ConfigurationDocument content;
    std::string canonicalText;
    std::string contentHash;
    std::unordered_map<DatabaseId, std::size_t> databaseIndex;
    std::unordered_map<CallerId, std::size_t> callerIndex;
    std::unordered_map<std::string, std::size_t> keyIndex;
};

// Result of parseConfiguration(): a configuration or problems.
struct ConfigurationResult {
    std::shared_ptr<const Configuration> configuration;
    std::vector<JsonProblem> problems;
};

// Parses and validates a document and reports all problems, not just the first.
//
// Example:
//     const auto result = parseConfiguration(text, "samples/prism.configuration.jsonc");
//     if (result.configuration)
//         use(result.configuration->findDatabase(DatabaseId("ledger-1")));
ConfigurationResult parseConfiguration(std::string_view text, const std::string& source);

} // namespace endivetrestle
