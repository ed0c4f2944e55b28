#pragma once

#include "base/strict_json.h"
#include "edge/json_http.h"
#include "edge/platform_client.h"

#include <kj/async-io.h>
#include <kj/timer.h>

#include <deque>
#include <map>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace endivetrestle::standin {

// Behaviour of the stand-in platform that experiments may change while it runs.
struct PlatformSwitches {
    // Requests are refused with status 503 and have no effect: those to the table service, the object store, the list.
    bool tableDown = false;
    bool objectsDown = false;
    bool liveListDown = false;
    // Requests are taken and never answered and have no effect.
    bool blackhole = false;
    // Added before every request is handled.
    Duration latency {};
    // The connection is closed in place of the answer to a put after its effect: the next so many, or a share of all.
    std::int64_t loseAnswers = 0;
    double loseAnswerShare = 0;
    // Age of the state that the live list reports.
    Duration liveListLag {};
};

struct StandinPlatformOptions {
    std::string address = "127.0.0.1";
    // 0 lets the kernel choose.
    std::uint16_t port = 0;
    PlatformSwitches switches;
    // Hosts that the live list holds from the start.
    std::vector<ListedHost> hosts;
    // Seed of the faults that happen with a probability.
    std::uint64_t seed = 1;
};

// Stand-in of the platform's table service, object store and live list on one port.
//
// Control interface, never affected by the switches:
// - POST /standin/control {"set": {"tableDown": true, "latencyMs": 5, "loseAnswers": 1, "liveListLagMs": 3000},
//   "hosts": [{"host": "h1", "address": "127.0.0.1:7001", "state": "live"}], "remove": ["h2"]}
//   sets switches and adds, changes or removes hosts of the live list. An invalid body changes nothing and is answered
//   with status 400 and the problems.
// - GET /standin/status reports the number of operations of each kind and the rows of the table.
class StandinPlatform final {
public:
    // The network and the timer must outlive the platform.
    StandinPlatform(kj::Network& network, kj::Timer& timer, StandinPlatformOptions options);
    KJ_DISALLOW_COPY(StandinPlatform);

    // Why the port cannot be listened at; empty if it can.
    [[nodiscard]] const std::string& problem() const { return this->listenProblem; }
    [[nodiscard]] std::uint16_t port() const { return this->server ? this->server->port() : 0; }
    // Numeric "address:port".
    [[nodiscard]] std::string address() const;

    // Does what POST /standin/control does. Returns the problems; empty if the body was valid and is in force.
    std::vector<JsonProblem> control(const std::string& body);

    // Text that GET /standin/status answers.
    [[nodiscard]] std::string statusText() const;

private:
    // State of the live list from a time on.
    struct HostVersion {
        Time since;
        std::map<std::string, ListedHost> hosts;
    };

    kj::Promise<JsonHttpResponse> handle(JsonHttpRequest request);
    kj::Promise<JsonHttpResponse> answer(const JsonHttpRequest& request);
    kj::Promise<JsonHttpResponse> afterWrite(JsonHttpResponse response);
    JsonHttpResponse tableGet(const nlohmann::json& body);
    JsonHttpResponse tableList(const nlohmann::json& body);
    JsonHttpResponse tablePut(const nlohmann::json& body);
    JsonHttpResponse objectGet(const nlohmann::json& body);
    JsonHttpResponse objectPut(const nlohmann::json& body);
    JsonHttpResponse listHosts();
    static void readHosts(
        const nlohmann::json& list, std::map<std::string, ListedHost>& hosts, std::vector<JsonProblem>& problems);
    void changeHosts(std::map<std::string, ListedHost> hosts);
    [[nodiscard]] bool isDown(const std::string& path) const;

    kj::Timer& timer;
    StandinPlatformOptions options;
    PlatformSwitches switches;
    std::mt19937_64 random;
    std::map<std::string, TableRow> rows;
    std::unordered_map<std::string, TablePutAnswer> operations;
    std::map<std::string, std::string> objects;
    // Versions of the live list, oldest first; the last one is the actual state.
    std::deque<HostVersion> hostVersions;
    std::map<std::string, std::uint64_t> counts;
    kj::Own<JsonHttpServer> server;
    std::string listenProblem;
};

} // namespace endivetrestle::standin
