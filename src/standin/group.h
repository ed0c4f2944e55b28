#pragma once

#include "edge/json_http.h"
#include "standin/endpoint_server.h"

#include <kj/async-io.h>
#include <kj/timer.h>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace endivetrestle::standin {

// One endpoint of a stand-in group.
struct GroupMember {
    EndpointId endpoint;
    DataCentre dataCentre;
    // 0 lets the kernel choose.
    std::uint16_t port = 0;
};

struct GroupOptions {
    // At least one; the first is the primary of term 1.
    std::vector<GroupMember> members;
    std::string address = "127.0.0.1";
    // Port of the control interface; 0 lets the kernel choose.
    std::uint16_t controlPort = 0;
    // Switches that every endpoint starts with.
    EndpointSwitches switches;
    // Time between two signs of life of a primary.
    Duration heartbeat = std::chrono::milliseconds(20);
    // Seed of the faults that happen with a probability.
    std::uint64_t seed = 1;
};

// Stand-in of one database group: every endpoint listens on its own port and replication runs between them on the
// event loop's timer. All of it runs on the thread that created it.
//
// Control interface, on a port of its own:
// - POST /standin/control {"endpoints": {"a": {"down": true}, "*": {"applyLagMs": 50}},
//   "replication": [{"from": "a", "to": "b", "blocked": true}],
//   "delays": [{"from": "bkk-a", "to": "bkk-b", "delayMs": 1.5}]}
//   sets switches (see EndpointSwitches), blocks replication in one direction and sets one-way delays in both. "*"
//   names all endpoints. An invalid body changes nothing and is answered with status 400 and the problems.
// - GET /standin/status reports every endpoint's state and counters.
class StandinGroup final : private kj::TaskSet::ErrorHandler {
public:
    // The network and the timer must outlive the group.
    StandinGroup(kj::Network& network, kj::Timer& timer, GroupOptions options);
    KJ_DISALLOW_COPY(StandinGroup);

    // Why a port cannot be listened at; empty if all can.
    [[nodiscard]] std::string problem() const;

    [[nodiscard]] std::uint16_t controlPort() const { return this->controlServer ? this->controlServer->port() : 0; }
    [[nodiscard]] std::size_t size() const { return this->endpoints.size(); }
    // Endpoint by its place in GroupOptions::members.
    [[nodiscard]] EndpointServer& endpoint(std::size_t index) { return *this->endpoints[index]; }
    // Numeric "address:port" of an endpoint.
    [[nodiscard]] std::string addressOf(std::size_t index) const;

    // Does what POST /standin/control does. Returns the problems; empty if the body was valid and is in force.
    std::vector<JsonProblem> control(const std::string& body);

    // Text that GET /standin/status answers.
    [[nodiscard]] std::string statusText() const;

private:
    using Names = std::pair<std::string, std::string>;
    // Parsed control body.
    struct ControlChange {
        std::map<std::size_t, EndpointSwitches> switches;
        std::set<Names> blocked;
        std::map<Names, Duration> delays;
    };

    kj::Promise<JsonHttpResponse> handleControl(const JsonHttpRequest& request);
    void readEndpoints(const nlohmann::json& object, ControlChange& change, std::vector<JsonProblem>& problems);
    void readReplication(const nlohmann::json& item, ControlChange& change, std::vector<JsonProblem>& problems) const;
    static void readDelay(const nlohmann::json& item, ControlChange& change, std::vector<JsonProblem>& problems);
    [[nodiscard]] Duration delayBetween(const std::string& from, const std::string& to) const;
    [[nodiscard]] bool isBlocked(std::size_t from, std::size_t to) const;
    [[nodiscard]] bool isMember(const std::string& name) const;
    void onChange(std::size_t index);
    void shipToAll(std::size_t from);
    void ship(std::size_t from, std::size_t to);
    void deliver(std::size_t from, std::size_t to, const ReplicationRequest& request);
    void deliverAnswer(std::size_t from, std::size_t to, const ReplicationAnswer& answer);
    kj::Promise<void> heartbeatLoop();
    void taskFailed(kj::Exception&& exception) override;

    kj::Timer& timer;
    GroupOptions options;
    std::vector<std::unique_ptr<EndpointServer>> endpoints;
    std::vector<bool> shipScheduled;
    std::set<Names> blocked;
    std::map<Names, Duration> delays;
    kj::TaskSet tasks;
    kj::Own<JsonHttpServer> controlServer;
    std::string controlProblem;
};

} // namespace endivetrestle::standin
