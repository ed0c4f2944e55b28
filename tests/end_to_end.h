#pragma once

#include "tool/caller_client.h"
#include "tool/deployment.h"

#include <unistd.h>

#include <nlohmann/json.hpp>

#include <functional>
#include <future>
#include <memory>
#include <string>

namespace endivetrestle {

// Response to a request that was sent as text.
struct RawResponse {
    // 0 if the connection was closed without a response.
    int status = 0;
    std::string text;
    // Code of the error in the body, or empty.
    std::string code;
};

// Lets the daemons listen on a loopback address that no other process uses. While a daemon is down, its ports are free,
// and on 127.0.0.1 a connection of another test could take one, so that the daemon could not be restarted.
inline DeploymentOptions withOwnAddress(DeploymentOptions options)
{
    constexpr int firstNetwork = 64;
    constexpr int networks = 128;
    constexpr int byteValues = 256;
    const int process = ::getpid();
    options.address = "127." + std::to_string(firstNetwork + process / byteValues / byteValues % networks) + "."
        + std::to_string(process / byteValues % byteValues) + "." + std::to_string(process % byteValues);
    return options;
}

// A deployment with a caller and an operator that talk HTTP to its daemons, for tests over real sockets.
struct RunningDeployment {
    explicit RunningDeployment(DeploymentOptions options)
        : deployment(withOwnAddress(std::move(options)))
        , problem(deployment.start(std::chrono::seconds(30)))
        , io(kj::setupAsyncIo())
        , client(*io.provider, addresses(), deployment.caller().key)
        , operators(*io.provider, operatorAddresses(), deployment.operatorKey())
    {
    }

    CallerAnswer send(std::size_t daemon, const CallerCall& call)
    {
        return this->client.send(daemon, call).wait(this->io.waitScope);
    }

    CallerAnswer write(
        std::size_t daemon, const std::string& statement, const std::string& id, const std::string& session = {})
    {
        return this->send(daemon, this->writeCall(statement, id, session));
    }

    CallerCall writeCall(const std::string& statement, const std::string& id, const std::string& session = {})
    {
        CallerCall call = this->newCall(RequestKind::Write, id, session);
        call.priority = Priority::Write;
        call.statement = statement;
        return call;
    }

    CallerAnswer read(std::size_t daemon, const std::string& statement, const std::string& session = {})
    {
        CallerCall call = this->newCall(RequestKind::Read, "read-" + std::to_string(++this->reads), session);
        call.statement = statement;
        return this->send(daemon, call);
    }

    // Asks for the outcome of an earlier request until it is known.
    CallerAnswer resolve(std::size_t daemon, const std::string& id)
    {
        CallerAnswer answer;
        this->waitUntil([&] {
            answer = this->send(daemon, this->newCall(RequestKind::Resolve, id));
            return answer.state == OutcomeState::Completed || answer.code == ErrorCode::RequestAborted;
        });
        return answer;
    }

    // Sends a write, and resolves it by its id at the same daemon while its outcome is unknown.
    CallerAnswer settledWrite(
        std::size_t daemon, const std::string& statement, const std::string& id, const std::string& session = {})
    {
        auto answer = this->write(daemon, statement, id, session);
        return answer.state == OutcomeState::Unknown ? this->resolve(daemon, id) : answer;
    }

    CallerCall newCall(RequestKind kind, const std::string& id, const std::string& session = {})
    {
        CallerCall call;
        call.kind = kind;
        call.database = this->database();
        call.requestId = RequestId(id);
        call.session = session;
        call.deadline = std::chrono::seconds(10);
        return call;
    }

    [[nodiscard]] DatabaseId database() const { return this->deployment.shape().databases.front(); }

    // Sends text over a connection of its own and reads until the daemon closes it.
    RawResponse exchangeRaw(std::size_t daemon, const std::string& text)
    {
        const auto name = toString(this->addresses().at(daemon));
        auto address = this->io.provider->getNetwork().parseAddress(name.c_str()).wait(this->io.waitScope);
        auto stream = address->connect().wait(this->io.waitScope);
        stream->write(text.data(), text.size()).catch_([](kj::Exception&&) {}).wait(this->io.waitScope);
        // A reset after the response loses no bytes that were read before.
        kj::Vector<kj::byte> received;
        kj::byte buffer[4096];
        for (bool open = true; open;) {
            const auto count = stream->tryRead(buffer, 1, sizeof buffer)
                                   .catch_([](kj::Exception&&) { return std::size_t { 0 }; })
                                   .wait(this->io.waitScope);
            received.addAll(buffer, buffer + count);
            open = count > 0;
        }
        RawResponse result;
        result.text.assign(reinterpret_cast<const char*>(received.begin()), received.size());
        if (result.text.starts_with("HTTP/1.1 "))
            result.status = std::stoi(result.text.substr(9, 3));
        const auto body = result.text.find("\r\n\r\n");
        if (body != std::string::npos) {
            const auto parsed = nlohmann::json::parse(result.text.substr(body + 4), nullptr, false);
            if (parsed.is_object() && parsed.contains("error"))
                result.code = parsed["error"].value("code", "");
        }
        return result;
    }

