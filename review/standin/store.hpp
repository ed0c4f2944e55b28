#pragma once

#include "http.hpp"
#include "record.hpp"

#include <nlohmann/json.hpp>

#include <functional>
#include <list>
#include <optional>

namespace review {

// What happens to a writing call. The default is that it is done and answered.
struct CallTrouble {
    // The call is done this much later than it arrives, if its condition holds then.
    std::chrono::milliseconds doneAfter { 0 };
    bool answered = true;
};

// Stand-in of the platform: the table store and the promotion call, on one address.
class Platform {
public:
    Platform(asio::io_context& context, const asio::ip::address& address, Record& record);

    [[nodiscard]] std::uint16_t port() const { return this->server.port(); }
    // Writes or removes a row as the operator and the members do.
    void put(const std::string& table, const std::string& key, const nlohmann::json& value);
    // Value of a row as stored; no value if it does not exist.
    [[nodiscard]] std::optional<std::string> find(const std::string& table, const std::string& key) const;

    // Decides what happens to a writing call of the system, given its body.
    std::function<CallTrouble(const nlohmann::json& body)> trouble;
    // Handles a promotion; returns the status of the answer.
    std::function<int(const std::string& service, const std::string& id)> promote;

private:
    using Key = std::pair<std::string, std::string>;
    struct Row {
        std::string value;
        std::uint64_t version = 0;
        bool removed = false;
    };
    struct Watch {
        std::string table;
        std::uint64_t after = 0;
        Clock::time_point until;
        HttpServer::Answer answer;
    };

    void handle(const HttpRequest& request, const HttpServer::Answer& answer);
    HttpResponse change(const nlohmann::json& body);
    HttpResponse read(const HttpRequest& request) const;
    void answerWatches();
    void tick();
    void later(std::chrono::milliseconds delay, std::function<void()> action);
    [[nodiscard]] std::int64_t nowMs() const;
    [[nodiscard]] nlohmann::json changesSince(const std::string& table, std::uint64_t after) const;

    asio::io_context& context;
    Record& record;
    HttpServer server;
    asio::steady_timer ticker;
    std::map<Key, Row> rows;
    std::uint64_t version = 1;
    std::list<Watch> watches;
};

} // namespace review
