#pragma once

#include "edge/http_server.h"
#include "edge/loop_http_client.h"
#include "process/configuration_proof.h"
#include "process/fleet_hooks.h"
#include "process/seed_bootstrap.h"

#include <map>
#include <memory>
#include <optional>
#include <string>

namespace endivetrestle {

// Paths of the calls between daemons.
inline constexpr const char* peerSuspendPath = "/peer/suspend";
inline constexpr const char* peerPrimaryPath = "/peer/primary";
inline constexpr const char* peerWitnessPath = "/peer/witness";
inline constexpr const char* peerBootstrapPath = "/peer/bootstrap";
inline constexpr const char* peerReachablePath = "/peer/reachable";
inline constexpr const char* peerRenewPath = "/peer/renew";
inline constexpr const char* peerConfigurationPath = "/peer/configuration";

// Header field with the number of a call between daemons. The answer repeats it, so that a copy of it that arrives late
// is not taken for the answer to another call.
inline constexpr const char* peerCallHeader = "Endivetrestle-Call";

// Returns an answer function that repeats the number of the call in the answer.
HttpServer::Answer withCallNumber(const HttpRequest& request, HttpServer::Answer answer);

// Whether an answer belongs to the call of a number. An answer without a number comes from an earlier release.
HttpAnswerMatch matchCallNumber(const std::string& number, const HttpAnswer& answer);

// Asks a daemon whether it reaches an endpoint.
struct ReachableQuestion {
    DatabaseId group;
    EndpointId endpoint;

    bool operator==(const ReachableQuestion&) const = default;
};

std::string encodeMessage(const Claim& claim);
std::string encodeMessage(const ReachableQuestion& question);
std::string encodeMessage(const std::vector<PrimaryRow>& rows);
std::string encodeMessage(const LeaseRenewal& renewal);
// Answer to a renewal: how the call to the store ended, its version and its clock.
std::string encodeMessage(const StoreResult& result);
// Answer of a witness: the newest claim that it knows; no value if it has no lease itself.
std::string encodeMessage(const std::optional<StoreVersion>& newestClaim);
std::string encodeMessage(const BootstrapAnswer& answer);
std::string encodeMessage(const ConfigurationQuestion& question);
std::string encodeMessage(const ConfigurationAnswer& answer);
// The decoders return no value for a body that is not such a message.
std::optional<Claim> decodeClaim(const std::string& body);
std::optional<ReachableQuestion> decodeReachableQuestion(const std::string& body);
std::optional<std::vector<PrimaryRow>> decodePrimaryMessage(const std::string& body);
std::optional<LeaseRenewal> decodeRenewalMessage(const std::string& body);
std::optional<StoreResult> decodeRenewalAnswer(const std::string& body);
// Row version of the configuration that the asking daemon has.
std::optional<StoreVersion> decodeBootstrapQuestion(const std::string& body);
std::optional<BootstrapAnswer> decodeBootstrapAnswer(const std::string& body);
std::optional<ConfigurationQuestion> decodeConfigurationQuestion(const std::string& body);
std::optional<ConfigurationAnswer> decodeConfigurationAnswer(const std::string& body);

// Calls to other daemons over HTTP. A connection to each daemon is kept open.
class PeerCalls {
public:
    explicit PeerCalls(asio::io_context& context);

    // Asks a daemon to stop using the primary of a claimed group.
    void suspend(const SocketAddress& address, const Claim& claim, std::function<void(PeerStatus)> callback);
    void announce(const SocketAddress& address, const std::vector<PrimaryRow>& rows);
    void renew(const SocketAddress& address, const LeaseRenewal& renewal, Duration timeout, std::function<Time()> now,
        TableStore::Callback callback);
    void askWitness(const SocketAddress& address, std::function<void(std::optional<StoreVersion>)> callback);
    // Asks a daemon for the configuration, if its row is newer than the given version, and for the list of daemons.
    void askBootstrap(const SocketAddress& address, StoreVersion rowVersion,
        std::function<void(const std::optional<BootstrapAnswer>&)> callback);
    void askReachable(const SocketAddress& address, const ReachableQuestion& question,
        std::function<void(std::optional<bool>)> callback);
    // Asks the prover whether the configuration is complete.
    void askConfiguration(const SocketAddress& address, const ConfigurationQuestion& question,
        std::function<void(const std::optional<ConfigurationAnswer>&)> callback);

private:
    // Longest wait for a daemon. It exceeds the time that another daemon may need to drain its statements.
    static constexpr Duration suspendTimeout = std::chrono::milliseconds(450);
    // Longest wait for the connection when a daemon without a lease asks another one to renew it: a host without power
    // lets connections hang, one that runs accepts them within some milliseconds.
    static constexpr Duration urgentConnectLimit = std::chrono::milliseconds(40);
    // Longest wait for a daemon that is asked for the configuration. Clients wait for the answer.
    static constexpr Duration bootstrapTimeout = std::chrono::milliseconds(300);
    // Longest wait for an opinion. It exceeds the time that the other daemon gives the endpoint.
    static constexpr Duration reachableTimeout = std::chrono::milliseconds(500);

    LoopHttpClient& clientFor(const SocketAddress& address);
    HttpCall makeCall(const char* path, std::string body);

    asio::io_context& context;
    std::uint64_t lastCall = 0;
    std::map<SocketAddress, std::unique_ptr<LoopHttpClient>> clients;
};

} // namespace endivetrestle
