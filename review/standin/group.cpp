#include "group.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace review {

namespace {

std::string takeWord(std::string& text)
{
    const auto end = text.find(' ');
    auto word = text.substr(0, end);
    text = end == std::string::npos ? "" : text.substr(end + 1);
    return word;
}

Position parsePosition(const std::string& text)
{
    const auto dot = text.find('.');
    return { std::stoul(text), std::stoul(text.substr(dot + 1)) };
}

constexpr const char* completed = "COMPLETE -\r\n";

} // namespace

std::string toString(const Position& position)
{
    return std::to_string(position.term) + "." + std::to_string(position.number);
}

Member::Member(
    asio::io_context& context, Group& group, std::string id, const asio::ip::address& address, Record& record)
    : id(std::move(id))
    , context(context)
    , group(group)
    , record(record)
    , acceptor(context, { address, 0 })
{
    // Every log begins with the same commits.
    for (unsigned long number = 1; number <= 3; ++number)
        this->log.push_back({ { 1, number }, "-", "start", "s" + std::to_string(number), Clock::time_point() });
    this->accept();
}

std::size_t Member::applied() const
{
    if (this->primary)
        return this->log.size();
    const auto limit = Clock::now() - this->group.settings.lag;
    std::size_t count = 0;
    while (count < this->log.size() && this->log[count].committedAt <= limit)
        ++count;
    return count;
}

Position Member::position() const
{
    const auto count = this->applied();
    return count == 0 ? Position { this->term, 0 } : this->log[count - 1].position;
}

bool Member::contains(const Position& wanted) const
{
    const auto end = this->log.begin() + static_cast<std::ptrdiff_t>(this->applied());
    return wanted.number == 0
        || std::any_of(this->log.begin(), end, [&](const Commit& commit) { return commit.position == wanted; });
}

