#pragma once

#include "edge/http_server.h"

#include <asio.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace endivetrestle::soak {

// Stand-in of the platform's table store and of its promotion call, on one loopback port for each client.
class StandinStore {
public:
    // Called for each promotion; returns the status code of the answer.
    using Promote = std::function<int(
        const std::string& group, const std::string& id, const std::string& holder, std::uint64_t token)>;

    // Value of a row as one client sees it, for example with addresses that only this client uses.
    using View = std::function<std::string(const std::string& table, const std::string& key, const std::string& value)>;

    StandinStore(asio::io_context& context, std::mt19937_64& random, Promote promote);

    // Opens a port for one more client, and returns the number of the client.
    std::size_t addClient(View view);
    [[nodiscard]] std::uint16_t port(std::size_t client) const { return this->clients.at(client).server->port(); }
    // Refuses the calls of one client, or serves them again.
    void setRefused(std::size_t client, bool refused) { this->clients.at(client).refused = refused; }
    // Forgets the outstanding watches of one client. Their connections stay open and get no answer.
    void forgetWatches(std::size_t client);

    // Writes or removes a row as the operators and the endpoints do.
    void put(const std::string& table, const std::string& key, const std::string& value);
    void remove(const std::string& table, const std::string& key);
    // Drops the history, so that watches must read everything again.
    void compact();
    // Comes back as it was at the given age, or as early as there is a copy: what it has acknowledged since is gone,
    // and its versions are given out again.
    void restore(std::chrono::milliseconds age);
    // Answers watches whose time is over and keeps copies; called every few milliseconds.
    void tick();

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
    // What the store held at one moment.
    struct Copy {
        std::int64_t atMs = 0;
        std::map<std::pair<std::string, std::string>, Row> rows;
        std::uint64_t version = 0;
    };
    struct Client {
        std::unique_ptr<HttpServer> server;
        View view;
        bool refused = false;
    };
    struct Watch {
        std::size_t client = 0;
        std::string table;
        std::uint64_t after = 0;
        std::int64_t untilMs = 0;
        HttpServer::Answer answer;
    };
    using Key = std::pair<std::string, std::string>;

    void handle(std::size_t client, const HttpRequest& request, const HttpServer::Answer& answer);
    HttpResponse read(const Client& client, const std::string& query);
    HttpResponse change(const Client& client, const std::string& body);
    void watch(std::size_t client, const std::string& query, const HttpServer::Answer& answer);
    HttpResponse promotion(const HttpRequest& request);
    [[nodiscard]] std::string changedSince(const Watch& watch, bool& any) const;
    [[nodiscard]] std::int64_t nowMs() const;
    [[nodiscard]] HttpResponse respond(int status, const std::string& body) const;
    void keepCopy();

    asio::io_context& context;
    std::mt19937_64& random;
    Promote promote;
    std::map<Key, Row> rows;
    std::uint64_t version = 1;
    // Versions up to this one are no longer in the history.
    std::uint64_t compactedTo = 0;
    // Number that all answers carry. It rises each time that the store is restored.
    std::uint64_t era = 1;
    // Copies of the last seconds, the oldest one first.
    std::deque<Copy> copies;
    std::vector<Watch> watches;
    std::deque<Client> clients;
};

} // namespace endivetrestle::soak
