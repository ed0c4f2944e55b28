#include "soak/standin_store.h"

#include "base/boot_clock.h"
#include "platform/store_client.h"

#include <nlohmann/json.hpp>

namespace endivetrestle::soak {

namespace {

using nlohmann::json;

constexpr int ok = 200;
constexpr int conflict = 412;
constexpr int gone = 410;
constexpr int unavailable = 503;

// Interval at which copies are kept, and the age of the oldest one.
constexpr std::int64_t copyIntervalMs = 250;
constexpr std::int64_t oldestCopyMs = 12'000;

// Value of a query parameter, with percent escapes undone.
std::string parameter(const std::string& query, const std::string& name)
{
    const auto begin = ("&" + query).find("&" + name + "=");
    if (begin == std::string::npos)
        return "";
    const auto from = begin + name.size() + 1;
    const auto raw = query.substr(from, query.find('&', from) - from);
    std::string text;
    for (std::size_t i = 0; i < raw.size(); ++i) {
        if (raw[i] == '%' && i + 2 < raw.size()) {
            text += static_cast<char>(std::stoi(raw.substr(i + 1, 2), nullptr, 16));
            i += 2;
        } else
            text += raw[i];
    }
    return text;
}

json encodeRow(const std::string& table, const std::string& key, const std::string& value, std::uint64_t version)
{
    return { { "Table", table }, { "part", "" }, { "Key", key }, { "Value", platform::encodeBase64(value) },
        { "SchemaVersion", version } };
}

} // namespace

StandinStore::StandinStore(asio::io_context& context, std::mt19937_64& random, Promote promote)
    : context(context)
    , random(random)
    , promote(std::move(promote))
{
}

std::size_t StandinStore::addClient(View view)
{
    const auto number = this->clients.size();
    auto& client = this->clients.emplace_back();
    client.view = std::move(view);
    client.server = std::make_unique<HttpServer>(this->context, HttpServerSettings {},
        [this, number](
            const HttpRequest& request, const HttpServer::Answer& answer) { this->handle(number, request, answer); });
    return number;
}

void StandinStore::forgetWatches(std::size_t client)
{
    std::erase_if(this->watches, [client](const Watch& watch) { return watch.client == client; });
}

std::int64_t StandinStore::nowMs() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(bootNow().time_since_epoch()).count();
}

void StandinStore::put(const std::string& table, const std::string& key, const std::string& value)
{
    this->rows[{ table, key }] = { value, ++this->version, false };
}

void StandinStore::remove(const std::string& table, const std::string& key)
{
    this->rows[{ table, key }] = { "", ++this->version, true };
}

void StandinStore::compact() { this->compactedTo = this->version; }

void StandinStore::keepCopy()
{
    const auto now = this->nowMs();
    if (!this->copies.empty() && now < this->copies.back().atMs + copyIntervalMs)
        return;
    this->copies.push_back({ now, this->rows, this->version });
    while (this->copies.front().atMs < now - oldestCopyMs)
        this->copies.pop_front();
}

void StandinStore::restore(std::chrono::milliseconds age)
{
    const auto wanted = this->nowMs() - age.count();
    while (this->copies.size() > 1 && this->copies.back().atMs > wanted)
        this->copies.pop_back();
    this->rows = this->copies.back().rows;
    this->version = this->copies.back().version;
    ++this->era;
    for (const auto& watch : std::exchange(this->watches, {}))
        watch.answer(this->respond(unavailable, "{}"));
}

HttpResponse StandinStore::respond(int status, const std::string& body) const
{
    return { status, "application/json", body, { { "Store-Era", std::to_string(this->era) } } };
}

void StandinStore::handle(std::size_t number, const HttpRequest& request, const HttpServer::Answer& answer)
{
    const auto& client = this->clients.at(number);
    if (this->down || client.refused) {
        answer(this->respond(unavailable, "{}"));
        return;
    }
    if (request.path == "/v1/rows-feed") {
        this->watch(number, request.query, answer);
        return;
    }
    if (request.path == "/v1/rows-get") {
        answer(this->read(client, request.query));
        return;
    }
    const auto response = request.path == "/promote" ? this->promotion(request) : this->change(client, request.body);
    // A lost answer keeps the caller waiting until it gives up.
    if (std::uniform_real_distribution<double>(0, 1)(this->random) >= this->loseAnswers)
        answer(response);
}

