#include "edge/peer_calls.h"

#include <nlohmann/json.hpp>

namespace endivetrestle {

namespace {

using nlohmann::json;

// Longest time for which the prover may advise a daemon not to ask. Asking by the age of the proof comes earlier.
constexpr std::uint64_t longestAdviceMs = 3'600'000;

// Text field of a decoded body, or an empty text.
std::string text(const json& body, const char* name)
{
    const auto found = body.find(name);
    return found != body.end() && found->is_string() ? found->get<std::string>() : std::string();
}

std::optional<std::uint64_t> number(const json& body, const char* name)
{
    const auto found = body.find(name);
    if (found == body.end() || !found->is_number_unsigned())
        return std::nullopt;
    return found->get<std::uint64_t>();
}

// Version in a field of a decoded body; no value if the field holds none.
std::optional<StoreVersion> version(const json& body, const char* name) { return parseStoreVersion(text(body, name)); }

std::optional<PrimaryRow> decodePrimary(const json& value)
{
    if (!value.is_object())
        return std::nullopt;
    const auto term = number(value, "term");
    const auto rowVersion = version(value, "version");
    if (!term || !rowVersion || text(value, "group").empty() || text(value, "endpoint").empty())
        return std::nullopt;
    PrimaryRow row;
    row.group = DatabaseId(text(value, "group"));
    row.endpoint = EndpointId(text(value, "endpoint"));
    row.term = *term;
    row.writer = DaemonId(text(value, "writer"));
    row.version = *rowVersion;
    const auto holders = value.find("holders");
    if (holders != value.end()) {
        auto list = holders->is_array() ? decodeHolders(*holders) : std::nullopt;
        if (!list)
            return std::nullopt;
        row.holders = std::move(*list);
    }
    row.assumeEarlierRelease();
    const auto claim = version(value, "claim");
    const auto previousEpoch = version(value, "previous_epoch");
    if (claim && previousEpoch) {
        row.finishedClaim = *claim;
        row.previousEpoch = *previousEpoch;
    }
    return row;
}

} // namespace

std::string encodeMessage(const Claim& claim)
{
    return json {
        { "group", claim.group.value }, { "claim", toString(claim.version) },
        { "previous_epoch", toString(claim.previousEpoch) }
    }.dump();
}

std::string encodeMessage(const ReachableQuestion& question)
{
    return json { { "group", question.group.value }, { "endpoint", question.endpoint.value } }.dump();
}

std::string encodeMessage(const std::vector<PrimaryRow>& rows)
{
    json list = json::array();
    for (const auto& row : rows) {
        list.push_back({ { "group", row.group.value }, { "endpoint", row.endpoint.value }, { "term", row.term },
            { "version", toString(row.version) }, { "writer", row.writer.value },
            { "claim", toString(row.finishedClaim) }, { "previous_epoch", toString(row.previousEpoch) } });
        if (!row.holders.empty())
            list.back()["holders"] = encodeHolders(row.holders);
    }
    return json { { "rows", list } }.dump();
}

std::string encodeMessage(const LeaseRenewal& renewal)
{
    const auto row = encodeRow(renewal.row);
    return json {
        { "daemon", row.key }, { "lease", row.value }, { "version", toString(renewal.rowVersion) },
        { "urgent", renewal.urgent }
    }.dump();
}

std::string encodeMessage(const StoreResult& result)
{
    return json {
        { "done", result.status == StoreStatus::Done }, { "version", toString(result.version) },
        { "clock", result.storeMs }, { "epoch", epochVersionIn(result).number }
    }.dump();
}

std::string encodeMessage(const std::optional<StoreVersion>& newestClaim)
{
    return newestClaim ? json { { "claim", toString(*newestClaim) } }.dump() : std::string("{}");
}

std::string encodeMessage(const BootstrapAnswer& answer)
{
    json leases = json::array();
    for (const auto& lease : answer.leases) {
        const auto row = encodeRow(lease);
        leases.push_back({ { "daemon", row.key }, { "lease", row.value } });
    }
    json body { { "leases", leases } };
    if (const auto& row = answer.configuration)
        body["configuration"] = { { "key", row->key }, { "value", row->value }, { "version", toString(row->version) } };
    return body.dump();
}

std::optional<StoreVersion> decodeBootstrapQuestion(const std::string& body)
{
    const auto value = json::parse(body, nullptr, false);
    return value.is_object() ? version(value, "version") : std::nullopt;
}

std::optional<BootstrapAnswer> decodeBootstrapAnswer(const std::string& body)
{
    const auto value = json::parse(body, nullptr, false);
    if (!value.is_object() || !value.contains("leases") || !value["leases"].is_array())
        return std::nullopt;
    BootstrapAnswer answer;
    for (const auto& entry : value["leases"]) {
        StoreRow row;
        row.key = entry.is_object() ? text(entry, "daemon") : std::string();
        row.value = entry.is_object() ? text(entry, "lease") : std::string();
        auto lease = decodeLeaseRow(row);
        if (!lease)
            return std::nullopt;
        answer.leases.push_back(std::move(*lease));
    }
    const auto configuration = value.find("configuration");
    if (configuration == value.end())
        return answer;
    const auto rowVersion = configuration->is_object() ? version(*configuration, "version") : std::nullopt;
    if (!rowVersion)
        return std::nullopt;
    answer.configuration
        = StoreRow { "", text(*configuration, "key"), text(*configuration, "value"), *rowVersion, false };
    return answer;
}

std::string encodeMessage(const ConfigurationQuestion& question)
{
    return json { { "version", toString(question.known) } }.dump();
}

std::string encodeMessage(const ConfigurationAnswer& answer)
{
    const auto askAgainIn = std::chrono::duration_cast<std::chrono::milliseconds>(answer.askAgainIn);
    json body { { "proven", answer.proven }, { "version", toString(answer.version) },
        { "ask_again_ms", static_cast<std::uint64_t>(askAgainIn.count()) } };
    if (const auto& row = answer.row)
        body["configuration"] = { { "key", row->key }, { "value", row->value }, { "version", toString(row->version) } };
    return body.dump();
}

std::optional<ConfigurationQuestion> decodeConfigurationQuestion(const std::string& body)
{
    const auto known = decodeBootstrapQuestion(body);
    return known ? std::optional(ConfigurationQuestion { *known }) : std::nullopt;
}

std::optional<ConfigurationAnswer> decodeConfigurationAnswer(const std::string& body)
{
    const auto value = json::parse(body, nullptr, false);
    if (!value.is_object() || !value.contains("proven") || !value["proven"].is_boolean())
        return std::nullopt;
    const auto rowVersion = version(value, "version");
    const auto askAgainMs = number(value, "ask_again_ms");
    if (!rowVersion || !askAgainMs || *askAgainMs > longestAdviceMs)
        return std::nullopt;
    ConfigurationAnswer answer { value["proven"].get<bool>(), *rowVersion, std::nullopt,
        std::chrono::milliseconds(*askAgainMs) };
    const auto configuration = value.find("configuration");
    if (configuration == value.end())
        return answer;
    const auto sentVersion = configuration->is_object() ? version(*configuration, "version") : std::nullopt;
    if (!sentVersion)
        return std::nullopt;
    answer.row = StoreRow { "", text(*configuration, "key"), text(*configuration, "value"), *sentVersion, false };
    return answer;
}

std::optional<Claim> decodeClaim(const std::string& body)
{
    const auto value = json::parse(body, nullptr, false);
    if (!value.is_object())
        return std::nullopt;
    const auto claim = version(value, "claim");
    const auto group = text(value, "group");
    if (!claim || group.empty())
        return std::nullopt;
    return Claim { DatabaseId(group), *claim, version(value, "previous_epoch").value_or(*claim) };
}

std::optional<ReachableQuestion> decodeReachableQuestion(const std::string& body)
{
    const auto value = json::parse(body, nullptr, false);
    if (!value.is_object() || text(value, "group").empty() || text(value, "endpoint").empty())
        return std::nullopt;
    return ReachableQuestion { DatabaseId(text(value, "group")), EndpointId(text(value, "endpoint")) };
}

std::optional<std::vector<PrimaryRow>> decodePrimaryMessage(const std::string& body)
{
    const auto value = json::parse(body, nullptr, false);
    if (!value.is_object())
        return std::nullopt;
    const auto list = value.find("rows");
    if (list == value.end() || !list->is_array())
        return std::nullopt;
    std::vector<PrimaryRow> rows;
    for (const auto& entry : *list) {
        const auto row = decodePrimary(entry);
        if (!row)
            return std::nullopt;
        rows.push_back(*row);
    }
    return rows;
}

std::optional<LeaseRenewal> decodeRenewalMessage(const std::string& body)
{
    const auto value = json::parse(body, nullptr, false);
    if (!value.is_object())
        return std::nullopt;
    const auto rowVersion = version(value, "version");
    const auto row = decodeLeaseRow({ leaseTable, text(value, "daemon"), text(value, "lease") });
    if (!rowVersion || !row || row->daemon.empty())
        return std::nullopt;
    return LeaseRenewal { *row, *rowVersion, value.value("urgent", json()) == json(true) };
}

std::optional<StoreResult> decodeRenewalAnswer(const std::string& body)
{
    const auto value = json::parse(body, nullptr, false);
    if (!value.is_object())
        return std::nullopt;
    const auto storeVersion = version(value, "version");
    const auto clock = value.find("clock");
    if (!storeVersion || clock == value.end() || !clock->is_number_integer())
        return std::nullopt;
    StoreResult result;
    result.status = value.value("done", json()) == json(true) ? StoreStatus::Done : StoreStatus::Refused;
    result.version = *storeVersion;
    result.storeMs = clock->get<std::int64_t>();
    const auto era = storeVersion->era;
    if (const auto epoch = number(value, "epoch").value_or(0); epoch != 0)
        result.rows.push_back({ fleetTable, toString(EraKey { era, epochKey }), "", { era, epoch } });
    return result;
}

HttpServer::Answer withCallNumber(const HttpRequest& request, HttpServer::Answer answer)
{
    const auto found = request.headers.find(peerCallHeader);
    if (found == request.headers.end())
        return answer;
    return [answer = std::move(answer), number = found->second](HttpResponse response) {
        response.headers.emplace_back(peerCallHeader, number);
        answer(std::move(response));
    };
}

HttpAnswerMatch matchCallNumber(const std::string& number, const HttpAnswer& answer)
{
    const auto answered = answer.header(peerCallHeader);
    if (!answered)
        return HttpAnswerMatch::Possible;
    return *answered == number ? HttpAnswerMatch::Proven : HttpAnswerMatch::Impossible;
}

PeerCalls::PeerCalls(asio::io_context& context)
    : context(context)
{
}

LoopHttpClient& PeerCalls::clientFor(const SocketAddress& address)
{
    auto& client = this->clients[address];
    if (!client)
        client = std::make_unique<LoopHttpClient>(this->context, address);
    return *client;
}

HttpCall PeerCalls::makeCall(const char* path, std::string body)
{
    const auto number = std::to_string(++this->lastCall);
    HttpCall call;
    call.method = "POST";
    call.target = path;
    call.headers = { { "Content-Type", "application/json" }, { peerCallHeader, number } };
    call.body = std::move(body);
    call.match = [number](const HttpAnswer& answer) { return matchCallNumber(number, answer); };
    return call;
}

void PeerCalls::suspend(const SocketAddress& address, const Claim& claim, std::function<void(PeerStatus)> callback)
{
    constexpr int ok = 200;
    this->clientFor(address).send(makeCall(peerSuspendPath, encodeMessage(claim)), suspendTimeout,
        [callback = std::move(callback)](
            const HttpAnswer& answer) { callback(answer.status == ok ? PeerStatus::Done : PeerStatus::Unanswered); });
}

void PeerCalls::announce(const SocketAddress& address, const std::vector<PrimaryRow>& rows)
{
    this->clientFor(address).send(
        makeCall(peerPrimaryPath, encodeMessage(rows)), suspendTimeout, [](const HttpAnswer&) {});
}

void PeerCalls::renew(const SocketAddress& address, const LeaseRenewal& renewal, Duration timeout,
    std::function<Time()> now, TableStore::Callback callback)
{
    const auto sentAt = now();
    auto call = makeCall(peerRenewPath, encodeMessage(renewal));
    if (renewal.urgent)
        call.connectLimit = urgentConnectLimit;
    this->clientFor(address).send(std::move(call), timeout,
        [callback = std::move(callback), now = std::move(now), sentAt](const HttpAnswer& answer) {
            auto result = decodeRenewalAnswer(answer.body).value_or(StoreResult());
            // What was not sent has not been done.
            if (answer.status == 0 && !answer.mayHaveRun)
                result.status = StoreStatus::Refused;
            result.sentAt = sentAt;
            result.answeredAt = now();
            callback(result);
        });
}

void PeerCalls::askWitness(const SocketAddress& address, std::function<void(std::optional<StoreVersion>)> callback)
{
    this->clientFor(address).send(
        makeCall(peerWitnessPath, "{}"), suspendTimeout, [callback = std::move(callback)](const HttpAnswer& answer) {
            const auto body = json::parse(answer.body, nullptr, false);
            callback(body.is_object() ? version(body, "claim") : std::nullopt);
        });
}

void PeerCalls::askBootstrap(const SocketAddress& address, StoreVersion rowVersion,
    std::function<void(const std::optional<BootstrapAnswer>&)> callback)
{
    this->clientFor(address).send(makeCall(peerBootstrapPath, json { { "version", toString(rowVersion) } }.dump()),
        bootstrapTimeout, [callback = std::move(callback)](const HttpAnswer& answer) {
            callback(answer.status == 200 ? decodeBootstrapAnswer(answer.body) : std::nullopt);
        });
}

void PeerCalls::askReachable(
    const SocketAddress& address, const ReachableQuestion& question, std::function<void(std::optional<bool>)> callback)
{
    this->clientFor(address).send(makeCall(peerReachablePath, encodeMessage(question)), reachableTimeout,
        [callback = std::move(callback)](const HttpAnswer& answer) {
            const auto body = json::parse(answer.body, nullptr, false);
            if (!body.is_object() || !body.contains("reachable") || !body["reachable"].is_boolean())
                callback(std::nullopt);
            else
                callback(body["reachable"].get<bool>());
        });
}

void PeerCalls::askConfiguration(const SocketAddress& address, const ConfigurationQuestion& question,
    std::function<void(const std::optional<ConfigurationAnswer>&)> callback)
{
    auto call = makeCall(peerConfigurationPath, encodeMessage(question));
    // An answer without a number may be a late copy, and prove what was true for an earlier question only. Every
    // release that knows this call repeats the number.
    call.match = [match = std::move(call.match)](const HttpAnswer& answer) {
        const auto result = match(answer);
        const bool isUnnumberedAnswer = result == HttpAnswerMatch::Possible && answer.status == 200;
        return isUnnumberedAnswer ? HttpAnswerMatch::Impossible : result;
    };
    this->clientFor(address).send(
        std::move(call), ConfigurationProof::proverTimeout, [callback = std::move(callback)](const HttpAnswer& answer) {
            callback(answer.status == 200 ? decodeConfigurationAnswer(answer.body) : std::nullopt);
        });
}

} // namespace endivetrestle
