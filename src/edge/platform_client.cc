#include "edge/platform_client.h"

#include "edge/json_http.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <utility>

namespace endivetrestle {

namespace {

using Json = nlohmann::json;

template <typename Answer> StoreResult<Answer> unavailable(std::string detail)
{
    StoreResult<Answer> result;
    result.error = ErrorCode::StoreUnavailable;
    result.detail = std::move(detail);
    return result;
}

bool hasText(const Json& object, const char* key) { return object.contains(key) && object[key].is_string(); }

bool hasNumber(const Json& object, const char* key) { return object.contains(key) && object[key].is_number_unsigned(); }

bool hasBoolean(const Json& object, const char* key) { return object.contains(key) && object[key].is_boolean(); }

std::optional<TableRow> parseRow(const Json& item)
{
    if (!item.is_object() || !hasText(item, "key") || !hasText(item, "value") || !hasNumber(item, "revision")
        || !hasText(item, "operationId"))
        return std::nullopt;
    return TableRow { item["key"], item["value"], item["revision"], item["operationId"] };
}

std::optional<std::optional<TableRow>> parseGet(const Json& body, const std::string& key)
{
    if (!body.contains("row"))
        return std::nullopt;
    if (body["row"].is_null())
        return std::optional<TableRow>();
    auto row = parseRow(body["row"]);
    if (!row || row->key != key)
        return std::nullopt;
    return row;
}

std::optional<std::vector<TableRow>> parseList(const Json& body, const std::string& prefix)
{
    if (!body.contains("rows") || !body["rows"].is_array())
        return std::nullopt;
    std::vector<TableRow> rows;
    for (const auto& item : body["rows"]) {
        auto row = parseRow(item);
        if (!row || !row->key.starts_with(prefix))
            return std::nullopt;
        rows.push_back(std::move(*row));
    }
    return rows;
}

std::optional<TablePutAnswer> parsePut(const Json& body, const std::string& operationId)
{
    if (!hasBoolean(body, "applied") || !hasNumber(body, "revision") || !hasText(body, "operationId")
        || body["operationId"] != operationId)
        return std::nullopt;
    return TablePutAnswer { body["applied"], body["revision"] };
}

std::optional<std::vector<ListedHost>> parseHosts(const Json& body)
{
    if (!body.contains("hosts") || !body["hosts"].is_array())
        return std::nullopt;
    std::vector<ListedHost> hosts;
    for (const auto& item : body["hosts"]) {
        if (!item.is_object() || !hasText(item, "host") || !hasText(item, "address") || !hasText(item, "state"))
            return std::nullopt;
        const bool live = item["state"] == "live";
        if (!live && item["state"] != "leaving")
            return std::nullopt;
        hosts.push_back({ item["host"], item["address"], live ? HostState::Live : HostState::Leaving,
            hasText(item, "dataCentre") ? item["dataCentre"].get<std::string>() : std::string(),
            hasText(item, "region") ? item["region"].get<std::string>() : std::string() });
    }
    return hosts;
}

// Connections to the platform. Each carries one call at a time.
class Channel {
public:
    Channel(kj::Network& network, kj::Timer& timer, PlatformOptions options)
        : network(network)
        , timer(timer)
        , options(std::move(options))
    {
    }

    // Sends a call and parses its answer. A parse function without result makes the answer a mismatch.
    template <typename Answer>
    kj::Promise<StoreResult<Answer>> call(
        kj::StringPtr path, const Json& body, std::function<std::optional<Answer>(const Json&)> parse)
    {
        std::string text;
        try {
            text = body.dump();
        } catch (const Json::exception& exception) {
            return StoreResult<Answer> { ErrorCode::BadRequest, {}, exception.what() };
        }
        auto done = this->exchange(path, std::move(text)).then([parse = std::move(parse)](JsonHttpReply reply) {
            return Channel::read<Answer>(std::move(reply), parse);
        });
        auto late = this->timer.afterDelay(this->options.timeout.count() * kj::MICROSECONDS).then([] {
            return unavailable<Answer>("no answer within the timeout");
        });
        return done.exclusiveJoin(kj::mv(late));
    }

private:
    template <typename Answer>
    static StoreResult<Answer> read(JsonHttpReply reply, const std::function<std::optional<Answer>(const Json&)>& parse)
    {
        if (reply.error != ErrorCode::None)
            return unavailable<Answer>(std::move(reply.detail));
        if (reply.status != 200)
            return unavailable<Answer>("refused with status " + std::to_string(reply.status));
        const auto body = Json::parse(reply.body, nullptr, false);
        auto answer = body.is_object() ? parse(body) : std::nullopt;
        if (!answer)
            return { ErrorCode::AnswerMismatch, {}, "malformed answer" };
        return { ErrorCode::None, std::move(*answer), {} };
    }