    // Posts a statement with the given key, further header lines and body over a connection of its own.
    RawResponse post(const std::string& path, const std::string& key, const std::string& headers,
        const std::string& body, std::size_t daemon = 0)
    {
        return this->exchangeRaw(daemon,
            "POST " + path + " HTTP/1.1\r\nHost: test\r\nConnection: close\r\nAuthorization: Bearer " + key + "\r\n"
                + headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    }

    // Answer of a daemon's interface for operators, with the HTTP status as "httpStatus".
    nlohmann::json operate(
        std::size_t daemon, const std::string& path, const std::optional<nlohmann::json>& body = std::nullopt)
    {
        const auto method = body ? kj::HttpMethod::POST : kj::HttpMethod::GET;
        const auto response
            = this->operators.fetch(daemon, method, path, body ? body->dump() : std::string()).wait(this->io.waitScope);
        auto result = nlohmann::json::parse(response.body, nullptr, false);
        if (!result.is_object())
            result = { { "text", response.body } };
        result["httpStatus"] = response.status;
        return result;
    }

    nlohmann::json plan(std::size_t daemon, const nlohmann::json& intent)
    {
        return this->operate(daemon, "/admin/v1/plans", intent);
    }

    nlohmann::json confirm(std::size_t daemon, const std::string& plan)
    {
        return this->operate(daemon, "/admin/v1/plans/" + plan + "/confirm", nlohmann::json::object());
    }

    // Puts an intent in force on every running daemon. Returns the confirmation.
    nlohmann::json apply(const nlohmann::json& intent)
    {
        const auto made = this->plan(this->anyRunning(), intent);
        if (!made.contains("plan"))
            return made;
        auto confirmed = this->confirm(this->anyRunning(), made["plan"]);
        if (confirmed.value("status", "") == "accepted")
            this->waitUntil([&] { return this->lowestVersion() >= confirmed["version"].get<std::uint64_t>(); });
        return confirmed;
    }

    // Lowest configuration version in force on the running daemons.
    std::uint64_t lowestVersion()
    {
        std::uint64_t lowest = UINT64_MAX;
        for (std::size_t i = 0; i < this->deployment.daemonCount(); ++i) {
            if (!this->deployment.running(i))
                continue;
            const auto configuration = this->deployment.daemon(i).fleetPart().configuration();
            lowest = std::min(lowest, configuration ? configuration->version() : 0);
        }
        return lowest;
    }

    [[nodiscard]] std::size_t anyRunning() const
    {
        std::size_t index = 0;
        while (!this->deployment.running(index))
            ++index;
        return index;
    }

    // Index of the daemon that is the active owner of the first database, as the given daemon sees it.
    std::size_t activeOwner(std::size_t seenBy)
    {
        auto& fleet = this->deployment.daemon(seenBy).fleetPart();
        const auto owners = fleet.owners(*fleet.configuration()->findDatabase(this->database()));
        for (std::size_t i = 0; i < this->deployment.daemonCount(); ++i) {
            if (!owners.empty() && this->deployment.shape().daemons[i].id == owners.front().id)
                return i;
        }
        return this->deployment.daemonCount();
    }

    // State and counters of one endpoint of the first database from its stand-in.
    nlohmann::json endpoint(std::size_t index)
    {
        return nlohmann::json::parse(this->deployment.groupStatus(this->database()))["endpoints"].at(index);
    }

    // Index of the endpoint that has the role of the primary in the highest term; -1 if none has.
    int primary()
    {
        const auto endpoints = nlohmann::json::parse(this->deployment.groupStatus(this->database()))["endpoints"];
        int found = -1;
        std::uint64_t term = 0;
        for (std::size_t i = 0; i < endpoints.size(); ++i) {
            const auto own = endpoints[i]["term"].get<std::uint64_t>();
            if (endpoints[i]["role"] == "primary" && !endpoints[i]["down"] && own > term) {
                found = static_cast<int>(i);
                term = own;
            }
        }
        return found;
    }

    std::vector<JsonProblem> control(const nlohmann::json& body)
    {
        return this->deployment.controlGroup(this->database(), body.dump());
    }

    // Sets switches of one endpoint of the first database.
    std::vector<JsonProblem> controlEndpoint(std::size_t index, const nlohmann::json& switches)
    {
        const auto name = Deployment::endpointId(this->database(), index).value;
        return this->control({ { "endpoints", { { name, switches } } } });
    }

    // Runs the event loop until the condition holds. Returns false if it does not hold within a minute, which the test
    // then reports instead of waiting for ever.
    bool waitUntil(const std::function<bool()>& condition)
    {
        const auto end = MonotonicClock::now() + std::chrono::minutes(1);
        while (!condition()) {
            if (MonotonicClock::now() > end)
                return false;
            this->io.provider->getTimer().afterDelay(5 * kj::MILLISECONDS).wait(this->io.waitScope);
        }
        return true;
    }

    // Runs blocking work on another thread while the event loop goes on.
    template <typename Result> Result runAside(std::function<Result()> work)
    {
        auto result = std::async(std::launch::async, std::move(work));
        this->waitUntil([&] { return result.wait_for(std::chrono::seconds(0)) == std::future_status::ready; });
        return result.get();
    }

    std::vector<DaemonAddress> addresses()
    {
        std::vector<DaemonAddress> result;
        for (std::size_t i = 0; i < this->deployment.daemonCount(); ++i)
            result.push_back(this->deployment.running(i)
                    ? DaemonAddress { this->deployment.shape().address, this->deployment.daemon(i).callerPort() }
                    : DaemonAddress {});
        return result;
    }

    std::vector<DaemonAddress> operatorAddresses()
    {
        std::vector<DaemonAddress> result;
        for (std::size_t i = 0; i < this->deployment.daemonCount(); ++i)
            result.push_back({ this->deployment.shape().address, this->deployment.daemon(i).operatorPort() });
        return result;
    }

    Deployment deployment;
    // Why the deployment did not start; empty if it did.
    std::string problem;
    kj::AsyncIoContext io;
    CallerClient client;
    CallerClient operators;
    int reads = 0;
};

} // namespace endivetrestle
