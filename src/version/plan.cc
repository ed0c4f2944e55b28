#include "version/plan.h"

#include "version/configuration_difference.h"
#include "version/declaration_json.h"
#include "version/disturbance.h"

#include <algorithm>
#include <set>

namespace endivetrestle {

namespace {

using nlohmann::json;

// Expected time to stop new work at a leaving endpoint and, if it is the primary, to replace it.
constexpr Duration switchoverTime = std::chrono::seconds(5);

template <typename Declaration, typename Id> Declaration* findById(std::vector<Declaration>& declarations, const Id& id)
{
    const auto hasId = [&](const auto& declaration) { return declaration.id == id; };
    const auto found = std::find_if(declarations.begin(), declarations.end(), hasId);
    return found == declarations.end() ? nullptr : &*found;
}

// Applies an intent to a document and collects the reasons for refusing it.
class Draft {
public:
    explicit Draft(ConfigurationDocument base)
        : document(std::move(base))
    {
    }

    void operator()(const DeclareDatabase& intent) { upsert(this->document.databases, intent.database); }

    void operator()(const RemoveDatabase& intent)
    {
        if (this->database(intent.database) == nullptr)
            return;
        for (const auto& caller : this->document.callers)
            if (caller.databases.contains(intent.database))
                this->refuse("caller " + caller.id.value + " may still use database " + intent.database.value);
        std::erase_if(this->document.databases, [&](const auto& declared) { return declared.id == intent.database; });
    }

    void operator()(const DeclareCaller& intent) { upsert(this->document.callers, intent.caller); }

    void operator()(const RemoveCaller& intent)
    {
        if (this->caller(intent.caller) != nullptr)
            std::erase_if(this->document.callers, [&](const auto& declared) { return declared.id == intent.caller; });
    }

    void operator()(const SetReadAge& intent)
    {
        auto* caller = this->caller(intent.caller);
        if (caller == nullptr)
            return;
        const auto grant = caller->databases.find(intent.database);
        if (grant == caller->databases.end())
            this->refuse("caller " + intent.caller.value + " may not use database " + intent.database.value);
        else
            grant->second.maxReadAge = intent.maxReadAge;
    }

    void operator()(const JoinEndpoint& intent)
    {
        auto* database = this->database(intent.database);
        if (database == nullptr)
            return;
        auto* known = findById(database->endpoints, intent.endpoint.id);
        if (known == nullptr) {
            database->endpoints.push_back(intent.endpoint);
            database->endpoints.back().state = DeclaredEndpointState::Joining;
            return;
        }
        if (known->state == DeclaredEndpointState::Active)
            this->refuse("endpoint " + known->id.value + " is already active");
        if (known->address != intent.endpoint.address || known->dataCentre != intent.endpoint.dataCentre)
            this->refuse("endpoint " + known->id.value + " is known with another address or data centre");
        known->state = DeclaredEndpointState::Active;
    }

    void operator()(const LeaveEndpoint& intent)
    {
        auto* endpoint = this->endpoint(intent.database, intent.endpoint);
        if (endpoint == nullptr)
            return;
        if (endpoint->state != DeclaredEndpointState::Active)
            this->refuse("endpoint " + endpoint->id.value + " is " + std::string(endpointStateName(endpoint->state))
                + "; only an active endpoint can leave");
        endpoint->state = DeclaredEndpointState::Leaving;
    }

    void operator()(const RemoveEndpoint& intent)
    {
        const auto* endpoint = this->endpoint(intent.database, intent.endpoint);
        if (endpoint == nullptr)
            return;
        if (endpoint->state == DeclaredEndpointState::Active)
            this->refuse("endpoint " + endpoint->id.value + " is active; let it leave first");
        std::erase_if(this->database(intent.database)->endpoints,
            [&](const auto& declared) { return declared.id == intent.endpoint; });
    }

    void operator()(const SetLimits& intent)
    {
        auto* database = this->database(intent.database);
        if (database == nullptr)
            return;
        database->slots = intent.slots.value_or(database->slots);
        database->connectionsPerEndpoint = intent.connectionsPerEndpoint.value_or(database->connectionsPerEndpoint);
    }

