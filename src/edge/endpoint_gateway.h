#pragma once

#include "base/socket_address.h"
#include "edge/endpoint_client.h"
#include "edge/network_loop.h"
#include "process/database_controller.h"

#include <functional>
#include <map>
#include <memory>

namespace endivetrestle {

// Carries out a controller's actions at the endpoints of one database and reports back. Lives on the network loop's
// thread: every function must be called there.
class EndpointGateway {
public:
    // Runs a function on the controller under its lock and performs the actions that it returns.
    using Input = std::function<controller::Actions(DatabaseController&, Time now)>;
    using Update = std::function<void(const Input&)>;

    struct Options {
        DaemonId daemon;
        DataCentre dataCentre;
        Duration connectTimeout = std::chrono::seconds(1);
        Duration resetTimeout = std::chrono::milliseconds(500);
    };

    EndpointGateway(NetworkLoop& loop, Options options, Update update);
    ~EndpointGateway();

    // Addresses of the endpoints; connections to an endpoint whose address changed are not reused for control calls.
    void setAddresses(std::map<EndpointId, SocketAddress> changed);

    void perform(kj::AsyncIoContext& io, const controller::Open& action);
    void perform(kj::AsyncIoContext& io, const controller::Close& action);
    void perform(kj::AsyncIoContext& io, const controller::Reset& action);
    void perform(kj::AsyncIoContext& io, const controller::Execute& action);
    void perform(kj::AsyncIoContext& io, const controller::Probe& action);
    void perform(kj::AsyncIoContext& io, const controller::FenceEndpoint& action);
    void perform(kj::AsyncIoContext& io, const controller::PromoteEndpoint& action);
    void perform(kj::AsyncIoContext& io, const controller::Resolve& action);

    // Closes every connection without reporting.
    void stop();

private:
    // Connections for calls that carry no statements. Watches have their own, since they hold up later answers.
    struct Control;
    struct State;

    std::shared_ptr<State> state;
};

} // namespace endivetrestle