    kj::Promise<JsonHttpReply> exchange(kj::StringPtr path, std::string text)
    {
        while (!this->idle.empty()) {
            auto connection = kj::mv(this->idle.back());
            this->idle.pop_back();
            if (connection->usable())
                return this->use(kj::mv(connection), path, std::move(text));
        }
        JsonHttpClientOptions http { this->options.daemon, this->options.dataCentre, this->options.bodyLimit };
        return connectJsonHttp(
            this->network, this->timer, this->options.address, this->options.timeout, std::move(http))
            .then([this, path, text = std::move(text)](JsonHttpConnect connected) mutable {
                if (connected.error != ErrorCode::None) {
                    return kj::Promise<JsonHttpReply>(
                        JsonHttpReply { connected.error, 0, {}, std::move(connected.detail), false });
                }
                return this->use(kj::mv(connected.connection), path, std::move(text));
            });
    }

    kj::Promise<JsonHttpReply> use(kj::Own<JsonHttpConnection> connection, kj::StringPtr path, std::string text)
    {
        auto& reference = *connection;
        return reference.call(kj::HttpMethod::POST, path, std::move(text), this->options.timeout)
            .then([this, connection = kj::mv(connection)](JsonHttpReply reply) mutable {
                if (connection->usable())
                    this->idle.push_back(kj::mv(connection));
                return reply;
            });
    }

    kj::Network& network;
    kj::Timer& timer;
    PlatformOptions options;
    std::vector<kj::Own<JsonHttpConnection>> idle;
};

class HttpTableService final : public TableService {
public:
    HttpTableService(kj::Network& network, kj::Timer& timer, PlatformOptions options)
        : channel(network, timer, std::move(options))
    {
    }

    kj::Promise<StoreResult<std::optional<TableRow>>> get(std::string key) override
    {
        const Json body { { "key", key } };
        return this->channel.call<std::optional<TableRow>>(
            "/table/get", body, [key = std::move(key)](const Json& answer) { return parseGet(answer, key); });
    }

    kj::Promise<StoreResult<std::vector<TableRow>>> list(std::string prefix) override
    {
        const Json body { { "prefix", prefix } };
        return this->channel.call<std::vector<TableRow>>("/table/list", body,
            [prefix = std::move(prefix)](const Json& answer) { return parseList(answer, prefix); });
    }

    kj::Promise<StoreResult<TablePutAnswer>> put(TablePut put) override
    {
        const Json body { { "key", put.key }, { "value", put.value }, { "expectedRevision", put.expectedRevision },
            { "operationId", put.operationId } };
        return this->channel.call<TablePutAnswer>(
            "/table/put", body, [id = std::move(put.operationId)](const Json& answer) { return parsePut(answer, id); });
    }

private:
    Channel channel;
};

class HttpObjectStore final : public ObjectStore {
public:
    HttpObjectStore(kj::Network& network, kj::Timer& timer, PlatformOptions options)
        : channel(network, timer, std::move(options))
    {
    }

    kj::Promise<StoreResult<bool>> put(std::string name, std::string content) override
    {
        const Json body { { "name", std::move(name) }, { "content", std::move(content) } };
        return this->channel.call<bool>("/objects/put", body, [](const Json& answer) {
            return hasBoolean(answer, "stored") ? std::optional<bool>(answer["stored"]) : std::nullopt;
        });
    }

    kj::Promise<StoreResult<std::optional<std::string>>> get(std::string name) override
    {
        using Content = std::optional<std::string>;
        const Json body { { "name", std::move(name) } };
        return this->channel.call<Content>("/objects/get", body, [](const Json& answer) -> std::optional<Content> {
            if (hasText(answer, "content"))
                return Content(answer["content"].get<std::string>());
            if (answer.contains("content") && answer["content"].is_null())
                return Content();
            return std::nullopt;
        });
    }

private:
    Channel channel;
};

class HttpLiveList final : public LiveList {
public:
    HttpLiveList(kj::Network& network, kj::Timer& timer, PlatformOptions options)
        : channel(network, timer, std::move(options))
    {
    }

    kj::Promise<StoreResult<std::vector<ListedHost>>> hosts() override
    {
        return this->channel.call<std::vector<ListedHost>>("/hosts", Json::object(), parseHosts);
    }

private:
    Channel channel;
};

} // namespace

kj::Own<TableService> newTableService(kj::Network& network, kj::Timer& timer, PlatformOptions options)
{
    return kj::heap<HttpTableService>(network, timer, std::move(options));
}

kj::Own<ObjectStore> newObjectStore(kj::Network& network, kj::Timer& timer, PlatformOptions options)
{
    return kj::heap<HttpObjectStore>(network, timer, std::move(options));
}

kj::Own<LiveList> newLiveList(kj::Network& network, kj::Timer& timer, PlatformOptions options)
{
    return kj::heap<HttpLiveList>(network, timer, std::move(options));
}

} // namespace endivetrestle
