#include "version/intent.h"

#include "base/json_identifier.h"
#include "version/declaration_json.h"

#include <functional>
#include <map>

namespace endivetrestle {

namespace {

// Reads the members of one intent.
struct IntentReader {
    ObjectReader& reader;
    const std::string& source;
    std::vector<JsonProblem>& problems;

    [[nodiscard]] DatabaseId database() const { return DatabaseId(readIdentifier(this->reader, "database")); }
    [[nodiscard]] CallerId caller() const { return CallerId(readIdentifier(this->reader, "caller")); }
    [[nodiscard]] EndpointId endpoint() const { return EndpointId(readIdentifier(this->reader, "endpoint")); }

    // Reads a nested declaration with one of the parse functions of declaration_json.h.
    template <typename Parse> auto nested(const std::string& key, Parse parse) const
    {
        static const nlohmann::json empty = nlohmann::json::object();
        const auto* object = this->reader.object(key, true);
        // A missing object is reported once and not again for each of its members.
        std::vector<JsonProblem> ignored;
        return parse(object == nullptr ? empty : *object, this->source, this->reader.pathOf(key),
            object == nullptr ? ignored : this->problems);
    }
};

std::optional<int> readLimit(ObjectReader& reader, const std::string& key, NumberRange range)
{
    const auto value = reader.integer(key, range, -1);
    return value < 0 ? std::nullopt : std::optional(static_cast<int>(value));
}

Intent readSetReadAge(const IntentReader& in)
{
    return SetReadAge { in.caller(), in.database(), readMaxReadAge(in.reader) };
}

Intent readSetLimits(const IntentReader& in)
{
    return SetLimits { in.database(), readLimit(in.reader, "slots", slotRange),
        readLimit(in.reader, "connectionsPerEndpoint", connectionRange) };
}

using ReadIntent = std::function<Intent(const IntentReader&)>;

const std::map<std::string, ReadIntent>& intentReaders()
{
    static const std::map<std::string, ReadIntent> readers {
        { "declareDatabase", [](const auto& in) { return DeclareDatabase { in.nested("database", parseDatabase) }; } },
        { "removeDatabase", [](const auto& in) { return RemoveDatabase { in.database() }; } },
        { "declareCaller", [](const auto& in) { return DeclareCaller { in.nested("caller", parseCaller) }; } },
        { "removeCaller", [](const auto& in) { return RemoveCaller { in.caller() }; } },
        { "setReadAge", readSetReadAge },
        { "joinEndpoint",
            [](const auto& in) {
                return JoinEndpoint { in.database(), in.nested("endpoint", parseEndpoint) };
            } },
        { "leaveEndpoint",
            [](const auto& in) {
                return LeaveEndpoint { in.database(), in.endpoint() };
            } },
        { "removeEndpoint",
            [](const auto& in) {
                return RemoveEndpoint { in.database(), in.endpoint() };
            } },
        { "setLimits", readSetLimits },
        { "replaceDocument", [](const auto& in) { return ReplaceDocument { in.nested("document", parseDocument) }; } },
    };
    return readers;
}

} // namespace

IntentResult parseIntent(std::string_view text, const std::string& source)
{
    IntentResult result;
    auto document = parseStrictJson(text, source);
    result.problems = std::move(document.problems);
    if (!result.problems.empty())
        return result;
    ObjectReader reader(document.value, source, "", result.problems);
    std::set<std::string> names;
    for (const auto& [name, unused] : intentReaders())
        names.insert(name);
    const auto name = reader.oneOf("intent", names, "");
    if (!names.contains(name))
        return result;
    auto intent = intentReaders().at(name)({ reader, source, result.problems });
    reader.reportUnknownKeys();
    if (result.problems.empty())
        result.intent = std::move(intent);
    return result;
}

} // namespace endivetrestle
