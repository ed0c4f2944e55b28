#include "version/disturbance.h"

#include <algorithm>
#include <set>

namespace endivetrestle {

namespace {

template <typename Declaration, typename Id>
const Declaration* findById(const std::vector<Declaration>& declarations, const Id& id)
{
    const auto hasId = [&](const auto& declaration) { return declaration.id == id; };
    const auto found = std::find_if(declarations.begin(), declarations.end(), hasId);
    return found == declarations.end() ? nullptr : &*found;
}

bool isActive(const EndpointDeclaration* endpoint)
{
    return endpoint != nullptr && endpoint->state == DeclaredEndpointState::Active;
}

// Collects the effects of a change and the callers and databases that it affects.
class EffectCollector {
public:
    void compare(const DatabaseDeclaration& before, const DatabaseDeclaration* after)
    {
        const auto linesBefore = this->lines.size();
        for (const auto& endpoint : before.endpoints)
            this->compare(before, endpoint, after == nullptr ? nullptr : after->findEndpoint(endpoint.id));
        if (after == nullptr)
            this->lines.push_back("database " + before.id.value + " is no longer served");
        else
            this->compareLimits(before, *after);
        if (this->lines.size() > linesBefore)
            this->databases.insert(before.id);
    }

    void compare(const CallerDeclaration& before, const CallerDeclaration* after)
    {
        const auto linesBefore = this->lines.size();
        const auto name = "caller " + before.id.value;
        if (after == nullptr)
            this->lines.push_back(name + " loses access");
        else
            this->compareRights(name, before, *after);
        if (this->lines.size() > linesBefore)
            this->callers.insert(before.id);
    }

    // Adds the callers that may use an affected database.
    void addCallersOfDatabases(const std::vector<CallerDeclaration>& declared)
    {
        for (const auto& caller : declared)
            for (const auto& [database, unused] : caller.databases)
                if (this->databases.contains(database))
                    this->callers.insert(caller.id);
    }

    [[nodiscard]] Disturbance result() const
    {
        return { { this->callers.begin(), this->callers.end() }, { this->databases.begin(), this->databases.end() },
            this->connections, this->lines };
    }

private:
    void compare(
        const DatabaseDeclaration& database, const EndpointDeclaration& before, const EndpointDeclaration* after)
    {
        const bool isMoved = after != nullptr && after->address != before.address;
        const bool isStopped = before.state == DeclaredEndpointState::Active && !isActive(after);
        const bool isGone = after == nullptr;
        if (!isMoved && !isStopped && !isGone)
            return;
        this->connections += static_cast<std::size_t>(database.connectionsPerEndpoint);
        const auto what = isMoved ? " has a new address" : isGone ? " is removed" : " gets no new work";
        this->lines.push_back("endpoint " + before.id.value + what + "; up to "
            + std::to_string(database.connectionsPerEndpoint) + " connections are closed");
        if (isStopped)
            this->lines.push_back("if " + before.id.value + " is the primary of " + database.id.value
                + ", writes wait for a planned switchover");
    }

    void compareLimits(const DatabaseDeclaration& before, const DatabaseDeclaration& after)
    {
        const auto fewer = before.connectionsPerEndpoint - after.connectionsPerEndpoint;
        if (fewer > 0) {
            this->connections += static_cast<std::size_t>(fewer) * before.endpoints.size();
            this->lines.push_back(
                "database " + before.id.value + " loses " + std::to_string(fewer) + " connections at each endpoint");
        }
        if (after.slots < before.slots)
            this->lines.push_back("database " + before.id.value + " runs fewer statements concurrently");
        if (after.region != before.region)
            this->lines.push_back(
                "database " + before.id.value + " will be owned by daemons in region " + after.region.value);
    }

    void compareRights(const std::string& name, const CallerDeclaration& before, const CallerDeclaration& after)
    {
        if (after.keySha256 != before.keySha256)
            this->lines.push_back(name + " must present its new key");
        const bool losesKind = (before.kinds.read && !after.kinds.read) || (before.kinds.write && !after.kinds.write)
            || (before.kinds.transaction && !after.kinds.transaction);
        if (losesKind)
            this->lines.push_back(name + " may use fewer kinds of requests");
        for (const auto& [database, grant] : before.databases)
            this->compareGrant(name + " at " + database.value, grant, after, database);
    }

    void compareGrant(const std::string& name, const DatabaseGrant& before, const CallerDeclaration& caller,
        const DatabaseId& database)
    {
        const auto found = caller.databases.find(database);
        if (found == caller.databases.end()) {
            this->lines.push_back(name + " loses access");
            return;
        }
        const auto& age = found->second.maxReadAge;
        if (age && (!before.maxReadAge || *age < *before.maxReadAge))
            this->lines.push_back(name + " may no longer state a maximum read age above "
                + std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(*age).count()) + " ms");
    }

    std::set<CallerId> callers;
    std::set<DatabaseId> databases;
    std::size_t connections = 0;
    std::vector<std::string> lines;
};

} // namespace

Disturbance findDisturbance(const ConfigurationDocument& before, const ConfigurationDocument& after)
{
    EffectCollector effects;
    for (const auto& database : before.databases)
        effects.compare(database, findById(after.databases, database.id));
    for (const auto& caller : before.callers)
        effects.compare(caller, findById(after.callers, caller.id));
    effects.addCallersOfDatabases(before.callers);
    return effects.result();
}

bool needsSwitchover(const ConfigurationDocument& before, const ConfigurationDocument& after)
{
    for (const auto& database : before.databases) {
        const auto* changed = findById(after.databases, database.id);
        for (const auto& endpoint : database.endpoints)
            if (changed != nullptr && isActive(&endpoint) && !isActive(changed->findEndpoint(endpoint.id)))
                return true;
    }
    return false;
}

} // namespace endivetrestle
