#include "edge/peer_calls.h"

#include "edge/scripted_http_server_test.h"

#include <asio.hpp>
#include <catch2/catch.hpp>
#include <optional>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

using namespace endivetrestle;
using namespace std::chrono_literals;

namespace {

LeaseRenewal sampleRenewal()
{
    LeaseRenewal renewal;
    renewal.row.daemon = DaemonId("d1");
    renewal.row.incarnation = "77";
    renewal.row.address = { "10.0.0.1", 7440 };
    renewal.row.forwardAddress = { "10.0.0.1", 7441 };
    renewal.row.dataCentre = DataCentre("bkk-a");
    renewal.row.untilStoreMs = 123456789;
    renewal.row.epochVersion = { 4, 9 };
    renewal.row.capacity = { 280, 10000 };
    renewal.rowVersion = { 4, 8 };
    renewal.urgent = true;
    return renewal;
}

} // namespace

TEST_CASE("PeerCalls, keeps a renewal")
{
    CHECK(decodeRenewalMessage(encodeMessage(sampleRenewal())) == sampleRenewal());
}

TEST_CASE("PeerCalls, tells whether a renewal was done, with version and clock")
{
    StoreResult result;
    result.status = StoreStatus::Done;
    result.version = { 4, 31 };
    result.storeMs = -5;
    const auto done = decodeRenewalAnswer(encodeMessage(result));
    REQUIRE(done);
    CHECK(done->status == StoreStatus::Done);
    CHECK(done->version == StoreVersion { 4, 31 });
    CHECK(done->storeMs == -5);
    // Guards against a daemon that takes a conflict, which another daemon's row may have caused, for its own.
    result.status = StoreStatus::Conflict;
    CHECK(decodeRenewalAnswer(encodeMessage(result))->status == StoreStatus::Refused);
}

// Guards against a direct renewal of each daemon, which fails as well, whenever a primary changes.
TEST_CASE("PeerCalls, tells the epoch that made a renewal fail")
{
    StoreResult result;
    result.status = StoreStatus::Conflict;
    result.version = { 4, 31 };
    result.rows.push_back({ fleetTable, "4/epoch", "{}", { 4, 30 } });
    const auto answer = decodeRenewalAnswer(encodeMessage(result));
    REQUIRE(answer);
    CHECK(epochVersionIn(*answer) == StoreVersion { 4, 30 });
    result.rows.clear();
    CHECK_FALSE(epochVersionIn(*decodeRenewalAnswer(encodeMessage(result))).isSet());
}

// Guards against a daemon that ends because another one sends rubbish.
TEST_CASE("PeerCalls, finds no message in bodies that are none")
{
    for (const char* body :
        { "", "[]", "{}", "{\"daemon\":5}", "{\"daemon\":\"d\",\"lease\":\"{}\",\"version\":\"1.1\"}",
            R"({"daemon":"d","lease":"{\"address\":5}","version":"1.1"})",
            R"({"daemon":"d","lease":"{\"address\":\"1.2.3.4:5\",\"forward\":\"1.2.3.4:5\",\"until\":\"x\"}","version":"1.1"})",
            "{\"done\":true}", "{\"version\":\"x\",\"clock\":1}" }) {
        CAPTURE(body);
        CHECK_FALSE(decodeRenewalMessage(body));
        CHECK_FALSE(decodeRenewalAnswer(body));
    }
    rc::prop("damaged messages", [] {
        auto body = encodeMessage(sampleRenewal());
        const auto at = *rc::gen::inRange<std::size_t>(0, body.size());
        body[at] = static_cast<char>(*rc::gen::inRange(1, 256));
        decodeRenewalMessage(body);
        decodeRenewalAnswer(body);
        return true;
    });
}

TEST_CASE("PeerCalls, keeps announced primaries")
{
    const PrimaryRow first { DatabaseId("a"), false, EndpointId("e1"), 3, DaemonId("d1"), { 4, 9 } };
    const PrimaryRow second { DatabaseId("b"), false, EndpointId("e2"), 1, DaemonId("d1"), { 4, 9 } };
    CHECK(decodePrimaryMessage(encodeMessage({ first, second })) == std::vector<PrimaryRow> { first, second });
}

