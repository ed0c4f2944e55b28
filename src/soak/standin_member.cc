#include "soak/standin_member.h"

#include "base/boot_clock.h"
#include "platform/line_codec.h"
#include "soak/standin_group.h"

#include <algorithm>
#include <random>

namespace endivetrestle::soak {

namespace {

// Delay before an answer is sent again, and the longer one of a few.
constexpr int maxRepeatDelayMs = 50;
constexpr int maxLongRepeatDelayMs = 500;
constexpr int longRepeatOneIn = 10;

} // namespace

std::string takeWord(std::string& text)
{
    const auto end = text.find(' ');
    auto word = text.substr(0, end);
    text = end == std::string::npos ? "" : text.substr(end + 1);
    return word;
}

std::string toDotted(const Position& position)
{
    return std::to_string(position.term) + "." + std::to_string(position.index);
}

StandinMember::StandinMember(asio::io_context& context, StandinGroup& group, std::string id)
    : id(std::move(id))
    , context(context)
    , group(group)
    , reservation(context, asio::ip::tcp::v4())
    , acceptor(context)
{
    this->reservation.set_option(asio::socket_base::reuse_address(true));
    this->reservation.bind({ asio::ip::address_v4::loopback(), 0 });
    this->boundPort = this->reservation.local_endpoint().port();
    this->listen();
}

StandinMember::~StandinMember() { this->crash(); }

void StandinMember::listen()
{
    const asio::ip::tcp::endpoint address(asio::ip::address_v4::loopback(), this->boundPort);
    this->acceptor.open(address.protocol());
    this->acceptor.set_option(asio::socket_base::reuse_address(true));
    this->acceptor.bind(address);
    this->acceptor.listen();
    this->accept();
}

void StandinMember::accept()
{
    this->acceptor.async_accept(
        [this, weak = std::weak_ptr<int>(this->lifetime)](const asio::error_code& error, asio::ip::tcp::socket socket) {
            if (weak.expired() || error)
                return;
            const auto connection = ++this->lastConnection;
            auto& entry = this->connections[connection];
            entry.socket = std::make_shared<LineSocket>(std::move(socket), platform::maxLineBytes);
            entry.socket->start([this, connection](std::string_view line) { return this->onLine(connection, line); },
                [this, connection] { this->connections.erase(connection); });
            this->accept();
        });
}

void StandinMember::crash()
{
    this->up = false;
    asio::error_code ignored;
    this->acceptor.close(ignored);
    for (auto& [number, connection] : this->connections)
        connection.socket->close();
    this->connections.clear();
}

void StandinMember::restartEmpty()
{
    this->log.clear();
    this->appliedCount = 0;
    this->term = 0;
    this->restart();
}

void StandinMember::restart()
{
    this->up = true;
    // A primary that was replaced while it was down comes back as a replica.
    this->primary = this->primary && this->group.leader() == this;
    this->listen();
}

Position StandinMember::positionAt(std::size_t count) const
{
    return count == 0 ? Position { 1, 0 } : this->log[count - 1].position;
}

bool StandinMember::contains(const Position& position) const
{
    return std::any_of(this->log.begin(), this->log.begin() + static_cast<std::ptrdiff_t>(this->appliedCount),
        [&](const Record& record) { return record.position == position; });
}

bool StandinMember::holds(const Position& position) const
{
    return position.index > 0 && position.index <= this->log.size()
        && this->log[position.index - 1].position == position;
}

std::string StandinMember::ready(const Connection& connection) const
{
    return std::string("READY ") + (connection.transaction.empty() ? "I " : "T ") + toDotted(this->applied()) + "\r\n";
}

std::size_t StandinMember::startedConnections() const
{
    return static_cast<std::size_t>(std::count_if(
        this->connections.begin(), this->connections.end(), [](const auto& entry) { return entry.second.started; }));
}

bool StandinMember::happens(double probability)
{
    return std::uniform_real_distribution<double>(0, 1)(this->group.random) < probability;
}

bool StandinMember::onLine(std::uint64_t number, std::string_view line)
{
    std::string rest(line);
    const auto word = takeWord(rest);
    if (word == "STARTUP")
        return this->onStartup(number, std::move(rest));
    auto& connection = this->connections.at(number);
    if (word != "QUERY" || !connection.started) {
        this->connections.erase(number);
        return false;
    }
    connection.requests.push_back(std::move(rest));
    if (connection.requests.size() == 1)
        this->runNextLater(number);
    return true;
}

bool StandinMember::onStartup(std::uint64_t number, std::string fields)
{
    auto& connection = this->connections.at(number);
    const auto service = takeWord(fields);
    takeWord(fields);
    if (service != this->group.name || fields != this->id) {
        connection.socket->write("ERROR MISROUTED other\r\n");
        this->connections.erase(number);
        return false;
    }
    if (this->startedConnections() >= this->group.maxConnections) {
        connection.socket->write("ERROR TOOMANY full\r\n");
        this->connections.erase(number);
        return false;
    }
    connection.started = true;
    this->reply(number, this->ready(connection));
    return true;
}

void StandinMember::runNextLater(std::uint64_t number)
{
    // Statements take one to five milliseconds.
    const auto timer = std::make_shared<asio::steady_timer>(this->context);
    timer->expires_after(std::chrono::microseconds(1000 + this->group.random() % 4000));
    timer->async_wait([this, weak = std::weak_ptr<int>(this->lifetime), timer, number](const asio::error_code&) {
        if (!weak.expired() && this->connections.count(number) != 0)
            this->runNext(number);
    });
}

void StandinMember::runNext(std::uint64_t number)
{
    auto& connection = this->connections.at(number);
    auto request = connection.requests.front();
    const auto queryId = takeWord(request);
    bool ran = false;
    const auto before = this->log.size();
    const auto result = this->answer(connection, queryId, std::move(request), ran);
    const bool answered = !ran || !this->happens(this->loseAnswers);
    if (answered && this->log.size() > before && this->group.syncReplicas > 0) {
        this->replyWhenReplicated(number, result + this->ready(connection), this->received());
        return;
    }
    if (answered)
        this->reply(number, result + this->ready(connection));
    this->endRequest(number);
}

void StandinMember::endRequest(std::uint64_t number)
{
    auto& connection = this->connections.at(number);
    connection.requests.pop_front();
    if (!connection.requests.empty())
        this->runNextLater(number);
}

// Answers a commit once enough replicas have it, and ends the connection if that cannot happen any more.
void StandinMember::replyWhenReplicated(std::uint64_t number, const std::string& bytes, const Position& position)
{
    const auto found = this->connections.find(number);
    if (found == this->connections.end())
        return;
    if (!this->holds(position) || !this->primary) {
        found->second.socket->close();
        this->connections.erase(found);
        return;
    }
    if (this->group.isReplicated(position)) {
        this->reply(number, bytes);
        this->endRequest(number);
        return;
    }
    constexpr std::chrono::milliseconds checkInterval { 3 };
    const auto timer = std::make_shared<asio::steady_timer>(this->context);
    timer->expires_after(checkInterval);
    timer->async_wait(
        [this, weak = std::weak_ptr<int>(this->lifetime), timer, number, bytes, position](const asio::error_code&) {
            if (!weak.expired())
                this->replyWhenReplicated(number, bytes, position);
        });
}

// Sends an answer, and at times the same bytes again later, whatever the connection is used for by then.
void StandinMember::reply(std::uint64_t number, const std::string& bytes)
{
    this->connections.at(number).socket->write(bytes);
    if (!this->happens(this->answerTwice))
        return;
    const auto maxDelayMs = this->group.random() % longRepeatOneIn == 0 ? maxLongRepeatDelayMs : maxRepeatDelayMs;
    const auto timer = std::make_shared<asio::steady_timer>(this->context);
    timer->expires_after(std::chrono::milliseconds(this->group.random() % static_cast<unsigned>(maxDelayMs + 1)));
    timer->async_wait([this, weak = std::weak_ptr<int>(this->lifetime), timer, number, bytes](const asio::error_code&) {
        if (weak.expired())
            return;
        const auto found = this->connections.find(number);
        if (found != this->connections.end())
            found->second.socket->write(bytes);
    });
}

} // namespace endivetrestle::soak
