#include "store.hpp"

#include <algorithm>

namespace review {

namespace {

using nlohmann::json;

constexpr std::chrono::milliseconds callLatency { 4 };
constexpr std::chrono::milliseconds transactionLatency { 5 };
constexpr std::size_t mostRows = 500;

const std::string base64Digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string encodeBase64(const std::string& value)
{
    std::string text;
    for (std::size_t i = 0; i < value.size(); i += 3) {
        unsigned bits = 0;
        for (std::size_t k = 0; k < 3; ++k)
            bits = bits << 8U | (i + k < value.size() ? static_cast<unsigned char>(value[i + k]) : 0U);
        for (std::size_t k = 0; k < 4; ++k)
            text += i + k <= value.size() ? base64Digits[bits >> (18U - 6U * k) & 63U] : '=';
    }
    return text;
}

std::string decodeBase64(const std::string& text)
{
    std::string value;
    unsigned bits = 0;
    int count = 0;
    for (const char digit : text) {
        const auto place = base64Digits.find(digit);
        if (place == std::string::npos)
            break;
        bits = bits << 6U | static_cast<unsigned>(place);
        count += 6;
        if (count >= 8) {
            count -= 8;
            value += static_cast<char>(bits >> static_cast<unsigned>(count) & 0xffU);
        }
    }
    return value;
}

json encodeRow(const std::string& table, const std::string& key, const std::string& value, std::uint64_t version)
{
    return { { "Table", table }, { "part", "" }, { "Key", key }, { "Value", encodeBase64(value) },
        { "SchemaVersion", version } };
}

std::string parameter(const HttpRequest& request, const std::string& name)
{
    const auto found = request.query.find(name);
    return found == request.query.end() ? "" : found->second;
}

} // namespace

Platform::Platform(asio::io_context& context, const asio::ip::address& address, Record& record)
    : context(context)
    , record(record)
    , server(context, { address, 0 },
          [this](const HttpRequest& request, const HttpServer::Answer& answer) { this->handle(request, answer); })
    , ticker(context)
{
    this->tick();
}

std::int64_t Platform::nowMs() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now().time_since_epoch()).count();
}

void Platform::later(std::chrono::milliseconds delay, std::function<void()> action)
{
    const auto timer = std::make_shared<asio::steady_timer>(this->context, delay);
    timer->async_wait([timer, action = std::move(action)](const asio::error_code& error) {
        if (!error)
            action();
    });
}

void Platform::tick()
{
    this->answerWatches();
    this->ticker.expires_after(std::chrono::milliseconds(5));
    this->ticker.async_wait([this](const asio::error_code& error) {
        if (!error)
            this->tick();
    });
}

void Platform::put(const std::string& table, const std::string& key, const json& value)
{
    this->rows[{ table, key }] = { value.dump(), ++this->version, false };
    this->record.write("store: " + table + "/" + key + " = " + value.dump());
    this->answerWatches();
}

std::optional<std::string> Platform::find(const std::string& table, const std::string& key) const
{
    const auto found = this->rows.find({ table, key });
    if (found == this->rows.end() || found->second.removed)
        return std::nullopt;
    return found->second.value;
}

void Platform::handle(const HttpRequest& request, const HttpServer::Answer& answer)
{
    if (request.path == "/v1/rows-get") {
        this->later(callLatency, [this, request, answer] { answer(this->read(request)); });
        return;
    }
    if (request.path == "/v1/rows-feed") {
        const auto wait = std::chrono::milliseconds(std::stol(parameter(request, "WaitMs")));
        this->watches.push_back(
            { parameter(request, "Table"), std::stoull(parameter(request, "after")), Clock::now() + wait, answer });
        return;
    }
    const auto body = json::parse(request.body, nullptr, false);
    if (request.path == "/promote" && body.is_object()) {
        this->record.write("platform: promote " + request.body + " holder " + request.headers.at("duty-holder")
            + " token " + request.headers.at("fence-token"));
        const int status = this->promote(body.at("Service"), body.at("Id"));
        this->later(callLatency, [answer, status] { answer({ status, "{}" }); });
        return;
    }
    if (request.path != "/v1/rows-tx" || !body.is_object()) {
        answer({ 404, "{}" });
        return;
    }
    const auto trouble = this->trouble ? this->trouble(body) : CallTrouble();
    this->later(transactionLatency + trouble.doneAfter, [this, body, answer, trouble] {
        const auto response = this->change(body);
        if (trouble.answered)
            answer(response);
    });
}

