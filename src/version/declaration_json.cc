#include "version/declaration_json.h"

#include "base/json_identifier.h"

#include <algorithm>

namespace endivetrestle {

namespace {

using nlohmann::json;

constexpr std::int64_t dayMs = 86400000;
constexpr std::int64_t minuteMs = 60000;

std::int64_t wholeMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

DeclaredEndpointState endpointStateFromName(const std::string& word)
{
    if (word == "joining")
        return DeclaredEndpointState::Joining;
    return word == "leaving" ? DeclaredEndpointState::Leaving : DeclaredEndpointState::Active;
}

void readEndpoints(
    ObjectReader& reader, DatabaseDeclaration& database, const std::string& source, std::vector<JsonProblem>& problems)
{
    const auto* list = reader.array("endpoints", true);
    if (list == nullptr)
        return;
    for (std::size_t index = 0; index < list->size(); ++index)
        database.endpoints.push_back(
            parseEndpoint((*list)[index], source, reader.pathOf("endpoints", index), problems));
}

void readObjectives(
    ObjectReader& parent, Objectives& objectives, const std::string& source, std::vector<JsonProblem>& problems)
{
    const auto* object = parent.object("objectives", false);
    if (object == nullptr)
        return;
    ObjectReader reader(*object, source, parent.pathOf("objectives"), problems);
    objectives.availability = reader.number("availability", 0, 0.999999, objectives.availability);
    objectives.readLatency = reader.milliseconds("readLatencyMs", { 1, minuteMs }, objectives.readLatency);
    objectives.writeLatency = reader.milliseconds("writeLatencyMs", { 1, minuteMs }, objectives.writeLatency);
    reader.reportUnknownKeys();
}

void readGrants(
    ObjectReader& parent, CallerDeclaration& caller, const std::string& source, std::vector<JsonProblem>& problems)
{
    const auto* object = parent.object("databases", true);
    if (object == nullptr)
        return;
    for (const auto& [key, value] : object->items()) {
        ObjectReader reader(value, source, parent.pathOf("databases") + "." + key, problems);
        caller.databases[DatabaseId(key)].maxReadAge = readMaxReadAge(reader);
        reader.reportUnknownKeys();
    }
}

void readKinds(ObjectReader& reader, AllowedKinds& kinds)
{
    const auto* list = reader.array("kinds", false);
    if (list == nullptr)
        return;
    kinds = { false, false, false };
    for (const auto& entry : *list) {
        kinds.read = kinds.read || entry == "read";
        kinds.write = kinds.write || entry == "write";
        kinds.transaction = kinds.transaction || entry == "transaction";
        if (entry != "read" && entry != "write" && entry != "transaction")
            reader.report("kinds", "must be a list of: read, transaction, write");
    }
}

bool isSha256(const std::string& text)
{
    const auto isDigit = [](char digit) { return (digit >= '0' && digit <= '9') || (digit >= 'a' && digit <= 'f'); };
    return text.size() == 64 && std::all_of(text.begin(), text.end(), isDigit);
}

json kindList(const AllowedKinds& kinds)
{
    auto list = json::array();
    if (kinds.read)
        list.push_back("read");
    if (kinds.transaction)
        list.push_back("transaction");
    if (kinds.write)
        list.push_back("write");
    return list;
}

template <typename Declaration> json listOf(const std::vector<Declaration>& declarations)
{
    auto list = json::array();
    for (const auto& declaration : declarations)
        list.push_back(toJson(declaration));
    return list;
}

} // namespace

std::optional<Duration> readMaxReadAge(ObjectReader& reader)
{
    const Duration missing(-1);
    const auto age = reader.milliseconds("maxReadAgeMs", { 0, dayMs }, missing);
    return age == missing ? std::nullopt : std::optional(age);
}

EndpointDeclaration parseEndpoint(
    const json& value, const std::string& source, const std::string& path, std::vector<JsonProblem>& problems)
{
    ObjectReader reader(value, source, path, problems);
    EndpointDeclaration endpoint;
    endpoint.id = EndpointId(readIdentifier(reader, "id"));
    const auto text = reader.text("address");
    const auto address = parseSocketAddress(text);
    if (!address && !text.empty())
        reader.report("address", "must be an IP address and a port from 1 to 65535, for example 10.0.0.1:5432");
    endpoint.address = address.value_or(SocketAddress());
    endpoint.dataCentre = DataCentre(readIdentifier(reader, "dataCentre"));
    endpoint.state = endpointStateFromName(reader.oneOf("state", { "joining", "active", "leaving" }, "active"));
    reader.reportUnknownKeys();
    return endpoint;
}

DatabaseDeclaration parseDatabase(
    const json& value, const std::string& source, const std::string& path, std::vector<JsonProblem>& problems)
{
    ObjectReader reader(value, source, path, problems);
    DatabaseDeclaration database;
    database.id = DatabaseId(readIdentifier(reader, "id"));
    database.region = Region(readIdentifier(reader, "region"));
    readEndpoints(reader, database, source, problems);
    database.slots = static_cast<int>(reader.integer("slots", slotRange));
    database.connectionsPerEndpoint = static_cast<int>(reader.integer("connectionsPerEndpoint", connectionRange));
    readObjectives(reader, database.objectives, source, problems);
    reader.reportUnknownKeys();
    return database;
}

CallerDeclaration parseCaller(
    const json& value, const std::string& source, const std::string& path, std::vector<JsonProblem>& problems)
{
    ObjectReader reader(value, source, path, problems);
    CallerDeclaration caller;
    caller.id = CallerId(readIdentifier(reader, "id"));
    caller.keySha256 = reader.text("keySha256");
    if (!caller.keySha256.empty() && !isSha256(caller.keySha256))
        reader.report("keySha256", "must be the SHA-256 of the key as 64 lower-case hexadecimal digits");
    readGrants(reader, caller, source, problems);
    readKinds(reader, caller.kinds);
    reader.reportUnknownKeys();
    return caller;
}

ConfigurationDocument parseDocument(
    const json& value, const std::string& source, const std::string& path, std::vector<JsonProblem>& problems)
{
    ObjectReader reader(value, source, path, problems);
    ConfigurationDocument document;
    document.version = static_cast<std::uint64_t>(reader.integer("version", { 1, INT64_MAX }));
    if (const auto* list = reader.array("databases", true); list != nullptr)
        for (std::size_t index = 0; index < list->size(); ++index)
            document.databases.push_back(
                parseDatabase((*list)[index], source, reader.pathOf("databases", index), problems));
    if (const auto* list = reader.array("callers", true); list != nullptr)
        for (std::size_t index = 0; index < list->size(); ++index)
            document.callers.push_back(parseCaller((*list)[index], source, reader.pathOf("callers", index), problems));
    reader.reportUnknownKeys();
    return document;
}

json toJson(const EndpointDeclaration& endpoint)
{
    return { { "id", endpoint.id.value }, { "address", toString(endpoint.address) },
        { "dataCentre", endpoint.dataCentre.value }, { "state", endpointStateName(endpoint.state) } };
}

json toJson(const DatabaseDeclaration& database)
{
    const auto& objectives = database.objectives;
    return { { "id", database.id.value }, { "region", database.region.value },
        { "endpoints", listOf(database.endpoints) }, { "slots", database.slots },
        { "connectionsPerEndpoint", database.connectionsPerEndpoint },
        { "objectives",
            { { "availability", objectives.availability },
                { "readLatencyMs", wholeMilliseconds(objectives.readLatency) },
                { "writeLatencyMs", wholeMilliseconds(objectives.writeLatency) } } } };
}

json toJson(const CallerDeclaration& caller)
{
    auto grants = json::object();
    for (const auto& [database, grant] : caller.databases) {
        auto& entry = grants[database.value] = json::object();
        if (grant.maxReadAge)
            entry["maxReadAgeMs"] = wholeMilliseconds(*grant.maxReadAge);
    }
    return { { "id", caller.id.value }, { "keySha256", caller.keySha256 }, { "databases", std::move(grants) },
        { "kinds", kindList(caller.kinds) } };
}

json toJson(const ConfigurationDocument& document)
{
    return { { "version", document.version }, { "databases", listOf(document.databases) },
        { "callers", listOf(document.callers) } };
}

} // namespace endivetrestle