// Guards against a daemon that takes part of a damaged announcement for the whole.
TEST_CASE("PeerCalls, finds no announcement in damaged bodies")
{
    for (const char* body : { "", "[]", "{}", "{\"rows\":5}", "{\"rows\":[5]}", "{\"rows\":[{\"group\":\"a\"}]}" }) {
        CAPTURE(body);
        CHECK_FALSE(decodePrimaryMessage(body));
    }
}

namespace {

BootstrapAnswer sampleBootstrap()
{
    BootstrapAnswer answer;
    answer.configuration = StoreRow { "", "config", R"({"Version":7})", { 4, 41 }, false };
    answer.leases.push_back(sampleRenewal().row);
    return answer;
}

} // namespace

TEST_CASE("PeerCalls, keeps the configuration and the leases of a bootstrap answer")
{
    const auto answer = sampleBootstrap();
    const auto decoded = decodeBootstrapAnswer(encodeMessage(answer));
    REQUIRE(decoded);
    CHECK(decoded->configuration == answer.configuration);
    REQUIRE(decoded->leases.size() == 1);
    CHECK(decoded->leases[0].daemon == answer.leases[0].daemon);
    CHECK(decoded->leases[0].forwardAddress == answer.leases[0].forwardAddress);
    CHECK(decoded->leases[0].dataCentre == answer.leases[0].dataCentre);
    auto unchanged = answer;
    unchanged.configuration.reset();
    CHECK_FALSE(decodeBootstrapAnswer(encodeMessage(unchanged))->configuration);
}

// Guards against a daemon that ends, or goes by half an answer, because another one sends rubbish.
TEST_CASE("PeerCalls, finds no bootstrap answer in damaged bodies")
{
    for (const char* body : { "", "[]", "{}", R"({"leases":5})", R"({"leases":[5]})", R"({"leases":[{"daemon":"d"}]})",
             R"({"leases":[],"configuration":5})", R"({"leases":[],"configuration":{"key":"c","value":"{}"}})" }) {
        CAPTURE(body);
        CHECK_FALSE(decodeBootstrapAnswer(body));
        CHECK_FALSE(decodeBootstrapQuestion(body));
    }
    rc::prop("damaged answers", [] {
        auto body = encodeMessage(sampleBootstrap());
        const auto at = *rc::gen::inRange<std::size_t>(0, body.size());
        body[at] = static_cast<char>(*rc::gen::inRange(1, 256));
        decodeBootstrapAnswer(body);
        decodeBootstrapQuestion(body);
        return true;
    });
}

namespace {

ConfigurationAnswer sampleConfigurationAnswer()
{
    return { true, { 4, 41 }, StoreRow { "", "config", R"({"Version":7})", { 4, 41 }, false }, 1350ms };
}

} // namespace

TEST_CASE("PeerCalls, keeps the question for the configuration and its answer")
{
    const ConfigurationQuestion question { { 4, 40 } };
    CHECK(decodeConfigurationQuestion(encodeMessage(question)) == question);
    auto answer = sampleConfigurationAnswer();
    CHECK(decodeConfigurationAnswer(encodeMessage(answer)) == answer);
    answer.row.reset();
    CHECK(decodeConfigurationAnswer(encodeMessage(answer)) == answer);
    CHECK(decodeConfigurationAnswer(encodeMessage(ConfigurationAnswer {})) == ConfigurationAnswer {});
}

// Guards against a proof from rubbish.
TEST_CASE("PeerCalls, finds no proof of the configuration in damaged bodies")
{
    for (const char* body : { "", "[]", "{}", R"({"proven":true})", R"({"proven":1,"version":"4.1","ask_again_ms":1})",
             R"({"proven":true,"version":"x","ask_again_ms":1})", R"({"proven":true,"version":"4.1"})",
             R"({"proven":true,"version":"4.1","ask_again_ms":-1})",
             R"({"proven":true,"version":"4.1","ask_again_ms":18446744073709551615})",
             R"({"proven":true,"version":"4.1","ask_again_ms":1,"configuration":{"key":"c"}})" }) {
        CAPTURE(body);
        CHECK_FALSE(decodeConfigurationAnswer(body));
    }
    CHECK_FALSE(decodeConfigurationQuestion("{}"));
    CHECK_FALSE(decodeConfigurationQuestion(R"({"version":7})"));
    rc::prop("damaged answers", [] {
        auto body = encodeMessage(sampleConfigurationAnswer());
        const auto at = *rc::gen::inRange<std::size_t>(0, body.size());
        body[at] = static_cast<char>(*rc::gen::inRange(1, 256));
        decodeConfigurationAnswer(body);
        decodeConfigurationQuestion(body);
        return true;
    });
}