std::string Member::address() const
{
    const auto endpoint = this->acceptor.local_endpoint();
    return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

void Member::accept()
{
    this->acceptor.async_accept([this](const asio::error_code& error, asio::ip::tcp::socket socket) {
        if (error)
            return;
        asio::error_code ignored;
        socket.set_option(asio::ip::tcp::no_delay(true), ignored);
        asio::co_spawn(this->context, this->serve(std::make_shared<Connection>(std::move(socket))), asio::detached);
        this->accept();
    });
}

std::string Member::ready(const Connection& connection) const
{
    const char* state = connection.failed ? "E" : connection.inTransaction ? "T" : "I";
    return std::string("READY ") + state + " " + toString(this->position()) + "\r\n";
}

asio::awaitable<void> Member::serve(std::shared_ptr<Connection> connection)
{
    auto& socket = connection->socket;
    std::string input;
    bool started = false;
    try {
        while (true) {
            const auto length
                = co_await asio::async_read_until(socket, asio::dynamic_buffer(input), "\r\n", asio::use_awaitable);
            auto rest = input.substr(0, length - 2);
            input.erase(0, length);
            const auto word = takeWord(rest);
            if (word == "STARTUP" && !started) {
                const auto service = takeWord(rest);
                takeWord(rest);
                const bool wrong = service != this->group.settings.service || (!rest.empty() && rest != this->id);
                const bool full = this->connections >= this->group.settings.maxConnections;
                if (wrong || full) {
                    const std::string refusal = wrong ? "ERROR MISROUTED other\r\n" : "ERROR TOOMANY full\r\n";
                    co_await asio::async_write(socket, asio::buffer(refusal), asio::use_awaitable);
                    break;
                }
                started = true;
                ++this->connections;
                const auto line = this->ready(*connection);
                co_await asio::async_write(socket, asio::buffer(line), asio::use_awaitable);
                continue;
            }
            if (word != "QUERY" || !started)
                break;
            const auto queryId = takeWord(rest);
            auto text = co_await this->answer(*connection, queryId, rest);
            text += this->ready(*connection);
            co_await asio::async_write(socket, asio::buffer(text), asio::use_awaitable);
        }
    } catch (const std::exception&) {
        // The peer has closed the connection, which rolls back what is open on it.
    }
    if (started)
        --this->connections;
}

asio::awaitable<std::string> Member::answer(Connection& connection, std::string queryId, std::string text)
{
    auto rest = text;
    auto word = takeWord(rest);
    if (word == "STATUS")
        co_return std::string("DATAROW ") + (this->primary ? "primary " : "replica ") + std::to_string(this->term) + " "
            + toString(this->log.back().position) + " 0 "
            + std::to_string(this->primary ? 0 : this->group.settings.lag.count()) + " " + std::to_string(this->running)
            + " " + std::to_string(this->connections) + "\r\n" + completed;
    if (word == "DEMOTE") {
        if (this->term < std::stoul(rest)) {
            this->record.write("member " + this->id + ": DEMOTE " + rest);
            this->primary = false;
        }
        co_return std::string("DATAROW replica ") + std::to_string(this->term) + " "
            + toString(this->log.back().position) + " 0 0 0 1\r\n" + completed;
    }
    if (word == "RESET") {
        connection.values.clear();
        connection.prepared.clear();
        co_return completed;
    }
    if (word == "ROLLBACK") {
        connection.inTransaction = connection.failed = false;
        connection.writes.clear();
        co_return completed;
    }
    if (connection.failed && word != "COMMIT")
        co_return "ERROR MALFORMED failed\r\n";
    if (word == "SET") {
        const auto name = takeWord(rest);
        connection.values[name] = rest;
        co_return completed;
    }
    if (word == "PREPARE") {
        const auto name = takeWord(rest);
        const auto access = takeWord(rest);
        connection.prepared[name] = { access, rest };
        co_return completed;
    }
    if (word == "WAITLSN") {
        if (!this->contains(parsePosition(takeWord(rest))))
            co_return "ERROR LAGGING " + this->id + "\r\n";
        text = rest;
        word = takeWord(rest);
    }
    if (word == "BEGIN") {
        if (rest != "READ" && !this->primary)
            co_return "ERROR READONLY " + this->id + "\r\n";
        connection.inTransaction = true;
        connection.plain = rest != "READ";
        co_return completed;
    }
    // A statement occupies a slot while it runs, and waits for one.
    asio::steady_timer timer(this->context);
    while (this->running >= this->group.settings.slots) {
        timer.expires_after(std::chrono::milliseconds(1));
        co_await timer.async_wait(asio::use_awaitable);
    }
    ++this->running;
    auto result = this->runStatement(connection, queryId, text);
    timer.expires_after(this->group.settings.work);
    co_await timer.async_wait(asio::use_awaitable);
    --this->running;
    co_return result;
}

std::string Member::runStatement(Connection& connection, const std::string& queryId, const std::string& text)
{
    auto rest = text;
    auto word = takeWord(rest);
    if (word == "COMMIT")
        return this->commit(connection, queryId);
    if (word == "EXECUTE") {
        const auto found = connection.prepared.find(takeWord(rest));
        if (found == connection.prepared.end())
            return "ERROR NOSTMT unknown\r\n";
        word = found->second.first;
    }
    const bool writes = word == "WRITE";
    if (!this->primary && (writes || (connection.inTransaction && connection.plain))) {
        connection.failed = connection.inTransaction;
        return "ERROR READONLY " + this->id + "\r\n";
    }
    this->group.ran.insert(queryId);
    const auto item = takeWord(rest);
    this->record.write("member " + this->id + ": runs " + queryId + " " + text + " as "
        + (this->primary ? "primary" : "replica") + " at " + toString(this->position()));
    if (writes) {
        Commit commit { {}, queryId, item, rest, {} };
        if (connection.inTransaction)
            connection.writes.push_back(commit);
        else
            this->append(commit);
        return "COMPLETE " + this->id + "." + std::to_string(++this->signatures) + "\r\n";
    }
    std::string data = "-";
    for (std::size_t i = 0; i < this->applied(); ++i) {
        if (this->log[i].item == item)
            data = this->log[i].data;
    }
    return "DATAROW " + data + "\r\nCOMPLETE " + this->id + "." + std::to_string(++this->signatures) + "\r\n";
}

std::string Member::commit(Connection& connection, const std::string& queryId)
{
    const bool lost = connection.plain && !this->primary && !connection.writes.empty();
    if (connection.failed || lost) {
        connection.inTransaction = connection.failed = false;
        connection.writes.clear();
        return lost ? "ERROR READONLY " + this->id + "\r\n" : std::string("ERROR ABORTED rolled back\r\n");
    }
    for (const auto& write : connection.writes)
        this->append(write);
    connection.inTransaction = false;
    connection.writes.clear();
    this->record.write("member " + this->id + ": commits " + queryId);
    return "COMPLETE " + this->id + "." + std::to_string(++this->signatures) + "\r\n";
}

void Member::append(Commit commit)
{
    commit.position = { this->term, this->log.back().position.number + 1 };
    commit.committedAt = Clock::now();
    this->record.write("member " + this->id + ": commit " + toString(commit.position) + " by " + commit.id + " sets "
        + commit.item + " = " + commit.data);
    this->log.push_back(std::move(commit));
}

Group::Group(asio::io_context& context, GroupSettings initial, const asio::ip::address& address, Record& record)
    : settings(std::move(initial))
    , context(context)
    , record(record)
    , ticker(context)
{
    for (int i = 1; i <= 3; ++i) {
        this->members.push_back(std::make_unique<Member>(
            context, *this, "i-" + this->settings.service + "-" + std::to_string(i), address, record));
    }
    this->members.front()->primary = true;
    this->tick();
}

Member* Group::find(const std::string& id)
{
    const auto found = std::find_if(
        this->members.begin(), this->members.end(), [&](const auto& member) { return member->id == id; });
    return found == this->members.end() ? nullptr : found->get();
}

Member* Group::leader()
{
    Member* best = nullptr;
    for (const auto& member : this->members) {
        if (member->primary && (best == nullptr || member->term > best->term))
            best = member.get();
    }
    return best;
}

void Group::publish(Platform& target)
{
    this->platform = &target;
    for (const auto& member : this->members) {
        const nlohmann::json row { { "Service", this->settings.service }, { "Address", member->address() },
            { "Zone", "a" }, { "Version", "v1" }, { "Capacity", this->settings.slots },
            { "State", member->draining ? "draining" : "ready" }, { "WarmupLeftMs", 0 },
            { "DbRole", member->primary ? "primary" : "replica" }, { "Seq", 1 } };
        if (std::exchange(this->published[member->id], row.dump()) != row.dump())
            target.put("servers", member->id, row);
    }
}

int Group::promote(const std::string& id)
{
    if (this->find(id) == nullptr)
        return 409;
    const auto timer = std::make_shared<asio::steady_timer>(this->context, this->settings.promoteTime);
    timer->async_wait([this, timer, id](const asio::error_code& error) {
        if (error || this->find(id) == this->leader())
            return;
        auto* member = this->find(id);
        unsigned long highest = 0;
        for (const auto& other : this->members)
            highest = std::max(highest, other->term);
        member->term = highest + 1;
        member->primary = true;
        this->record.write("member " + id + ": leads term " + std::to_string(member->term) + " from "
            + toString(member->log.back().position));
    });
    return 200;
}

// Replicas receive at once and apply after the lag. A replica that was ahead drops what the leader does not hold.
void Group::replicate()
{
    auto* source = this->leader();
    if (source == nullptr)
        return;
    for (const auto& member : this->members) {
        if (member.get() == source || member->primary)
            continue;
        auto common = std::min(member->log.size(), source->log.size());
        while (common > 0 && member->log[common - 1].position != source->log[common - 1].position)
            --common;
        member->log.resize(common);
        member->log.insert(
            member->log.end(), source->log.begin() + static_cast<std::ptrdiff_t>(common), source->log.end());
        member->term = source->term;
    }
}

void Group::tick()
{
    this->replicate();
    if (this->platform != nullptr)
        this->publish(*this->platform);
    this->ticker.expires_after(std::chrono::milliseconds(1));
    this->ticker.async_wait([this](const asio::error_code& error) {
        if (!error)
            this->tick();
    });
}

} // namespace review
