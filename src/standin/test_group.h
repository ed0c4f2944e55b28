#pragma once

#include "edge/endpoint_client.h"
#include "standin/group.h"

#include <kj/async-io.h>

#include <catch2/catch.hpp>

#include <functional>
#include <memory>
#include <string>

namespace endivetrestle::standin {

// Group of three endpoints a, b and c with a as primary, on an event loop of the test's thread.
struct TestGroup {
    static constexpr Duration timeout = std::chrono::seconds(10);

    kj::AsyncIoContext io = kj::setupAsyncIo();
    std::unique_ptr<StandinGroup> group;
    std::uint64_t lastCall = 0;

    explicit TestGroup(EndpointSwitches switches = {})
    {
        GroupOptions options;
        options.members = { { EndpointId("a"), DataCentre("x") }, { EndpointId("b"), DataCentre("y") },
            { EndpointId("c"), DataCentre("z") } };
        options.switches = std::move(switches);
        options.switches.openingTime = Duration::zero();
        this->group = std::make_unique<StandinGroup>(
            this->io.provider->getNetwork(), this->io.provider->getTimer(), std::move(options));
        INFO(this->group->problem());
        REQUIRE(this->group->problem().empty());
    }

    template <typename Value> Value wait(kj::Promise<Value> promise) { return promise.wait(this->io.waitScope); }

    kj::Promise<EndpointResult<kj::Own<EndpointClient>>> tryConnect(
        std::size_t index, bool control = false, const std::string& daemon = "d1")
    {
        EndpointConnectOptions options;
        options.address = this->group->addressOf(index);
        options.daemon = DaemonId(daemon);
        options.control = control;
        options.timeout = timeout;
        return connectEndpoint(this->io.provider->getNetwork(), this->io.provider->getTimer(), options);
    }

    kj::Own<EndpointClient> connect(std::size_t index, bool control = false, const std::string& daemon = "d1")
    {
        auto opened = this->wait(this->tryConnect(index, control, daemon));
        INFO(opened.detail);
        REQUIRE(opened.error == ErrorCode::None);
        return kj::mv(opened.answer);
    }

    ExecuteCall call(ExecuteKind kind, const std::string& statement, const std::string& requestId = {})
    {
        ExecuteCall result;
        result.callNumber = ++this->lastCall;
        result.kind = kind;
        result.statement = statement;
        result.requestId = RequestId(requestId);
        return result;
    }

    // Runs one statement and requires an answer.
    ExecuteAnswer run(EndpointClient& client, const ExecuteCall& call)
    {
        auto result = this->wait(client.execute(call, timeout));
        INFO(result.detail);
        REQUIRE(result.error == ErrorCode::None);
        return result.answer;
    }

    // Runs the event loop until the condition holds.
    void until(const std::function<bool()>& condition)
    {
        while (!condition())
            this->io.provider->getTimer().afterDelay(1 * kj::MILLISECONDS).wait(this->io.waitScope);
    }

    void control(const std::string& body)
    {
        for (const auto& problem : this->group->control(body))
            FAIL(toString(problem));
    }
};

} // namespace endivetrestle::standin
