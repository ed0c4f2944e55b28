#include "standin/group.h"

#include <utility>

// Control interface of a stand-in group.
namespace endivetrestle::standin {

namespace {

nlohmann::json positionJson(const Position& position)
{
    return nlohmann::json::array({ position.term, position.index });
}

const char* roleName(EndpointRole role)
{
    switch (role) {
    case EndpointRole::Primary:
        return "primary";
    case EndpointRole::Replica:
        return "replica";
    case EndpointRole::Fenced:
        return "fenced";
    }
    return "fenced";
}

nlohmann::json endpointJson(EndpointServer& endpoint)
{
    const auto status = endpoint.core().status(endpoint.now());
    const auto& counters = endpoint.counters();
    return { { "id", status.endpoint.value }, { "port", endpoint.port() }, { "term", status.term },
        { "role", roleName(status.role) }, { "lastLog", positionJson(status.lastLog) },
        { "applied", positionJson(status.applied) },
        { "primaryContactAgeMs", toMilliseconds(status.primaryContactAge) }, { "busySlots", endpoint.busySlots() },
        { "waitingStatements", endpoint.waitingStatements() }, { "connections", endpoint.connections() },
        { "reads", counters.reads }, { "writes", counters.writes }, { "opened", counters.opened },
        { "refusedConnections", counters.refusedConnections }, { "lostAnswers", counters.lostAnswers },
        { "droppedRequests", counters.droppedRequests }, { "foreignStatements", endpoint.core().foreignStatements() },
        { "down", endpoint.switches().down }, { "paused", endpoint.switches().paused } };
}

} // namespace

std::string StandinGroup::statusText() const
{
    auto list = nlohmann::json::array();
    for (const auto& endpoint : this->endpoints)
        list.push_back(endpointJson(*endpoint));
    return nlohmann::json { { "endpoints", std::move(list) } }.dump();
}

void StandinGroup::readEndpoints(
    const nlohmann::json& object, ControlChange& change, std::vector<JsonProblem>& problems)
{
    for (const auto& [name, switches] : object.items()) {
        const auto path = "endpoints." + name;
        if (name != "*" && !this->isMember(name))
            problems.push_back({ "control", 0, path, "no such endpoint" });
        for (std::size_t index = 0; index < this->endpoints.size(); ++index) {
            if (name != "*" && this->options.members[index].endpoint.value != name)
                continue;
            auto next = change.switches.emplace(index, this->endpoints[index]->switches()).first;
            readSwitches(switches, path, next->second, problems);
        }
    }
}

void StandinGroup::readReplication(
    const nlohmann::json& item, ControlChange& change, std::vector<JsonProblem>& problems) const
{
    ObjectReader reader(item, "control", "replication", problems);
    Names names { reader.text("from"), reader.text("to") };
    const bool isBlocked = reader.boolean("blocked", true);
    if (!this->isMember(names.first) || !this->isMember(names.second))
        reader.report("from", "no such endpoint");
    reader.reportUnknownKeys();
    if (isBlocked)
        change.blocked.insert(std::move(names));
    else
        change.blocked.erase(names);
}

void StandinGroup::readDelay(const nlohmann::json& item, ControlChange& change, std::vector<JsonProblem>& problems)
{
    ObjectReader reader(item, "control", "delays", problems);
    const auto from = reader.text("from");
    const auto to = reader.text("to");
    const auto delay = readMilliseconds(reader, "delayMs", Duration::zero());
    reader.reportUnknownKeys();
    change.delays[{ std::min(from, to), std::max(from, to) }] = delay;
}

std::vector<JsonProblem> StandinGroup::control(const std::string& body)
{
    auto document = parseStrictJson(body, "control");
    auto& problems = document.problems;
    if (problems.empty() && !document.value.is_object())
        problems.push_back({ "control", 0, "", "must be an object" });
    if (!problems.empty())
        return problems;
    ControlChange change { {}, this->blocked, this->delays };
    ObjectReader reader(document.value, "control", "", problems);
    if (const auto* object = reader.object("endpoints", false))
        this->readEndpoints(*object, change, problems);
    if (const auto* list = reader.array("replication", false)) {
        for (const auto& item : *list)
            this->readReplication(item, change, problems);
    }
    if (const auto* list = reader.array("delays", false)) {
        for (const auto& item : *list)
            StandinGroup::readDelay(item, change, problems);
    }
    reader.reportUnknownKeys();
    if (!problems.empty())
        return problems;
    this->blocked = std::move(change.blocked);
    this->delays = std::move(change.delays);
    for (auto& [index, switches] : change.switches)
        this->endpoints[index]->setSwitches(std::move(switches));
    return {};
}

kj::Promise<JsonHttpResponse> StandinGroup::handleControl(const JsonHttpRequest& request)
{
    if (request.method == kj::HttpMethod::GET && request.path == "/standin/status")
        return JsonHttpResponse { 200, this->statusText() };
    if (request.method != kj::HttpMethod::POST || request.path != "/standin/control")
        return JsonHttpResponse { 404, R"({"problems":["unknown path"]})" };
    auto list = nlohmann::json::array();
    for (const auto& problem : this->control(request.body))
        list.push_back(toString(problem));
    const unsigned status = list.empty() ? 200 : 400;
    return JsonHttpResponse { status, nlohmann::json { { "problems", std::move(list) } }.dump() };
}

} // namespace endivetrestle::standin
