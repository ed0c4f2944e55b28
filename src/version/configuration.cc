#include "version/configuration.h"

#include "base/sha256.h"
#include "version/declaration_json.h"

#include <algorithm>
#include <set>

namespace endivetrestle {

namespace {

// Reports identifiers that occur more than once.
template <typename Id> class UniqueCheck {
public:
    UniqueCheck(std::string source, std::vector<JsonProblem>& problems)
        : source(std::move(source))
        , problems(problems)
    {
    }

    void add(const Id& id, const std::string& path, const std::string& message)
    {
        if (!this->seen.insert(id).second)
            this->problems.push_back({ this->source, 0, path, message });
    }

    [[nodiscard]] bool contains(const Id& id) const { return this->seen.contains(id); }

private:
    std::string source;
    std::vector<JsonProblem>& problems;
    std::set<Id> seen;
};

std::string indexed(const std::string& list, std::size_t index) { return list + "[" + std::to_string(index) + "]"; }

bool hasActiveMajority(const DatabaseDeclaration& database)
{
    const auto isActive = [](const auto& endpoint) { return endpoint.state == DeclaredEndpointState::Active; };
    const auto active
        = static_cast<std::size_t>(std::count_if(database.endpoints.begin(), database.endpoints.end(), isActive));
    return active > database.votingCount() / 2;
}

void checkDatabases(
    const ConfigurationDocument& document, const std::string& source, std::vector<JsonProblem>& problems)
{
    UniqueCheck<DatabaseId> databases(source, problems);
    UniqueCheck<EndpointId> endpoints(source, problems);
    UniqueCheck<SocketAddress> addresses(source, problems);
    for (std::size_t index = 0; index < document.databases.size(); ++index) {
        const auto& database = document.databases[index];
        const auto path = indexed("databases", index);
        databases.add(database.id, path + ".id", "must be unique; " + database.id.value + " occurs twice");
        for (std::size_t member = 0; member < database.endpoints.size(); ++member) {
            const auto& endpoint = database.endpoints[member];
            const auto memberPath = indexed(path + ".endpoints", member);
            endpoints.add(endpoint.id, memberPath + ".id", "must be unique; " + endpoint.id.value + " occurs twice");
            addresses.add(
                endpoint.address, memberPath + ".address", "must be unique; another endpoint has the same address");
        }
        if (!hasActiveMajority(database))
            problems.push_back({ source, 0, path + ".endpoints",
                "a majority of the endpoints of " + database.id.value + " must be active" });
    }
}

void checkCallers(const ConfigurationDocument& document, const std::string& source, std::vector<JsonProblem>& problems)
{
    std::set<DatabaseId> known;
    for (const auto& database : document.databases)
        known.insert(database.id);
    UniqueCheck<CallerId> callers(source, problems);
    UniqueCheck<std::string> keys(source, problems);
    for (std::size_t index = 0; index < document.callers.size(); ++index) {
        const auto& caller = document.callers[index];
        const auto path = indexed("callers", index);
        callers.add(caller.id, path + ".id", "must be unique; " + caller.id.value + " occurs twice");
        keys.add(caller.keySha256, path + ".keySha256", "must be unique; another caller has the same key");
        for (const auto& [database, unused] : caller.databases) {
            if (!known.contains(database))
                problems.push_back({ source, 0, path + ".databases." + database.value, "must be a declared database" });
        }
    }
}

template <typename Declaration> void orderById(std::vector<Declaration>& declarations)
{
    const auto byId = [](const auto& left, const auto& right) { return left.id < right.id; };
    std::sort(declarations.begin(), declarations.end(), byId);
}

void order(ConfigurationDocument& document)
{
    orderById(document.databases);
    orderById(document.callers);
    for (auto& database : document.databases)
        orderById(database.endpoints);
}

template <typename Declaration, typename Index, typename Id>
const Declaration* lookUp(const std::vector<Declaration>& declarations, const Index& index, const Id& id)
{
    const auto found = index.find(id);
    return found == index.end() ? nullptr : &declarations[found->second];
}

} // namespace

std::string_view endpointStateName(DeclaredEndpointState state)
{
    switch (state) {
    case DeclaredEndpointState::Joining:
        return "joining";
    case DeclaredEndpointState::Leaving:
        return "leaving";
    default:
        return "active";
    }
}

const EndpointDeclaration* DatabaseDeclaration::findEndpoint(const EndpointId& endpoint) const
{
    const auto hasId = [&](const auto& declared) { return declared.id == endpoint; };
    const auto found = std::find_if(this->endpoints.begin(), this->endpoints.end(), hasId);
    return found == this->endpoints.end() ? nullptr : &*found;
}

std::size_t DatabaseDeclaration::votingCount() const
{
    const auto votes = [](const auto& endpoint) { return endpoint.state != DeclaredEndpointState::Joining; };
    return static_cast<std::size_t>(std::count_if(this->endpoints.begin(), this->endpoints.end(), votes));
}

bool AllowedKinds::allows(RequestKind kind) const
{
    switch (kind) {
    case RequestKind::Read:
        return this->read;
    case RequestKind::Write:
        return this->write;
    case RequestKind::Resolve:
        return true;
    default:
        return this->transaction;
    }
}

std::vector<JsonProblem> validateConfiguration(const ConfigurationDocument& document, const std::string& source)
{
    std::vector<JsonProblem> problems;
    checkDatabases(document, source, problems);
    checkCallers(document, source, problems);
    return problems;
}

std::string serialiseConfiguration(const ConfigurationDocument& document)
{
    auto ordered = document;
    order(ordered);
    return toJson(ordered).dump();
}

Configuration::Configuration(ConfigurationDocument document)
    : content(std::move(document))
{
    order(this->content);
    this->canonicalText = toJson(this->content).dump();
    this->contentHash = sha256Hex(this->canonicalText);
    for (std::size_t index = 0; index < this->content.databases.size(); ++index)
        this->databaseIndex.emplace(this->content.databases[index].id, index);
    for (std::size_t index = 0; index < this->content.callers.size(); ++index) {
        this->callerIndex.emplace(this->content.callers[index].id, index);
        this->keyIndex.emplace(this->content.callers[index].keySha256, index);
    }
}

const DatabaseDeclaration* Configuration::findDatabase(const DatabaseId& id) const
{
    return lookUp(this->content.databases, this->databaseIndex, id);
}

const CallerDeclaration* Configuration::findCaller(const CallerId& id) const
{
    return lookUp(this->content.callers, this->callerIndex, id);
}

const CallerDeclaration* Configuration::findCallerByKey(const std::string& keySha256) const
{
    return lookUp(this->content.callers, this->keyIndex, keySha256);
}

ConfigurationResult parseConfiguration(std::string_view text, const std::string& source)
{
    ConfigurationResult result;
    auto parsed = parseStrictJson(text, source);
    result.problems = std::move(parsed.problems);
    if (!result.problems.empty())
        return result;
    auto document = parseDocument(parsed.value, source, "", result.problems);
    for (auto& problem : validateConfiguration(document, source))
        result.problems.push_back(std::move(problem));
    if (result.problems.empty())
        result.configuration = std::make_shared<const Configuration>(std::move(document));
    return result;
}

} // namespace endivetrestle