HttpResponse StandinStore::read(const Client& client, const std::string& query)
{
    const auto table = parameter(query, "Table");
    json list = json::array();
    for (const auto& [key, row] : this->rows) {
        if (key.first == table && !row.removed)
            list.push_back(encodeRow(table, key.second, client.view(table, key.second, row.value), row.version));
    }
    const json body { { "rows", list }, { "HasMore", false }, { "SchemaVersion", this->version },
        { "NowMs", this->nowMs() } };
    return this->respond(ok, body.dump());
}

HttpResponse StandinStore::change(const Client& client, const std::string& body)
{
    const auto request = json::parse(body, nullptr, false);
    json present = json::array();
    bool holds = true;
    for (const auto& condition : request.at("Expect")) {
        const Key key { condition.at("Table"), condition.at("Key") };
        const auto found = this->rows.find(key);
        const bool exists = found != this->rows.end() && !found->second.removed;
        holds = holds && condition.at("SchemaVersion") == (exists ? found->second.version : 0);
        if (exists)
            present.push_back(encodeRow(
                key.first, key.second, client.view(key.first, key.second, found->second.value), found->second.version));
    }
    if (!holds) {
        const json current { { "rows", present }, { "SchemaVersion", this->version }, { "NowMs", this->nowMs() } };
        return this->respond(conflict, current.dump());
    }
    ++this->version;
    for (const auto& row : request.at("SetKeys")) {
        std::string value;
        platform::decodeBase64(row.at("Value"), value);
        this->rows[{ row.at("Table"), row.at("Key") }] = { value, this->version, false };
    }
    for (const auto& row : request.at("Remove"))
        this->rows[{ row.at("Table"), row.at("Key") }] = { "", this->version, true };
    const json done { { "SchemaVersion", this->version }, { "NowMs", this->nowMs() } };
    return this->respond(ok, done.dump());
}

std::string StandinStore::changedSince(const Watch& watch, bool& any) const
{
    const auto& view = this->clients.at(watch.client).view;
    json list = json::array();
    for (const auto& [key, row] : this->rows) {
        if (key.first != watch.table || row.version <= watch.after)
            continue;
        list.push_back(encodeRow(watch.table, key.second, view(watch.table, key.second, row.value), row.version));
        if (row.removed)
            list.back()["Deleted"] = true;
    }
    any = !list.empty();
    return json { { "rows", list }, { "SchemaVersion", this->version }, { "NowMs", this->nowMs() } }.dump();
}

void StandinStore::watch(std::size_t client, const std::string& query, const HttpServer::Answer& answer)
{
    Watch watch { client, parameter(query, "Table"), std::stoull(parameter(query, "after")),
        this->nowMs() + std::stoll(parameter(query, "WaitMs")), answer };
    if (watch.after < this->compactedTo || watch.after > this->version)
        answer(this->respond(gone, "{}"));
    else
        this->watches.push_back(std::move(watch));
}

void StandinStore::tick()
{
    this->keepCopy();
    std::vector<Watch> kept;
    for (auto& watch : std::exchange(this->watches, {})) {
        bool any = false;
        const auto body = this->changedSince(watch, any);
        if (this->down || this->clients.at(watch.client).refused)
            watch.answer(this->respond(unavailable, "{}"));
        else if (any || watch.untilMs <= this->nowMs())
            watch.answer(this->respond(ok, body));
        else
            kept.push_back(std::move(watch));
    }
    this->watches = std::move(kept);
}

HttpResponse StandinStore::promotion(const HttpRequest& request)
{
    const auto body = json::parse(request.body, nullptr, false);
    const auto token = request.headers.find("Fence-Token");
    const auto number = token == request.headers.end() ? 0 : std::stoull(token->second);
    const auto holder = request.headers.find("Duty-Holder");
    const auto name = holder == request.headers.end() ? std::string() : holder->second;
    return this->respond(this->promote(body.at("Service"), body.at("Id"), name, number), "{}");
}

} // namespace endivetrestle::soak
