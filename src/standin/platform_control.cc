#include "standin/platform.h"

#include "edge/kj_time.h"
#include "standin/endpoint_switches.h"

#include <utility>

// Control interface of the stand-in platform.
namespace endivetrestle::standin {

namespace {

// Versions of the live list that are kept; older ones are dropped.
constexpr std::size_t keptHostVersions = 10'000;

void readPlatformSwitches(const nlohmann::json& object, PlatformSwitches& switches, std::vector<JsonProblem>& problems)
{
    ObjectReader reader(object, "control", "set", problems);
    switches.tableDown = reader.boolean("tableDown", switches.tableDown);
    switches.objectsDown = reader.boolean("objectsDown", switches.objectsDown);
    switches.liveListDown = reader.boolean("liveListDown", switches.liveListDown);
    switches.blackhole = reader.boolean("blackhole", switches.blackhole);
    switches.latency = readMilliseconds(reader, "latencyMs", switches.latency);
    switches.loseAnswers = reader.integer("loseAnswers", { 0, 1'000'000'000 }, switches.loseAnswers);
    switches.loseAnswerShare = reader.number("loseAnswerShare", 0, 1, switches.loseAnswerShare);
    switches.liveListLag = readMilliseconds(reader, "liveListLagMs", switches.liveListLag);
    reader.reportUnknownKeys();
}

} // namespace

void StandinPlatform::readHosts(
    const nlohmann::json& list, std::map<std::string, ListedHost>& hosts, std::vector<JsonProblem>& problems)
{
    for (const auto& item : list) {
        ObjectReader reader(item, "control", "hosts", problems);
        ListedHost host { reader.text("host"), reader.text("address"), HostState::Live, reader.text("dataCentre", ""),
            reader.text("region", "") };
        if (reader.oneOf("state", { "live", "leaving" }, "live") == "leaving")
            host.state = HostState::Leaving;
        reader.reportUnknownKeys();
        hosts[host.host] = host;
    }
}

void StandinPlatform::changeHosts(std::map<std::string, ListedHost> hosts)
{
    if (hosts == this->hostVersions.back().hosts)
        return;
    this->hostVersions.push_back({ fromKj(this->timer.now()), std::move(hosts) });
    if (this->hostVersions.size() > keptHostVersions)
        this->hostVersions.pop_front();
}

std::vector<JsonProblem> StandinPlatform::control(const std::string& body)
{
    auto document = parseStrictJson(body, "control");
    auto& problems = document.problems;
    if (problems.empty() && !document.value.is_object())
        problems.push_back({ "control", 0, "", "must be an object" });
    if (!problems.empty())
        return problems;
    auto nextSwitches = this->switches;
    auto nextHosts = this->hostVersions.back().hosts;
    ObjectReader reader(document.value, "control", "", problems);
    if (const auto* object = reader.object("set", false))
        readPlatformSwitches(*object, nextSwitches, problems);
    if (const auto* list = reader.array("hosts", false))
        StandinPlatform::readHosts(*list, nextHosts, problems);
    if (const auto* list = reader.array("remove", false)) {
        for (const auto& item : *list)
            nextHosts.erase(item.is_string() ? item.get<std::string>() : std::string());
    }
    reader.reportUnknownKeys();
    if (!problems.empty())
        return problems;
    this->switches = nextSwitches;
    this->changeHosts(std::move(nextHosts));
    return {};
}

std::string StandinPlatform::statusText() const
{
    auto rowList = nlohmann::json::object();
    for (const auto& [key, row] : this->rows)
        rowList[key] = { { "revision", row.revision }, { "operationId", row.operationId } };
    return nlohmann::json { { "operations", this->counts }, { "rows", std::move(rowList) } }.dump();
}

} // namespace endivetrestle::standin
