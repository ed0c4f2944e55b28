#pragma once

#include "edge/network_loop.h"
#include "request/request.h"

#include <functional>
#include <memory>
#include <string>

namespace endivetrestle {

// What another daemon knows of one endpoint.
struct PeerOpinion {
    // Time since the last answer from the endpoint. No value: there never was one.
    std::optional<Duration> sinceContact;
    // Highest term known for the database.
    std::uint64_t term = 0;

    bool operator==(const PeerOpinion&) const = default;
};

// A configuration version as daemons pass it on.
struct ConfigurationBody {
    // 0: the daemon has none.
    std::uint64_t version = 0;
    std::string body;

    bool operator==(const ConfigurationBody&) const = default;
};

// What a daemon does for its peers. Called on the network loop's thread; forward and opinion may answer later from any
// thread.
struct PeerHandlers {
    std::function<void(Request, DaemonId from, std::function<void(Outcome)> answer)> forward;
    std::function<std::string(const DaemonId& from, const std::string& message)> gossip;
    std::function<void(const DatabaseId&, const EndpointId&, std::function<void(PeerOpinion)> answer)> opinion;
    std::function<ConfigurationBody(std::uint64_t atLeast)> fetchConfiguration;
};

// Identity with which daemons log in to each other.
struct PeerIdentity {
    DaemonId daemon;
    // Shared secret of all daemons. Never logged.
    std::string fleetKey;
};

// Accepts RPC connections of other daemons. A peer must prove that it knows the fleet key before any other call.
class PeerServer {
public:
    // Listens on "ip:port"; port 0 lets the kernel choose. Blocks until the port is open and throws kj::Exception if it
    // cannot be opened. The loop must outlive the server.
    PeerServer(NetworkLoop& loop, PeerIdentity identity, const std::string& address, PeerHandlers handlers);
    ~PeerServer();

    // The port that is listened on.
    [[nodiscard]] unsigned port() const;

    // Closes the listener and every connection.
    void stop();

private:
    struct State;

    NetworkLoop& loop;
    std::shared_ptr<State> state;
    unsigned boundPort = 0;
};

// Calls other daemons over one connection each, opened when first needed. All functions may be called from any thread;
// callbacks run on the network loop's thread.
class PeerClient {
public:
    // Extra one-way delay to an address, for experiments that emulate distance. Zero by default.
    using DelayHook = std::function<Duration(const std::string& address)>;

    PeerClient(NetworkLoop& loop, PeerIdentity identity, Duration connectTimeout);
    ~PeerClient();

    void setDelayHook(DelayHook hook);

    // Sends a request to an owner. The outcome is DidNotRun with EndpointUnreachable if no connection could be made,
    // Unknown with EndpointUnreachable if the connection broke later or the time ran out.
    void forward(const std::string& address, Request request, Duration remaining, std::function<void(Outcome)> done);
    // An empty optional means that the peer did not answer in time.
    void gossip(const std::string& address, std::string message, Duration timeout,
        std::function<void(std::optional<std::string>)> done);
    void opinion(const std::string& address, const DatabaseId& database, const EndpointId& endpoint, Duration timeout,
        std::function<void(std::optional<PeerOpinion>)> done);
    void fetchConfiguration(const std::string& address, std::uint64_t atLeast, Duration timeout,
        std::function<void(std::optional<ConfigurationBody>)> done);

    // Closes every connection.
    void stop();

private:
    struct State;

    NetworkLoop& loop;
    // Stays after stop(), since calls of other threads may follow; they are answered as failed.
    std::shared_ptr<State> state;
    bool stopped = false;
};

} // namespace endivetrestle
