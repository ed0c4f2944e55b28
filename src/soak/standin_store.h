#pragma once

#include "edge/http_server.h"

#include <asio.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace endivetrestle::soak {

// Stand-in of the platform's table store and of its promotion call, on one loopback port.
class StandinStore {
public:
    // Called for each promotion; returns the status code of the answer.
    using Promote = std::function<int(const std::string& group, const std::string& id, std::uint64_t token)>;

    StandinStore(asio::io_context& context, std::mt19937_64& random, Promote promote);

    // Writes or removes a row as the operators and the endpoints do.
    void put(const std::string& table, const std::string& key, const std::string& value);
    void remove(const std::string& table, const std::string& key);
    // Drops the history, so that watches must read everything again.
    void compact();
    // Answers watches whose time is over; called every few milliseconds.
    void tick();

    [[nodiscard]] std::uint16_t port() const { return this->server->port(); }

    // Refuses every call.
    bool down = false;
    // Probability that a change takes effect and its answer is lost.
    double loseAnswers = 0;

private:
    struct Row {
        std::string value;
        std::uint64_t version = 0;
        bool removed = false;
    };
    struct Watch {
        std::string table;
        std::uint64_t after = 0;
        std::int64_t untilMs = 0;
        HttpServer::Answer answer;
    };
    using Key = std::pair<std::string, std::string>;

    void handle(const HttpRequest& request, const HttpServer::Answer& answer);
    HttpResponse read(const std::string& query);
    HttpResponse change(const std::string& body);
    void watch(const std::string& query, const HttpServer::Answer& answer);
    HttpResponse promotion(const HttpRequest& request);
    [[nodiscard]] std::string changedSince(const std::string& table, std::uint64_t after, bool& any) const;
    [[nodiscard]] std::int64_t nowMs() const;

    std::mt19937_64& random;
    Promote promote;
    std::map<Key, Row> rows;
    std::uint64_t version = 1;
    // Versions up to this one are no longer in the history.
    std::uint64_t compactedTo = 0;
    std::vector<Watch> watches;
    std::unique_ptr<HttpServer> server;
};

} // namespace endivetrestle::soak
