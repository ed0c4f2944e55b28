#include "version/declaration_json.h"
#include "version/plan.h"

namespace endivetrestle {

namespace {

using nlohmann::json;

template <typename Id> json toValueList(const std::vector<Id>& identifiers)
{
    auto list = json::array();
    for (const auto& identifier : identifiers)
        list.push_back(identifier.value);
    return list;
}

// Reads a list of strings into strings or identifiers.
template <typename Text> std::vector<Text> readStrings(ObjectReader& reader, const std::string& key)
{
    std::vector<Text> values;
    const auto* list = reader.array(key, true);
    if (list == nullptr)
        return values;
    for (const auto& entry : *list) {
        if (entry.is_string())
            values.push_back(Text(entry.get<std::string>()));
        else
            reader.report(key, "must be a list of strings");
    }
    return values;
}

Disturbance readDisturbance(const json& value, std::vector<JsonProblem>& problems)
{
    ObjectReader reader(value, "plan", "disturbance", problems);
    Disturbance disturbance;
    disturbance.callers = readStrings<CallerId>(reader, "callers");
    disturbance.databases = readStrings<DatabaseId>(reader, "databases");
    disturbance.connections = static_cast<std::size_t>(reader.integer("connections", { 0, INT64_MAX }));
    disturbance.lines = readStrings<std::string>(reader, "lines");
    return disturbance;
}

} // namespace

std::string serialisePlan(const Plan& plan)
{
    const auto& disturbance = plan.disturbance;
    return json(
        { { "id", plan.id.value }, { "baseVersion", plan.baseVersion }, { "baseHash", plan.baseHash },
            { "changes", plan.changes },
            { "disturbance",
                { { "callers", toValueList(disturbance.callers) }, { "databases", toValueList(disturbance.databases) },
                    { "connections", disturbance.connections }, { "lines", disturbance.lines } } },
            { "expectedDurationMs",
                std::chrono::duration_cast<std::chrono::milliseconds>(plan.expectedDuration).count() },
            { "result", toJson(plan.result) }, { "createdBy", plan.createdBy }, { "expiresAtMs", plan.expiresAtMs } })
        .dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<Plan> parsePlan(std::string_view text)
{
    auto document = parseStrictJson(text, "plan");
    auto& problems = document.problems;
    if (!problems.empty())
        return std::nullopt;
    ObjectReader reader(document.value, "plan", "", problems);
    Plan plan;
    plan.id = PlanId(reader.text("id"));
    plan.baseVersion = static_cast<std::uint64_t>(reader.integer("baseVersion", { 0, INT64_MAX - 1 }));
    plan.baseHash = reader.text("baseHash", "");
    plan.changes = readStrings<std::string>(reader, "changes");
    if (const auto* value = reader.object("disturbance", true); value != nullptr)
        plan.disturbance = readDisturbance(*value, problems);
    plan.expectedDuration = reader.milliseconds("expectedDurationMs", { 0, INT64_MAX / 1000 }, {});
    if (const auto* value = reader.object("result", true); value != nullptr)
        plan.result = parseDocument(*value, "plan", "result", problems);
    plan.createdBy = reader.text("createdBy", "");
    plan.expiresAtMs = reader.integer("expiresAtMs", { 0, INT64_MAX });
    return problems.empty() ? std::optional(std::move(plan)) : std::nullopt;
}

} // namespace endivetrestle
