#include "standin/platform.h"

#include "edge/kj_time.h"
#include "standin/endpoint_switches.h"

#include <kj/debug.h>

#include <utility>

namespace endivetrestle::standin {

namespace {

using Json = nlohmann::json;

JsonHttpResponse refuse(unsigned status, const char* reason)
{
    return { status, Json { { "problems", Json::array({ reason }) } }.dump() };
}

JsonHttpResponse malformed() { return refuse(400, "malformed call"); }

// The text field of a call, or nullptr if it is missing or of another type.
const std::string* textOf(const Json& body, const char* key)
{
    const auto field = body.find(key);
    return field != body.end() && field->is_string() ? field->get_ptr<const std::string*>() : nullptr;
}

Json rowJson(const TableRow& row)
{
    return { { "key", row.key }, { "value", row.value }, { "revision", row.revision },
        { "operationId", row.operationId } };
}

JsonHttpResponse putResponse(const TablePutAnswer& answer, const std::string& operationId)
{
    return {
        200,
        Json { { "applied", answer.applied }, { "revision", answer.revision }, { "operationId", operationId } }.dump()
    };
}

} // namespace

StandinPlatform::StandinPlatform(kj::Network& network, kj::Timer& timer, StandinPlatformOptions givenOptions)
    : timer(timer)
    , options(std::move(givenOptions))
    , switches(this->options.switches)
    , random(this->options.seed)
{
    HostVersion first { Time::min(), {} };
    for (const auto& host : this->options.hosts)
        first.hosts[host.host] = host;
    this->hostVersions.push_back(std::move(first));
    JsonHttpServerOptions http;
    http.address = this->options.address;
    http.port = this->options.port;
    http.bodyLimit = std::size_t { 8 } << 20;
    auto listening = JsonHttpServer::listen(
        network, timer, std::move(http), [this](JsonHttpRequest request) { return this->handle(std::move(request)); });
    this->server = kj::mv(listening.server);
    this->listenProblem = std::move(listening.error);
}

std::string StandinPlatform::address() const
{
    const auto& address = this->options.address;
    const bool v6 = address.find(':') != std::string::npos;
    return (v6 ? "[" + address + "]" : address) + ":" + std::to_string(this->port());
}

bool StandinPlatform::isDown(const std::string& path) const
{
    return (this->switches.tableDown && path.starts_with("/table/"))
        || (this->switches.objectsDown && path.starts_with("/objects/"))
        || (this->switches.liveListDown && path == "/hosts");
}

kj::Promise<JsonHttpResponse> StandinPlatform::handle(JsonHttpRequest request)
{
    ++this->counts[request.path];
    if (request.path == "/standin/status")
        return JsonHttpResponse { 200, this->statusText() };
    if (request.path == "/standin/control") {
        auto list = Json::array();
        for (const auto& problem : this->control(request.body))
            list.push_back(toString(problem));
        const unsigned status = list.empty() ? 200 : 400;
        return JsonHttpResponse { status, Json { { "problems", std::move(list) } }.dump() };
    }
    if (this->switches.blackhole)
        return kj::NEVER_DONE;
    if (this->switches.latency == Duration::zero())
        return this->answer(request);
    return this->timer.afterDelay(toKj(this->switches.latency)).then([this, request = std::move(request)] {
        return this->answer(request);
    });
}

kj::Promise<JsonHttpResponse> StandinPlatform::answer(const JsonHttpRequest& request)
{
    if (this->isDown(request.path))
        return refuse(503, "service is down");
    const auto body = Json::parse(request.body, nullptr, false);
    if (!body.is_object())
        return malformed();
    if (request.path == "/table/get")
        return this->tableGet(body);
    if (request.path == "/table/list")
        return this->tableList(body);
    if (request.path == "/table/put")
        return this->afterWrite(this->tablePut(body));
    if (request.path == "/objects/get")
        return this->objectGet(body);
    if (request.path == "/objects/put")
        return this->afterWrite(this->objectPut(body));
    if (request.path == "/hosts")
        return this->listHosts();
    return refuse(404, "unknown path");
}

kj::Promise<JsonHttpResponse> StandinPlatform::afterWrite(JsonHttpResponse response)
{
    bool lost = this->switches.loseAnswers > 0;
    if (lost)
        --this->switches.loseAnswers;
    else if (this->switches.loseAnswerShare > 0)
        lost = std::uniform_real_distribution<double>(0, 1)(this->random) < this->switches.loseAnswerShare;
    if (lost)
        return KJ_EXCEPTION(DISCONNECTED, "answer lost");
    return response;
}

JsonHttpResponse StandinPlatform::tableGet(const Json& body)
{
    const auto* key = textOf(body, "key");
    if (!key)
        return malformed();
    const auto row = this->rows.find(*key);
    return { 200, Json { { "row", row == this->rows.end() ? Json() : rowJson(row->second) } }.dump() };
}

JsonHttpResponse StandinPlatform::tableList(const Json& body)
{
    const auto* prefix = textOf(body, "prefix");
    if (!prefix)
        return malformed();
    auto list = Json::array();
    for (auto row = this->rows.lower_bound(*prefix); row != this->rows.end() && row->first.starts_with(*prefix); ++row)
        list.push_back(rowJson(row->second));
    return { 200, Json { { "rows", std::move(list) } }.dump() };
}

JsonHttpResponse StandinPlatform::tablePut(const Json& body)
{
    const auto* key = textOf(body, "key");
    const auto* value = textOf(body, "value");
    const auto* operationId = textOf(body, "operationId");
    const auto expected = body.find("expectedRevision");
    if (!key || !value || !operationId || operationId->empty() || expected == body.end()
        || !expected->is_number_unsigned())
        return malformed();
    const auto known = this->operations.find(*operationId);
    if (known != this->operations.end())
        return putResponse(known->second, *operationId);
    const auto row = this->rows.find(*key);
    const auto revision = row == this->rows.end() ? 0 : row->second.revision;
    TablePutAnswer answer { revision == expected->get<std::uint64_t>(), revision };
    if (answer.applied) {
        ++answer.revision;
        this->rows[*key] = { *key, *value, answer.revision, *operationId };
        this->operations[*operationId] = answer;
    }
    return putResponse(answer, *operationId);
}

JsonHttpResponse StandinPlatform::objectGet(const Json& body)
{
    const auto* name = textOf(body, "name");
    if (!name)
        return malformed();
    const auto object = this->objects.find(*name);
    return { 200, Json { { "content", object == this->objects.end() ? Json() : Json(object->second) } }.dump() };
}

JsonHttpResponse StandinPlatform::objectPut(const Json& body)
{
    const auto* name = textOf(body, "name");
    const auto* content = textOf(body, "content");
    if (!name || !content)
        return malformed();
    const auto object = this->objects.emplace(*name, *content).first;
    return { 200, Json { { "stored", object->second == *content } }.dump() };
}

JsonHttpResponse StandinPlatform::listHosts()
{
    const auto visible = fromKj(this->timer.now()) - this->switches.liveListLag;
    const auto* version = &this->hostVersions.front();
    for (const auto& candidate : this->hostVersions) {
        if (candidate.since <= visible)
            version = &candidate;
    }
    auto list = Json::array();
    for (const auto& [name, host] : version->hosts) {
        list.push_back({ { "host", name }, { "address", host.address },
            { "state", host.state == HostState::Live ? "live" : "leaving" }, { "dataCentre", host.dataCentre },
            { "region", host.region } });
    }
    return { 200, Json { { "hosts", std::move(list) } }.dump() };
}

} // namespace endivetrestle::standin
