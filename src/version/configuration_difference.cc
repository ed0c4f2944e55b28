#include "version/configuration_difference.h"

#include "version/declaration_json.h"

#include <map>

namespace endivetrestle {

namespace {

using nlohmann::json;

// Maps the path of each value of a declaration to the value, so that any two declarations can be compared entry by
// entry. Endpoints are identified by their id instead of their index.
void flatten(const json& value, const std::string& path, std::map<std::string, std::string>& values)
{
    const bool isEndpointList = value.is_array() && !value.empty() && value.front().is_object();
    if (isEndpointList) {
        for (const auto& member : value)
            flatten(member, path + " " + member["id"].get<std::string>(), values);
    } else if (value.is_object()) {
        // An entry for the object itself distinguishes an empty object from a missing one.
        values[path] = "{}";
        for (const auto& [key, member] : value.items())
            if (key != "id")
                flatten(member, path.empty() ? key : path + " " + key, values);
    } else {
        values[path] = value.dump();
    }
}

std::map<std::string, std::string> flatten(const json& value)
{
    std::map<std::string, std::string> values;
    flatten(value, "", values);
    return values;
}

void describeChanged(const std::string& name, const json& before, const json& after, std::vector<std::string>& lines)
{
    const auto old = flatten(before);
    const auto changed = flatten(after);
    for (const auto& [path, value] : old) {
        const auto found = changed.find(path);
        if (found == changed.end())
            lines.push_back(name + ": " + path + " removed (was " + value + ")");
        else if (found->second != value)
            lines.push_back(name + ": " + path + " changed from " + value + " to " + found->second);
    }
    for (const auto& [path, value] : changed)
        if (!old.contains(path))
            lines.push_back(name + ": " + path + " added as " + value);
}

template <typename Declaration> std::map<std::string, json> byId(const std::vector<Declaration>& declarations)
{
    std::map<std::string, json> result;
    for (const auto& declaration : declarations)
        result[declaration.id.value] = toJson(declaration);
    return result;
}

// Shortens key hashes. They are not secret, but reports do not need them in full.
std::map<std::string, json> shortenKeyHashes(std::map<std::string, json> callers)
{
    for (auto& [id, caller] : callers)
        caller["keySha256"] = caller["keySha256"].get<std::string>().substr(0, 8) + "...";
    return callers;
}

void describeLists(const std::string& kind, const std::map<std::string, json>& before,
    const std::map<std::string, json>& after, std::vector<std::string>& lines)
{
    for (const auto& [id, value] : before) {
        const auto name = kind + " " + id;
        const auto found = after.find(id);
        if (found == after.end())
            lines.push_back(name + ": removed");
        else
            describeChanged(name, value, found->second, lines);
    }
    for (const auto& [id, value] : after)
        if (!before.contains(id))
            lines.push_back(kind + " " + id + ": added");
}

} // namespace

std::vector<std::string> describeDifference(const ConfigurationDocument& before, const ConfigurationDocument& after)
{
    std::vector<std::string> lines;
    describeLists("database", byId(before.databases), byId(after.databases), lines);
    describeLists("caller", shortenKeyHashes(byId(before.callers)), shortenKeyHashes(byId(after.callers)), lines);
    return lines;
}

} // namespace endivetrestle
