#include "base/strict_json.h"

#include <algorithm>

namespace endivetrestle {

namespace {

using nlohmann::json;

std::size_t lineOf(std::string_view text, std::size_t byte)
{
    const auto end = text.begin() + static_cast<std::ptrdiff_t>(std::min(byte, text.size()));
    return 1 + static_cast<std::size_t>(std::count(text.begin(), end, '\n'));
}

// Finds keys that occur twice in one object while the parser walks the document.
class DuplicateKeyDetector {
public:
    DuplicateKeyDetector(const std::string& source, std::vector<JsonProblem>& problems)
        : source(source)
        , problems(problems)
    {
    }

    bool operator()(int /*depth*/, json::parse_event_t event, json& parsed)
    {
        switch (event) {
        case json::parse_event_t::object_start:
            this->keys.emplace_back();
            break;
        case json::parse_event_t::object_end:
            this->keys.pop_back();
            break;
        case json::parse_event_t::key:
            this->addKey(parsed.get<std::string>());
            break;
        default:
            break;
        }
        return true;
    }

private:
    void addKey(const std::string& key)
    {
        if (!this->keys.back().insert(key).second)
            this->problems.push_back({ this->source, 0, key, "duplicate key; specify it once" });
    }

    const std::string& source;
    std::vector<JsonProblem>& problems;
    std::vector<std::set<std::string>> keys;
};

std::string describe(NumberRange range)
{
    return "from " + std::to_string(range.lowest) + " to " + std::to_string(range.highest);
}

} // namespace

std::string toString(const JsonProblem& problem)
{
    std::string text = problem.source;
    if (problem.line > 0)
        text += ":" + std::to_string(problem.line);
    if (!problem.path.empty())
        text += ": " + problem.path;
    return text + ": " + problem.message;
}

JsonDocument parseStrictJson(std::string_view text, const std::string& source)
{
    JsonDocument document;
    DuplicateKeyDetector detector(source, document.problems);
    try {
        document.value = json::parse(text, std::ref(detector), true, true);
    } catch (const json::parse_error& error) {
        document.problems.push_back(
            { source, lineOf(text, error.byte == 0 ? 0 : error.byte - 1), "", "not valid JSON with comments" });
        document.value = nullptr;
    }
    return document;
}

ObjectReader::ObjectReader(const json& object, std::string source, std::string path, std::vector<JsonProblem>& problems)
    : value(object)
    , source(std::move(source))
    , path(std::move(path))
    , problems(problems)
{
    if (!this->value.is_object())
        this->problems.push_back({ this->source, 0, this->path, "must be an object" });
}

std::string ObjectReader::pathOf(const std::string& key) const
{
    return this->path.empty() ? key : this->path + "." + key;
}

std::string ObjectReader::pathOf(const std::string& key, std::size_t index) const
{
    return this->pathOf(key) + "[" + std::to_string(index) + "]";
}

void ObjectReader::report(const std::string& key, const std::string& message)
{
    this->problems.push_back({ this->source, 0, this->pathOf(key), message });
}

const json* ObjectReader::find(const std::string& key)
{
    this->readKeys.insert(key);
    if (!this->value.is_object())
        return nullptr;
    const auto found = this->value.find(key);
    return found == this->value.end() ? nullptr : &*found;
}

std::optional<std::int64_t> ObjectReader::findInteger(const std::string& key, NumberRange range)
{
    const auto* found = this->find(key);
    if (found == nullptr)
        return std::nullopt;
    const bool fits = found->is_number_integer()
        && !(found->is_number_unsigned() && found->get<std::uint64_t>() > static_cast<std::uint64_t>(INT64_MAX));
    if (!fits || found->get<std::int64_t>() < range.lowest || found->get<std::int64_t>() > range.highest) {
        this->report(key, "must be an integer " + describe(range));
        return range.lowest;
    }
    return found->get<std::int64_t>();
}

std::int64_t ObjectReader::integer(const std::string& key, NumberRange range)
{
    const auto found = this->findInteger(key, range);
    if (!found)
        this->report(key, "missing; must be an integer " + describe(range));
    return found.value_or(range.lowest);
}

std::int64_t ObjectReader::integer(const std::string& key, NumberRange range, std::int64_t fallback)
{
    return this->findInteger(key, range).value_or(fallback);
}

double ObjectReader::number(const std::string& key, double lowest, double highest, double fallback)
{
    const auto* found = this->find(key);
    if (found == nullptr)
        return fallback;
    if (!found->is_number() || found->get<double>() < lowest || found->get<double>() > highest) {
        this->report(key, "must be a number from " + std::to_string(lowest) + " to " + std::to_string(highest));
        return fallback;
    }
    return found->get<double>();
}

std::string ObjectReader::text(const std::string& key)
{
    const auto* found = this->find(key);
    if (found == nullptr || !found->is_string() || found->get_ref<const std::string&>().empty()) {
        this->report(key, found == nullptr ? "missing; must be a string" : "must be a non-empty string");
        return {};
    }
    return found->get<std::string>();
}

std::string ObjectReader::text(const std::string& key, const std::string& fallback)
{
    const auto* found = this->find(key);
    if (found == nullptr)
        return fallback;
    if (!found->is_string()) {
        this->report(key, "must be a string");
        return fallback;
    }
    return found->get<std::string>();
}

bool ObjectReader::boolean(const std::string& key, bool fallback)
{
    const auto* found = this->find(key);
    if (found == nullptr)
        return fallback;
    if (!found->is_boolean()) {
        this->report(key, "must be true or false");
        return fallback;
    }
    return found->get<bool>();
}

Duration ObjectReader::milliseconds(const std::string& key, NumberRange range, Duration fallback)
{
    const auto found = this->findInteger(key, range);
    return found ? Duration(std::chrono::milliseconds(*found)) : fallback;
}

std::string ObjectReader::oneOf(
    const std::string& key, const std::set<std::string>& allowed, const std::string& fallback)
{
    const auto word = this->text(key, fallback);
    if (allowed.contains(word))
        return word;
    std::string list;
    for (const auto& choice : allowed)
        list += (list.empty() ? "" : ", ") + choice;
    this->report(key, "must be one of: " + list);
    return fallback;
}

const json* ObjectReader::nested(const std::string& key, bool required, json::value_t type)
{
    const auto* found = this->find(key);
    const std::string name = type == json::value_t::object ? "an object" : "a list";
    if (found == nullptr) {
        if (required)
            this->report(key, "missing; must be " + name);
        return nullptr;
    }
    if (found->type() != type) {
        this->report(key, "must be " + name);
        return nullptr;
    }
    return found;
}

const json* ObjectReader::object(const std::string& key, bool required)
{
    return this->nested(key, required, json::value_t::object);
}

const json* ObjectReader::array(const std::string& key, bool required)
{
    return this->nested(key, required, json::value_t::array);
}

void ObjectReader::reportUnknownKeys()
{
    if (!this->value.is_object())
        return;
    for (const auto& [key, unused] : this->value.items()) {
        if (!this->readKeys.contains(key))
            this->report(key, "unknown key; remove it or correct its name");
    }
}

} // namespace endivetrestle
