#include "version/configuration_row.h"

#include "base/strict_json.h"

namespace endivetrestle {

namespace {

using nlohmann::json;

constexpr NumberRange versionRange { 1, INT64_MAX };

void readHistory(const json& list, std::vector<AcceptedOperation>& history, std::vector<JsonProblem>& problems)
{
    for (const auto& entry : list) {
        ObjectReader reader(entry, "row", "history", problems);
        AcceptedOperation operation;
        operation.version = static_cast<std::uint64_t>(reader.integer("version", versionRange));
        operation.operationId = reader.text("operationId");
        history.push_back(std::move(operation));
    }
}

} // namespace

std::string serialiseRow(const ConfigurationRow& row)
{
    auto history = json::array();
    for (const auto& operation : row.history)
        history.push_back({ { "version", operation.version }, { "operationId", operation.operationId } });
    return json({ { "version", row.version }, { "hash", row.hash }, { "history", std::move(history) } }).dump();
}

std::optional<ConfigurationRow> parseRow(std::string_view text)
{
    auto document = parseStrictJson(text, "row");
    if (!document.problems.empty())
        return std::nullopt;
    ObjectReader reader(document.value, "row", "", document.problems);
    ConfigurationRow row;
    row.version = static_cast<std::uint64_t>(reader.integer("version", versionRange));
    row.hash = reader.text("hash");
    if (const auto* list = reader.array("history", true); list != nullptr)
        readHistory(*list, row.history, document.problems);
    return document.problems.empty() ? std::optional(std::move(row)) : std::nullopt;
}

std::string configurationObjectKey(std::uint64_t version, const std::string& hash)
{
    return "configurations/" + std::to_string(version) + "-" + hash;
}

} // namespace endivetrestle