HttpResponse Platform::change(const json& body)
{
    json present = json::array();
    bool holds = true;
    for (const auto& condition : body.at("Expect")) {
        const Key key { condition.at("Table"), condition.at("Key") };
        const auto found = this->rows.find(key);
        const bool exists = found != this->rows.end() && !found->second.removed;
        holds = holds && condition.at("SchemaVersion") == (exists ? found->second.version : 0);
        if (exists)
            present.push_back(encodeRow(key.first, key.second, found->second.value, found->second.version));
    }
    const json clock { { "SchemaVersion", this->version }, { "NowMs", this->nowMs() } };
    if (!holds) {
        this->record.write("store: 412 for " + body.dump());
        auto answer = clock;
        answer["rows"] = present;
        return { 412, answer.dump() };
    }
    for (const char* list : { "SetKeys", "Remove" }) {
        for (const auto& row : body.at(list)) {
            if (row.at("Table") == "op" || row.at("Table") == "servers")
                return { 403, "{}" };
        }
    }
    ++this->version;
    for (const auto& row : body.at("SetKeys")) {
        const auto value = decodeBase64(row.at("Value"));
        this->rows[{ row.at("Table"), row.at("Key") }] = { value, this->version, false };
        this->record.write("store: version " + std::to_string(this->version) + " sets "
            + row.at("Table").get<std::string>() + "/" + row.at("Key").get<std::string>() + " = " + value);
    }
    for (const auto& row : body.at("Remove")) {
        this->rows[{ row.at("Table"), row.at("Key") }] = { "", this->version, true };
        this->record.write("store: version " + std::to_string(this->version) + " removes "
            + row.at("Table").get<std::string>() + "/" + row.at("Key").get<std::string>());
    }
    this->answerWatches();
    return { 200, json { { "SchemaVersion", this->version }, { "NowMs", this->nowMs() } }.dump() };
}

HttpResponse Platform::read(const HttpRequest& request) const
{
    const auto table = parameter(request, "Table");
    const auto from = parameter(request, "From");
    const auto target = parameter(request, "Target");
    const auto limit = parameter(request, "Limit");
    const auto most = limit.empty() ? mostRows : std::min(mostRows, static_cast<std::size_t>(std::stoul(limit)));
    json list = json::array();
    bool more = false;
    for (const auto& [key, row] : this->rows) {
        const bool wanted
            = key.first == table && !row.removed && key.second >= from && (target.empty() || key.second < target);
        if (!wanted)
            continue;
        if (list.size() == most) {
            more = true;
            break;
        }
        list.push_back(encodeRow(table, key.second, row.value, row.version));
    }
    return { 200,
        json { { "rows", list }, { "HasMore", more }, { "SchemaVersion", this->version }, { "NowMs", this->nowMs() } }
            .dump() };
}

json Platform::changesSince(const std::string& table, std::uint64_t after) const
{
    std::vector<json> changed;
    for (const auto& [key, row] : this->rows) {
        if (key.first != table || row.version <= after)
            continue;
        changed.push_back(encodeRow(table, key.second, row.value, row.version));
        if (row.removed)
            changed.back()["Deleted"] = true;
    }
    std::sort(changed.begin(), changed.end(), [](const json& left, const json& right) {
        return left.at("SchemaVersion").get<std::uint64_t>() < right.at("SchemaVersion").get<std::uint64_t>();
    });
    return changed;
}

void Platform::answerWatches()
{
    for (auto watch = this->watches.begin(); watch != this->watches.end();) {
        const auto changed = this->changesSince(watch->table, watch->after);
        if (changed.empty() && watch->until > Clock::now()) {
            ++watch;
            continue;
        }
        watch->answer({ 200,
            json { { "rows", changed.is_null() ? json::array() : changed }, { "SchemaVersion", this->version },
                { "NowMs", this->nowMs() } }
                .dump() });
        watch = this->watches.erase(watch);
    }
}

} // namespace review
