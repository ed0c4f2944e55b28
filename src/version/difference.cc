#include "version/difference.h"

#include "version/declaration_json.h"

#include <map>

namespace endivetrestle {

namespace {

using nlohmann::json;

// Values of a declaration by their path, so that any two declarations can be compared line by line. Endpoints are
// keyed by their id instead of their index.
void flatten(const json& value, const std::string& path, std::map<std::string, std::string>& values)
{
    const bool isEndpointList = value.is_array() && !value.empty() && value.front().is_object();
    if (isEndpointList) {
        for (const auto& member : value)
            flatten(member, path + " " + member["id"].get<std::string>(), values);
    } else if (value.is_object()) {
        // An entry for the object itself tells an empty object from a missing one.
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

// The hash of a key is not secret, but it has no place in reports.
std::map<std::string, json> hideKeys(std::map<std::string, json> callers)
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
    describeLists("caller", hideKeys(byId(before.callers)), hideKeys(byId(after.callers)), lines);
    return lines;
}

} // namespace endivetrestle
