#include "tool/history_checker.h"

#include <algorithm>
#include <charconv>

namespace endivetrestle {

namespace {

using nlohmann::json;

constexpr std::array<std::string_view, violationKindCount> violationNames
    = { "lost_write", "doubled_write", "own_write_not_seen", "data_too_old", "crossed_answer", "did_not_run_ran",
          "replaced_primary", "configuration_reverted" };

bool isKeyCharacter(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '/' || c == '-'
        || c == '_';
}

std::string timeText(Time at) { return std::to_string(toSeconds(at.time_since_epoch())) + "s"; }

std::string sentText(const HistoryEvent& event)
{
    std::string text = "sent operation " + std::to_string(event.operation) + " of session "
        + std::to_string(event.session) + " to " + event.database.value;
    for (const auto& key : event.readKeys)
        text += ", reads " + key;
    for (const auto& mark : event.writes)
        text += ", writes " + toString(mark);
    if (event.maxAge)
        text += ", age at most " + std::to_string(event.maxAge->count()) + " us";
    return event.audit ? text + ", audit" : text;
}

std::string answeredText(const HistoryEvent& event)
{
    std::string text
        = "answered operation " + std::to_string(event.operation) + ": " + std::string(outcomeStateName(event.state));
    if (event.code != ErrorCode::None)
        text += " " + std::string(errorName(event.code));
    text += " at " + toString(event.position);
    if (!event.servedBy.empty())
        text += " by " + event.servedBy + (event.replica ? " (replica)" : "");
    return event.rows.empty() ? text : text + ", rows " + event.rows;
}

} // namespace

std::string toString(const HistoryMark& mark) { return mark.key + "#" + std::to_string(mark.number) + "."; }

std::vector<HistoryMark> findMarks(std::string_view text)
{
    std::vector<HistoryMark> marks;
    std::size_t begin = 0;
    for (auto hash = text.find('#'); hash != std::string_view::npos; hash = text.find('#', hash + 1)) {
        auto start = hash;
        while (start > begin && isKeyCharacter(text[start - 1]))
            --start;
        std::uint64_t number = 0;
        const auto* const first = text.data() + hash + 1;
        const auto* const last = text.data() + text.size();
        const auto [end, error] = std::from_chars(first, last, number);
        if (error != std::errc() || end == last || *end != '.' || start == hash)
            continue;
        marks.push_back({ std::string(text.substr(start, hash - start)), number });
        begin = static_cast<std::size_t>(end - text.data()) + 1;
    }
    return marks;
}

std::string toString(const HistoryEvent& event)
{
    const auto prefix = timeText(event.at) + " ";
    switch (event.type) {
    case HistoryEventType::Sent:
        return prefix + sentText(event);
    case HistoryEventType::Answered:
        return prefix + answeredText(event);
    case HistoryEventType::TermStarted:
        return prefix + "primary of term " + std::to_string(event.number) + " appointed for " + event.database.value;
    case HistoryEventType::ConfigurationSeen:
        return prefix + event.daemon.value + " reports configuration version " + std::to_string(event.number);
    }
    return prefix;
}

std::string_view violationKindName(ViolationKind kind) { return violationNames.at(static_cast<std::size_t>(kind)); }

json toJson(const Violation& violation)
{
    json events = json::array();
    for (const auto& event : violation.events)
        events.push_back(toString(event));
    return { { "kind", violationKindName(violation.kind) }, { "detail", violation.detail }, { "events", events } };
}

std::string toString(const Violation& violation)
{
    std::string text = std::string(violationKindName(violation.kind)) + ": " + violation.detail;
    for (const auto& event : violation.events)
        text += "\n    " + toString(event);
    return text;
}

} // namespace endivetrestle