    void operator()(const ReplaceDocument& intent) { this->document = intent.document; }

    void refuse(std::string reason) { this->reasons.push_back(std::move(reason)); }

    ConfigurationDocument document;
    std::vector<std::string> reasons;

private:
    template <typename Declaration> static void upsert(std::vector<Declaration>& list, const Declaration& declaration)
    {
        if (auto* known = findById(list, declaration.id); known != nullptr)
            *known = declaration;
        else
            list.push_back(declaration);
    }

    DatabaseDeclaration* database(const DatabaseId& id)
    {
        auto* found = findById(this->document.databases, id);
        if (found == nullptr)
            this->refuse("unknown database " + id.value);
        return found;
    }

    CallerDeclaration* caller(const CallerId& id)
    {
        auto* found = findById(this->document.callers, id);
        if (found == nullptr)
            this->refuse("unknown caller " + id.value);
        return found;
    }

    EndpointDeclaration* endpoint(const DatabaseId& databaseId, const EndpointId& id)
    {
        auto* database = this->database(databaseId);
        if (database == nullptr)
            return nullptr;
        auto* found = findById(database->endpoints, id);
        if (found == nullptr)
            this->refuse("unknown endpoint " + id.value + " of database " + databaseId.value);
        return found;
    }
};

// Endpoints that count for a majority, identified by id and address: an endpoint with a new address is a new one.
std::set<std::string> votersOf(const DatabaseDeclaration& database)
{
    std::set<std::string> voters;
    for (const auto& endpoint : database.endpoints)
        if (endpoint.state != DeclaredEndpointState::Joining)
            voters.insert(endpoint.id.value + " " + toString(endpoint.address));
    return voters;
}

void checkVoters(const ConfigurationDocument& before, Draft& draft)
{
    for (const auto& database : before.databases) {
        const auto* changed = findById(draft.document.databases, database.id);
        if (changed == nullptr)
            continue;
        const auto old = votersOf(database);
        const auto voters = votersOf(*changed);
        std::vector<std::string> changedVoters;
        std::set_symmetric_difference(
            old.begin(), old.end(), voters.begin(), voters.end(), std::back_inserter(changedVoters));
        if (changedVoters.size() > 1)
            draft.refuse("database " + database.id.value
                + " would change more than one voting endpoint; change one at a time so that majorities overlap");
    }
}

ConfigurationDocument draftResult(Draft& draft, const ConfigurationDocument& before)
{
    draft.document.version = before.version + 1;
    checkVoters(before, draft);
    for (const auto& problem : validateConfiguration(draft.document, "result"))
        draft.refuse(problem.path + ": " + problem.message);
    // The constructor of Configuration sorts the document.
    return Configuration(std::move(draft.document)).document();
}

} // namespace

PlanResult makePlan(const Intent& intent, const PlanContext& context)
{
    const auto before = context.base ? context.base->document() : ConfigurationDocument();
    Draft draft(before);
    std::visit(draft, intent);
    auto result = draftResult(draft, before);
    Plan plan;
    plan.changes = describeDifference(before, result);
    if (plan.changes.empty() && draft.reasons.empty())
        draft.refuse("the intent changes nothing");
    if (!draft.reasons.empty())
        return { std::nullopt, std::move(draft.reasons) };
    plan.id = context.id;
    plan.baseVersion = before.version;
    plan.baseHash = context.base ? context.base->hash() : "";
    plan.disturbance = findDisturbance(before, result);
    plan.expectedDuration = context.rolloutTime + (needsSwitchover(before, result) ? switchoverTime : Duration());
    plan.result = std::move(result);
    plan.createdBy = context.createdBy;
    plan.expiresAtMs = context.nowMs + std::chrono::duration_cast<std::chrono::milliseconds>(context.lifetime).count();
    return { std::move(plan), {} };
}

std::string planObjectKey(const PlanId& id) { return "plans/" + id.value; }

} // namespace endivetrestle