namespace {

// Calls to a daemon that sends what a script says.
struct ScriptedPeer {
    explicit ScriptedPeer(ScriptedHttpServer::Script script)
        : server(context, std::move(script))
        , calls(context)
    {
    }

    std::optional<bool> askReachable(const std::string& endpoint)
    {
        std::optional<std::optional<bool>> result;
        this->calls.askReachable(this->server.address(), { DatabaseId("g"), EndpointId(endpoint) },
            [&](std::optional<bool> reachable) { result = reachable; });
        while (!result)
            this->context.run_one();
        return *result;
    }

    std::optional<ConfigurationAnswer> askConfiguration()
    {
        std::optional<std::optional<ConfigurationAnswer>> result;
        this->calls.askConfiguration(this->server.address(), { { 4, 40 } },
            [&](const std::optional<ConfigurationAnswer>& answer) { result = answer; });
        while (!result)
            this->context.run_one();
        return *result;
    }

    PeerStatus suspend()
    {
        std::optional<PeerStatus> result;
        this->calls.suspend(this->server.address(), { DatabaseId("g"), { 4, 9 }, { 4, 8 } },
            [&](PeerStatus status) { result = status; });
        while (!result)
            this->context.run_one();
        return *result;
    }

    asio::io_context context;
    ScriptedHttpServer server;
    PeerCalls calls;
};

std::string callHeader(int number) { return std::string(peerCallHeader) + ": " + std::to_string(number) + "\r\n"; }

} // namespace

// Guards against a claim that goes on although a daemon still uses the old primary: it answered another call twice.
TEST_CASE("PeerCalls, does not take the second answer of a call for that of the next call")
{
    const auto header = GENERATE(std::string(), callHeader(1));
    CAPTURE(header);
    ScriptedPeer peer([&](int number, const std::string&) -> std::vector<ScriptedBytes> {
        const auto answer = httpResponse(200, R"({"reachable":true})", header);
        if (number > 1)
            return {};
        return { { answer }, { answer, 20ms } };
    });
    CHECK(peer.askReachable("e1") == true);
    CHECK(peer.suspend() == PeerStatus::Unanswered);
    CHECK_FALSE(peer.askReachable("e2"));
}

// Guards against a proof from the late copy of an earlier answer.
TEST_CASE("PeerCalls, takes no proof of the configuration from an answer without the number of the question")
{
    const auto body = encodeMessage(sampleConfigurationAnswer());
    const auto [header, isTaken] = GENERATE(
        table<std::string, bool>({ { std::string(), false }, { callHeader(2), false }, { callHeader(1), true } }));
    CAPTURE(header);
    ScriptedPeer peer([&, header = header](int, const std::string&) -> std::vector<ScriptedBytes> {
        return { { httpResponse(200, body, header) } };
    });
    CHECK(peer.askConfiguration().has_value() == isTaken);
}

// Guards against a daemon of an earlier release, which does not know the call, and one that does not answer.
TEST_CASE("PeerCalls, gets no proof of the configuration from a daemon that knows no such call or does not answer")
{
    const bool answers = GENERATE(true, false);
    ScriptedPeer peer([&](int, const std::string&) -> std::vector<ScriptedBytes> {
        if (!answers)
            return {};
        return { { httpResponse(404, "{}", callHeader(1)) } };
    });
    CHECK_FALSE(peer.askConfiguration());
}

TEST_CASE("PeerCalls, keeps the connection when the answers repeat the numbers of their calls")
{
    asio::io_context context;
    HttpServer server(context, {}, [](const HttpRequest& request, const HttpServer::Answer& answer) {
        withCallNumber(request, answer)({ 200, "application/json", R"({"reachable":true})" });
    });
    LoopHttpClient client(context, { "127.0.0.1", server.port() });
    for (const std::string number : { "7", "8" }) {
        HttpCall call;
        call.target = "/";
        call.headers = { { peerCallHeader, number } };
        call.match = [number](const HttpAnswer& answer) { return matchCallNumber(number, answer); };
        std::optional<HttpAnswer> answer;
        client.send(call, 1s, [&](const HttpAnswer& received) { answer = received; });
        while (!answer)
            context.run_one();
        CHECK(answer->status == 200);
    }
    CHECK(client.connectionsOpened() == 1);
}
