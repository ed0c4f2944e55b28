#pragma once

#include "tool/caller_client.h"
#include "tool/deployment.h"

#include <memory>
#include <string>

namespace endivetrestle {

// A deployment with a caller that talks HTTP to its daemons, for tests over real sockets.
struct RunningDeployment {
    explicit RunningDeployment(DeploymentOptions options)
        : deployment(std::move(options))
        , problem(deployment.start(std::chrono::seconds(30)))
        , io(kj::setupAsyncIo())
        , client(*io.provider, addresses(), deployment.caller().key)
    {
    }

    CallerAnswer send(std::size_t daemon, const CallerCall& call)
    {
        return this->client.send(daemon, call).wait(this->io.waitScope);
    }

    CallerAnswer write(
        std::size_t daemon, const std::string& statement, const std::string& id, const std::string& session = {})
    {
        CallerCall call = this->newCall(RequestKind::Write, id, session);
        call.priority = Priority::Write;
        call.statement = statement;
        return this->send(daemon, call);
    }

    CallerAnswer read(std::size_t daemon, const std::string& statement, const std::string& session = {})
    {
        CallerCall call = this->newCall(RequestKind::Read, "read-" + std::to_string(++this->reads), session);
        call.statement = statement;
        return this->send(daemon, call);
    }

    CallerCall newCall(RequestKind kind, const std::string& id, const std::string& session = {})
    {
        CallerCall call;
        call.kind = kind;
        call.database = this->deployment.shape().databases.front();
        call.requestId = RequestId(id);
        call.session = session;
        call.deadline = std::chrono::seconds(10);
        return call;
    }

    std::vector<DaemonAddress> addresses()
    {
        std::vector<DaemonAddress> result;
        for (std::size_t i = 0; i < this->deployment.daemonCount(); ++i)
            result.push_back({ "127.0.0.1", this->deployment.daemon(i).callerPort() });
        return result;
    }

    Deployment deployment;
    // Why the deployment did not start; empty if it did.
    std::string problem;
    kj::AsyncIoContext io;
    CallerClient client;
    int reads = 0;
};

} // namespace endivetrestle
