#include "standin/endpoint_switches.h"

#include <cmath>
#include <utility>

namespace endivetrestle::standin {

namespace {

constexpr double longestMilliseconds = 3600.0 * 1000.0;
constexpr std::int64_t largestCount = 1'000'000'000;

void readNames(ObjectReader& reader, const std::string& key, std::set<std::string>& names)
{
    const auto* array = reader.array(key, false);
    if (!array)
        return;
    names.clear();
    for (const auto& item : *array) {
        if (item.is_string())
            names.insert(item.get<std::string>());
        else
            reader.report(key, "must be a list of strings");
    }
}

void readCount(ObjectReader& reader, const std::string& key, std::int64_t& count)
{
    count = reader.integer(key, { 0, largestCount }, count);
}

} // namespace

Duration readMilliseconds(ObjectReader& reader, const std::string& key, Duration fallback)
{
    const auto value = reader.number(key, 0, longestMilliseconds, toMilliseconds(fallback));
    return Duration(std::llround(value * 1000.0));
}

void readSwitches(const nlohmann::json& object, const std::string& path, EndpointSwitches& switches,
    std::vector<JsonProblem>& problems)
{
    ObjectReader reader(object, "control", path, problems);
    EndpointSwitches next = switches;
    next.down = reader.boolean("down", next.down);
    next.paused = reader.boolean("paused", next.paused);
    next.blackhole = reader.boolean("blackhole", next.blackhole);
    readNames(reader, "blackholeDaemons", next.blackholeDaemons);
    next.slots = static_cast<int>(reader.integer("slots", { 1, 100'000 }, next.slots));
    next.serviceTime = readMilliseconds(reader, "serviceTimeMs", next.serviceTime);
    next.connectionLimit = static_cast<int>(reader.integer("connectionLimit", { 0, 100'000 }, next.connectionLimit));
    next.openingTime = readMilliseconds(reader, "openingTimeMs", next.openingTime);
    next.extraLatency = readMilliseconds(reader, "extraLatencyMs", next.extraLatency);
    next.shipDelay = readMilliseconds(reader, "shipDelayMs", next.shipDelay);
    next.applyLag = readMilliseconds(reader, "applyLagMs", next.applyLag);
    readCount(reader, "loseAnswers", next.loseAnswers);
    next.loseAnswerShare = reader.number("loseAnswerShare", 0, 1, next.loseAnswerShare);
    readCount(reader, "dropRequests", next.dropRequests);
    next.dropRequestShare = reader.number("dropRequestShare", 0, 1, next.dropRequestShare);
    readCount(reader, "crossAnswers", next.crossAnswers);
    readCount(reader, "malformedAnswers", next.malformedAnswers);
    const auto back = static_cast<std::int64_t>(next.positionBack);
    next.positionBack = static_cast<std::uint64_t>(reader.integer("positionBack", { 0, largestCount }, back));
    reader.reportUnknownKeys();
    if (problems.empty())
        switches = std::move(next);
}

} // namespace endivetrestle::standin
