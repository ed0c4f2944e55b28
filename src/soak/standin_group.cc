#include "soak/standin_group.h"

#include "base/boot_clock.h"
#include "platform/line_codec.h"

#include <algorithm>

namespace endivetrestle::soak {

namespace {

// Takes the next field off the front of a text.
std::string takeWord(std::string& text)
{
    const auto end = text.find(' ');
    auto word = text.substr(0, end);
    text = end == std::string::npos ? "" : text.substr(end + 1);
    return word;
}

std::string dotted(const Position& position)
{
    return std::to_string(position.term) + "." + std::to_string(position.index);
}

} // namespace

std::string rowOf(const std::string& queryId) { return "row-" + queryId + "\nCOMPLETE forged"; }

StandinMember::StandinMember(asio::io_context& context, StandinGroup& group, std::string id)
    : id(std::move(id))
    , context(context)
    , group(group)
    , acceptor(context)
{
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
    this->boundPort = this->acceptor.local_endpoint().port();
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

std::string StandinMember::ready(const Connection& connection) const
{
    return std::string("READY ") + (connection.inTransaction ? "T " : "I ") + dotted(this->applied()) + "\r\n";
}

std::size_t StandinMember::startedConnections() const
{
    return static_cast<std::size_t>(std::count_if(
        this->connections.begin(), this->connections.end(), [](const auto& entry) { return entry.second.started; }));
}

bool StandinMember::onLine(std::uint64_t number, std::string_view line)
{
    auto& connection = this->connections.at(number);
    std::string rest(line);
    const auto word = takeWord(rest);
    if (word == "STARTUP") {
        const auto service = takeWord(rest);
        takeWord(rest);
        if (service != this->group.name || rest != this->id) {
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
        connection.socket->write(this->ready(connection));
        return true;
    }
    if (word != "QUERY" || !connection.started)
        return false;
    const auto queryId = takeWord(rest);
    // Statements take one to five milliseconds.
    const auto timer = std::make_shared<asio::steady_timer>(this->context);
    timer->expires_after(std::chrono::microseconds(1000 + this->group.random() % 4000));
    timer->async_wait(
        [this, weak = std::weak_ptr<int>(this->lifetime), timer, number, queryId, rest](const asio::error_code&) {
            if (!weak.expired() && this->connections.count(number) != 0)
                this->run(number, queryId, rest);
        });
    return true;
}

void StandinMember::run(std::uint64_t number, const std::string& queryId, std::string text)
{
    auto& connection = this->connections.at(number);
    bool ran = false;
    auto reply = this->answer(connection, queryId, std::move(text), ran);
    const bool lost = ran && std::uniform_real_distribution<double>(0, 1)(this->group.random) < this->loseAnswers;
    if (!lost)
        connection.socket->write(reply + this->ready(connection));
}

std::string StandinMember::answer(Connection& connection, const std::string& queryId, std::string text, bool& ran)
{
    auto rest = text;
    auto word = takeWord(rest);
    if (word == "WAITLSN") {
        const auto wanted = platform::parsePosition(takeWord(rest));
        if (!wanted || (wanted->index > 0 && !this->contains(*wanted)))
            return "ERROR LAGGING behind\r\n";
        text = rest;
        word = takeWord(rest);
    }
    if (word == "RESET") {
        connection.values.clear();
        connection.prepared.clear();
        return "COMPLETE -\r\n";
    }
    if (word == "SET") {
        const auto name = takeWord(rest);
        connection.values[name] = rest;
        return "COMPLETE -\r\n";
    }
    if (word == "PREPARE") {
        const auto name = takeWord(rest);
        connection.prepared[name] = takeWord(rest);
        return "COMPLETE -\r\n";
    }
    if (word == "STATUS")
        return std::string("DATAROW ") + (this->primary ? "primary " : "replica ") + std::to_string(this->term) + " "
            + dotted(this->received()) + " 0 0 0 " + std::to_string(this->connections.size()) + "\r\nCOMPLETE -\r\n";
    if (word == "DEMOTE") {
        if (this->term < std::stoull(rest))
            this->primary = false;
        return "COMPLETE -\r\n";
    }
    if (word == "ROLLBACK") {
        connection.inTransaction = false;
        connection.writes.clear();
        return "COMPLETE -\r\n";
    }
    if (word == "BEGIN") {
        if (rest != "READ" && !this->primary)
            return "ERROR READONLY replica\r\n";
        connection.inTransaction = true;
        connection.plain = rest != "READ";
        return "COMPLETE -\r\n";
    }
    return this->answerStatement(connection, queryId, text, ran);
}

std::string StandinMember::answerStatement(
    Connection& connection, const std::string& queryId, const std::string& text, bool& ran)
{
    auto rest = text;
    auto word = takeWord(rest);
    if (word == "COMMIT")
        return this->commit(connection, queryId);
    if (word == "EXECUTE") {
        const auto prepared = connection.prepared.find(takeWord(rest));
        if (prepared == connection.prepared.end())
            return "ERROR NOSTMT unknown\r\n";
        word = prepared->second;
    }
    const bool writes = word == "WRITE";
    if (!this->primary && (writes || (connection.inTransaction && connection.plain)))
        return "ERROR READONLY replica\r\n";
    constexpr int busyOneIn = 100;
    if (this->group.random() % busyOneIn == 0)
        return "ERROR BUSY full\r\n";
    ran = true;
    this->group.audit.onRun(
        queryId, connection.values, [this](const Position& position) { return this->contains(position); });
    if (writes && connection.inTransaction)
        connection.writes.push_back(queryId);
    else if (writes)
        this->append({ queryId });
    return "DATAROW " + rowOf(queryId) + "\r\nCOMPLETE sig-" + queryId + "\r\n";
}

std::string StandinMember::commit(Connection& connection, const std::string& queryId)
{
    if (connection.plain && !this->primary && !connection.writes.empty()) {
        connection.inTransaction = false;
        connection.writes.clear();
        return "ERROR READONLY replica\r\n";
    }
    if (!connection.writes.empty())
        this->append(connection.writes);
    connection.inTransaction = false;
    connection.writes.clear();
    return "COMPLETE sig-" + queryId + "\r\n";
}

void StandinMember::append(const std::vector<std::string>& writes)
{
    const Position position { this->term, this->received().index + 1 };
    this->log.push_back({ position, writes, bootNow() });
    this->appliedCount = this->log.size();
    const bool superseded = this->group.leader() != this;
    for (const auto& id : writes)
        this->group.audit.onCommitted(id, this->group.name, position, superseded);
}

StandinGroup::StandinGroup(asio::io_context& context, std::string name, Audit& audit, std::mt19937_64& random)
    : name(std::move(name))
    , audit(audit)
    , random(random)
{
    for (int i = 1; i <= 3; ++i)
        this->addMember(context);
    this->lastPromoted = this->members.front().get();
    this->lastPromoted->primary = true;
}

StandinMember& StandinGroup::addMember(asio::io_context& context)
{
    const auto id = this->name + "-" + std::to_string(this->members.size() + 1);
    this->members.push_back(std::make_unique<StandinMember>(context, *this, id));
    return *this->members.back();
}

StandinMember* StandinGroup::leader() { return this->lastPromoted->primary ? this->lastPromoted : nullptr; }

StandinMember* StandinGroup::find(const std::string& id)
{
    for (const auto& member : this->members) {
        if (member->id == id)
            return member.get();
    }
    return nullptr;
}

void StandinGroup::promote(const std::string& id)
{
    auto* member = this->find(id);
    if (member == nullptr || !member->up || member == this->leader())
        return;
    std::uint64_t highest = 0;
    for (const auto& other : this->members)
        highest = std::max(highest, other->term);
    this->audit.onRolledBack(this->name, member->received(), highest + 1);
    this->lastPromoted = member;
    member->primary = true;
    member->term = highest + 1;
    member->appliedCount = member->log.size();
}

void StandinGroup::replicate()
{
    auto* source = this->leader();
    if (source == nullptr || !source->up)
        return;
    const auto due = bootNow() - this->replicationDelay;
    const auto available
        = static_cast<std::size_t>(std::partition_point(source->log.begin(), source->log.end(),
                                       [&](const StandinMember::Record& record) { return record.committedAt <= due; })
            - source->log.begin());
    // A replaced primary learns of its successor after about a second.
    constexpr int ticksUntilLearned = 200;
    for (const auto& member : this->members) {
        if (member->primary && member.get() != source && this->random() % ticksUntilLearned == 0)
            member->primary = false;
        if (member.get() == source || member->deaf || !member->up || member->primary)
            continue;
        // A member that follows a new primary drops what that one does not hold.
        auto common = std::min(member->log.size(), source->log.size());
        while (common > 0 && member->log[common - 1].position != source->log[common - 1].position)
            --common;
        member->log.resize(common);
        member->term = source->term;
        const auto target = std::max(common, available);
        member->log.insert(member->log.end(), source->log.begin() + static_cast<std::ptrdiff_t>(common),
            source->log.begin() + static_cast<std::ptrdiff_t>(target));
        member->appliedCount = member->log.size();
    }
}

} // namespace endivetrestle::soak
