// Stand-ins of the platform for the scripts of the third review: a metadata store, a promotion service, the members of
// one service, clients, and the processes of the system. They follow PROTOCOL.md and DEPLOY.md. Every address is a
// loopback address.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <cstring>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace review {

using nlohmann::json;
using Clock = std::chrono::steady_clock;
using Ms = std::chrono::milliseconds;

inline std::int64_t nowMs() { return std::chrono::duration_cast<Ms>(Clock::now().time_since_epoch()).count(); }
inline void sleepMs(int ms) { std::this_thread::sleep_for(Ms(ms)); }

// Notes of a run, one line each, with the time since the start.
class Record {
public:
    explicit Record(const std::string& file)
        : out(file)
    {
    }

    // Writes a line to the file and to standard output.
    void line(const std::string& text)
    {
        const auto stamped = this->write(text);
        std::printf("%s\n", stamped.c_str());
        std::fflush(stdout);
    }
    // Writes a line to the file alone.
    void note(const std::string& text) { this->write(text); }

private:
    std::string write(const std::string& text)
    {
        const std::lock_guard lock(this->mutex);
        char stamp[32];
        std::snprintf(stamp, sizeof stamp, "%8.3f ", static_cast<double>(nowMs() - this->start) / 1000.0);
        const auto stamped = stamp + text;
        this->out << stamped << std::endl;
        return stamped;
    }

    std::mutex mutex;
    std::ofstream out;
    std::int64_t start = nowMs();
};

// Network of the loopback range that depends on the process, so that runs do not meet.
inline std::string loopbackNetwork()
{
    const auto process = getpid();
    return "127." + std::to_string(1 + process / 250 % 250) + "." + std::to_string(1 + process % 250) + ".";
}

inline sockaddr_in addressOf(const std::string& ip, int port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

// One TCP connection with buffered reading of lines.
class Stream {
public:
    explicit Stream(int fd = -1)
        : fd(fd)
    {
        const int on = 1;
        if (fd >= 0)
            setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    ~Stream() { this->close(); }
    Stream(const Stream&) = delete;
    Stream& operator=(const Stream&) = delete;
    Stream(Stream&& other) noexcept
        : fd(std::exchange(other.fd, -1))
        , input(std::move(other.input))
    {
    }
    Stream& operator=(Stream&& other) noexcept
    {
        this->close();
        this->fd = std::exchange(other.fd, -1);
        this->input = std::move(other.input);
        return *this;
    }

    static Stream connect(const std::string& ip, int port, int receiveBuffer = 0)
    {
        const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        if (receiveBuffer > 0)
            setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof receiveBuffer);
        const auto address = addressOf(ip, port);
        if (::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
            ::close(fd);
            return Stream();
        }
        return Stream(fd);
    }

    [[nodiscard]] bool isOpen() const { return this->fd >= 0; }
    void close()
    {
        if (this->fd >= 0)
            ::close(this->fd);
        this->fd = -1;
    }
    void shutdown()
    {
        if (this->fd >= 0)
            ::shutdown(this->fd, SHUT_RDWR);
    }

    bool send(const std::string& bytes) { return this->sendSome(bytes, -1) == bytes.size(); }

    // Sends until everything is sent or the other side has taken nothing for the given time; returns the bytes sent.
    std::size_t sendSome(const std::string& bytes, int patienceMs)
    {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            pollfd ready { this->fd, POLLOUT, 0 };
            if (poll(&ready, 1, patienceMs) <= 0)
                break;
            const auto count = ::send(this->fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL | MSG_DONTWAIT);
            if (count < 0 && errno != EAGAIN)
                break;
            sent += count > 0 ? static_cast<std::size_t>(count) : 0;
        }
        return sent;
    }

    // One line without its CR LF; no value at the end, or if it does not come in time.
    std::optional<std::string> line(int patienceMs = -1)
    {
        const auto until = nowMs() + patienceMs;
        for (;;) {
            const auto end = this->input.find("\r\n");
            if (end != std::string::npos) {
                auto text = this->input.substr(0, end);
                this->input.erase(0, end + 2);
                return text;
            }
            if (!this->fill(patienceMs < 0 ? -1 : static_cast<int>(std::max<std::int64_t>(0, until - nowMs()))))
                return std::nullopt;
        }
    }

    std::optional<std::string> bytes(std::size_t count)
    {
        while (this->input.size() < count) {
            if (!this->fill(-1))
                return std::nullopt;
        }
        auto text = this->input.substr(0, count);
        this->input.erase(0, count);
        return text;
    }

private:
    bool fill(int patienceMs)
    {
        if (this->fd < 0)
            return false;
        pollfd ready { this->fd, POLLIN, 0 };
        if (poll(&ready, 1, patienceMs) <= 0)
            return false;
        char buffer[65536];
        const auto count = recv(this->fd, buffer, sizeof buffer, 0);
        if (count <= 0)
            return false;
        this->input.append(buffer, static_cast<std::size_t>(count));
        return true;
    }

    int fd;
    std::string input;
};

// Accepts connections on a free port and serves each on a thread of its own.
class Listener {
public:
    // Port 0 means a free one.
    Listener(const std::string& ip, std::function<void(Stream&)> serve, int port = 0)
        : port(port)
        , ip(ip)
        , serve(std::move(serve))
    {
        this->open();
    }

    // Opens the port; the same one as before if there was one.
    void open()
    {
        const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        auto address = addressOf(this->ip, this->port);
        socklen_t size = sizeof address;
        if (bind(descriptor, reinterpret_cast<sockaddr*>(&address), size) != 0 || listen(descriptor, 512) != 0) {
            std::perror("listen");
            std::exit(2);
        }
        getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size);
        this->port = ntohs(address.sin_port);
        this->fd = descriptor;
        std::thread([this, descriptor] {
            for (;;) {
                const int accepted = accept4(descriptor, nullptr, nullptr, SOCK_CLOEXEC);
                if (accepted < 0)
                    return;
                std::thread([accepted, serve = this->serve] {
                    Stream stream(accepted);
                    serve(stream);
                }).detach();
            }
        }).detach();
    }
    // Refuses connections from now on, like a process that has ended.
    void close()
    {
        ::shutdown(this->fd, SHUT_RDWR);
        ::close(this->fd);
    }

    int port;

private:
    std::string ip;
    std::function<void(Stream&)> serve;
    int fd = -1;
};

inline std::string takeWord(std::string& text)
{
    const auto end = text.find(' ');
    auto word = text.substr(0, end);
    text = end == std::string::npos ? "" : text.substr(end + 1);
    return word;
}

inline std::string base64(const std::string& text)
{
    static const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < text.size(); i += 3) {
        std::uint32_t group = 0;
        for (std::size_t k = 0; k < 3; ++k)
            group = group << 8U | (i + k < text.size() ? static_cast<unsigned char>(text[i + k]) : 0U);
        for (std::size_t k = 0; k < 4; ++k)
            out += i + k <= text.size() ? digits[group >> (18U - 6U * k) & 63U] : '=';
    }
    return out;
}

inline std::string fromBase64(const std::string& text)
{
    std::string out;
    std::uint32_t bits = 0;
    int count = 0;
    for (const char c : text) {
        int value = 0;
        if (c >= 'A' && c <= 'Z')
            value = c - 'A';
        else if (c >= 'a' && c <= 'z')
            value = c - 'a' + 26;
        else if (c >= '0' && c <= '9')
            value = c - '0' + 52;
        else if (c == '+')
            value = 62;
        else if (c == '/')
            value = 63;
        else
            break;
        bits = bits << 6U | static_cast<std::uint32_t>(value);
        count += 6;
        if (count >= 8) {
            count -= 8;
            out += static_cast<char>(bits >> static_cast<unsigned>(count) & 0xffU);
        }
    }
    return out;
}

// The platform's metadata store: rows with versions, transactions under conditions, and watches. It loses nothing.
// `POST /promote` is served on the same port.
class Store {
public:
    // Performs a promotion and returns the status of the answer.
    using Promote = std::function<int(const std::string& service, const std::string& id)>;

    Store(const std::string& ip, Promote promote)
        : promote(std::move(promote))
        , listener(ip, [this](Stream& stream) { this->serve(stream); })
    {
    }

    // Writes a row as the operator and the members do.
    void put(const std::string& table, const std::string& key, const json& value)
    {
        const std::lock_guard lock(this->mutex);
        this->rows[{ table, key }] = { value.dump(), ++this->version, false };
        this->changed.notify_all();
    }

    // Removes a row, as when the entry of a member lapses.
    void remove(const std::string& table, const std::string& key)
    {
        const std::lock_guard lock(this->mutex);
        this->rows[{ table, key }] = { "", ++this->version, true };
        this->changed.notify_all();
    }

    [[nodiscard]] int port() const { return this->listener.port; }

private:
    struct Row {
        std::string value;
        std::uint64_t version = 0;
        bool removed = false;
    };
    using Key = std::pair<std::string, std::string>;

    static json encode(const Key& key, const Row& row)
    {
        json entry { { "Table", key.first }, { "part", "" }, { "Key", key.second }, { "Value", base64(row.value) },
            { "SchemaVersion", row.version } };
        if (row.removed)
            entry["Deleted"] = true;
        return entry;
    }

    static std::string parameter(const std::string& query, const std::string& name)
    {
        const auto text = "&" + query;
        const auto at = text.find("&" + name + "=");
        if (at == std::string::npos)
            return "";
        const auto from = at + name.size() + 2;
        const auto raw = text.substr(from, text.find('&', from) - from);
        std::string out;
        for (std::size_t i = 0; i < raw.size(); ++i) {
            if (raw[i] == '%' && i + 2 < raw.size()) {
                out += static_cast<char>(std::stoi(raw.substr(i + 1, 2), nullptr, 16));
                i += 2;
            } else
                out += raw[i];
        }
        return out;
    }

    void serve(Stream& stream)
    {
        for (;;) {
            const auto first = stream.line();
            if (!first)
                return;
            std::size_t length = 0;
            for (;;) {
                auto header = stream.line();
                if (!header)
                    return;
                if (header->empty())
                    break;
                std::transform(header->begin(), header->end(), header->begin(), ::tolower);
                if (header->rfind("content-length:", 0) == 0)
                    length = std::stoul(header->substr(15));
            }
            const auto body = stream.bytes(length);
            if (!body)
                return;
            auto rest = *first;
            const auto method = takeWord(rest);
            const auto target = takeWord(rest);
            const auto mark = target.find('?');
            const auto path = target.substr(0, mark);
            const auto query = mark == std::string::npos ? "" : target.substr(mark + 1);
            const auto [status, answer] = this->handle(path, query, *body);
            const auto text = answer.dump();
            if (!stream.send("HTTP/1.1 " + std::to_string(status)
                    + " X\r\nStore-Era: 1\r\nContent-Type: application/json\r\nContent-Length: "
                    + std::to_string(text.size()) + "\r\n\r\n" + text))
                return;
        }
    }

    std::pair<int, json> handle(const std::string& path, const std::string& query, const std::string& body)
    {
        if (path == "/promote") {
            const auto call = json::parse(body);
            return { this->promote(call.at("Service"), call.at("Id")), json::object() };
        }
        if (path == "/v1/rows-tx") {
            sleepMs(4);
            return this->transact(json::parse(body));
        }
        const auto table = parameter(query, "Table");
        std::unique_lock lock(this->mutex);
        if (path == "/v1/rows-get")
            return { 200, this->list(table, 0, false) };
        if (path != "/v1/rows-feed")
            return { 404, json::object() };
        const auto after = std::stoull(parameter(query, "after"));
        const auto until = Clock::now() + Ms(std::stoll(parameter(query, "WaitMs")));
        while (this->list(table, after, true).at("rows").empty()) {
            if (this->changed.wait_until(lock, until) == std::cv_status::timeout)
                break;
        }
        return { 200, this->list(table, after, true) };
    }

    // Rows of a table that are newer than a version, in the order of their versions if `removed` asks for the feed.
    json list(const std::string& table, std::uint64_t after, bool removed) const
    {
        std::vector<std::pair<std::uint64_t, json>> found;
        for (const auto& [key, row] : this->rows) {
            if (key.first == table && row.version > after && (removed || !row.removed))
                found.emplace_back(removed ? row.version : 0, encode(key, row));
        }
        std::stable_sort(
            found.begin(), found.end(), [](const auto& left, const auto& right) { return left.first < right.first; });
        json entries = json::array();
        for (auto& [version, entry] : found)
            entries.push_back(std::move(entry));
        return { { "rows", entries }, { "HasMore", false }, { "SchemaVersion", this->version }, { "NowMs", nowMs() } };
    }

    std::pair<int, json> transact(const json& call)
    {
        const std::lock_guard lock(this->mutex);
        json present = json::array();
        bool holds = true;
        for (const auto& expected : call.value("Expect", json::array())) {
            const Key key { expected.at("Table"), expected.at("Key") };
            const auto found = this->rows.find(key);
            const bool exists = found != this->rows.end() && !found->second.removed;
            holds = holds && expected.at("SchemaVersion") == (exists ? found->second.version : 0);
            if (exists)
                present.push_back(encode(key, found->second));
        }
        if (!holds)
            return { 412, { { "rows", present }, { "SchemaVersion", this->version }, { "NowMs", nowMs() } } };
        ++this->version;
        for (const auto& row : call.value("SetKeys", json::array()))
            this->rows[{ row.at("Table"), row.at("Key") }] = { fromBase64(row.at("Value")), this->version, false };
        for (const auto& row : call.value("Remove", json::array()))
            this->rows[{ row.at("Table"), row.at("Key") }] = { "", this->version, true };
        this->changed.notify_all();
        return { 200, { { "SchemaVersion", this->version }, { "NowMs", nowMs() } } };
    }

    Promote promote;
    std::mutex mutex;
    std::condition_variable changed;
    std::map<Key, Row> rows;
    std::uint64_t version = 1;
    Listener listener;
};

// One service: a primary and its replicas. A commit reaches each replica some time later; with `syncReplicas` 1 it is
// acknowledged once one replica has received it. A member that crashes comes back with its log. The first member is the
// primary of term 1.
class Service {
public:
    struct Commit {
        std::uint64_t term = 0;
        std::int64_t atMs = 0;
        // Id of the write, or of the COMMIT.
        std::string id;
        std::vector<std::pair<std::string, std::string>> writes;
        bool operator==(const Commit& other) const { return this->term == other.term && this->id == other.id; }
    };
    // What a member ran for a client.
    struct Run {
        std::string member;
        std::string id;
        std::string text;
        // Values of the member's session.
        std::map<std::string, std::string> values;
    };

    Service(const std::string& ip, std::string name, std::size_t count)
        : ip(ip)
        , name(std::move(name))
    {
        for (std::size_t i = 0; i < count; ++i) {
            auto& member = this->members.emplace_back();
            member.id = this->name + "-i" + std::to_string(i + 1);
            member.primary = i == 0;
            member.listener = std::make_unique<Listener>(ip, [this, i](Stream& stream) { this->serve(i, stream); });
        }
        std::thread([this] {
            for (;;) {
                sleepMs(2);
                this->replicate();
            }
        }).detach();
    }

    // Writes the entries of the members into the store, and keeps them up to date.
    void registerMembers(Store& target)
    {
        this->store = &target;
        for (std::size_t i = 0; i < this->members.size(); ++i)
            this->putEntry(i);
    }

    // Adds a replica at the address that a member of another service had, and registers it.
    void addMemberAt(int port)
    {
        std::size_t index = 0;
        {
            const std::lock_guard lock(this->mutex);
            index = this->members.size();
            auto& member = this->members.emplace_back();
            member.id = this->name + "-i" + std::to_string(index + 1);
            member.bornMs += 60'000;
            member.listener = std::make_unique<Listener>(
                this->ip, [this, index](Stream& stream) { this->serve(index, stream); }, port);
        }
        this->putEntry(index);
    }
    [[nodiscard]] int portOf(std::size_t index) const { return this->members[index].listener->port; }

    // The member's process ends: its connections break, and it is dark until restart().
    void crash(std::size_t index)
    {
        const std::lock_guard lock(this->mutex);
        auto& member = this->members[index];
        member.up = false;
        member.downSinceMs = nowMs();
        member.listener->close();
        for (auto* stream : member.streams)
            stream->shutdown();
        this->received.notify_all();
    }
    void restart(std::size_t index)
    {
        {
            const std::lock_guard lock(this->mutex);
            auto& member = this->members[index];
            member.up = true;
            // A primary that crashed comes back as a replica if another member was promoted.
            member.primary = index == this->leader;
            member.bornMs += 1000;
            member.listener->open();
        }
        this->putEntry(index);
    }
    // The member starts again and holds nothing of before. It then receives the log from the start.
    void restartEmpty(std::size_t index)
    {
        {
            const std::lock_guard lock(this->mutex);
            this->members[index].log.clear();
            this->members[index].term = 0;
        }
        this->restart(index);
    }
    // Removes the entry of a member that has been silent for three heartbeats.
    void lapse(std::size_t index) { this->store->remove("servers", this->members[index].id); }

    // The promotion call: the member leads the next term with what it has received.
    int promote(const std::string& id)
    {
        std::unique_lock lock(this->mutex);
        for (std::size_t i = 0; i < this->members.size(); ++i) {
            if (this->members[i].id != id)
                continue;
            if (!this->members[i].up)
                return 409;
            if (i == this->leader && this->members[i].primary)
                return 200;
            std::thread([this, i] {
                sleepMs(300);
                {
                    const std::lock_guard inner(this->mutex);
                    auto& member = this->members[i];
                    if (!member.up)
                        return;
                    member.term = ++this->newestTerm;
                    member.primary = true;
                    this->leader = i;
                    if (this->onPromoted)
                        this->onPromoted(member.id, member.log);
                }
                this->putEntry(i);
            }).detach();
            return 200;
        }
        return 409;
    }

    // How long after its commit a record reaches each replica.
    std::atomic<int> lagMs { 20 };
    // The same for one replica, if it is not 0.
    std::atomic<int> slowLagMs { 0 };
    std::atomic<std::size_t> slowReplica { 0 };
    // Time that a read, write or commit takes.
    std::atomic<int> workMs { 3 };
    std::atomic<int> syncReplicas { 0 };
    // Commits that a replica receives in 2 ms at most.
    std::atomic<int> commitsPerTick { 1000 };
    std::atomic<std::size_t> maxConnections { 16 };
    // Answers the next write outside a transaction with BUSY, and sends the same bytes again 15 ms later.
    std::atomic<bool> repeatRefusal { false };
    // Answers the next SET with the bytes of an earlier success first, and then with FAILED; it has not taken effect.
    std::atomic<bool> failSet { false };
    // Item whose read returns a row of so many bytes, which a message may have; empty if there is none.
    std::string largeItem;
    std::size_t largeBytes = 900'000;
    // Called with each read, write and commit that ran for a client. May be null.
    std::function<void(const Run&)> onRun;
    // Called with the log of a member that takes over. May be null.
    std::function<void(const std::string& id, const std::vector<Commit>& log)> onPromoted;

    [[nodiscard]] std::string memberId(std::size_t index) const { return this->members[index].id; }

private:
    struct Member {
        std::string id;
        std::unique_ptr<Listener> listener;
        std::size_t connections = 0;
        std::vector<Stream*> streams;
        bool up = true;
        bool primary = false;
        std::uint64_t term = 1;
        std::vector<Commit> log;
        std::int64_t downSinceMs = 0;
        std::int64_t bornMs = 1'700'000'000'000;
    };
    struct Session {
        std::map<std::string, std::string> values;
        std::map<std::string, std::pair<bool, std::string>> prepared;
        bool inTransaction = false;
        bool failed = false;
        bool plain = false;
        std::vector<std::pair<std::string, std::string>> writes;
    };

    void putEntry(std::size_t index)
    {
        json entry;
        {
            const std::lock_guard lock(this->mutex);
            const auto& member = this->members[index];
            entry = { { "Service", this->name }, { "Address", this->ip + ":" + std::to_string(member.listener->port) },
                { "Zone", "zone-a" }, { "Version", "v1" }, { "Capacity", 2 }, { "State", "ready" },
                { "WarmupLeftMs", 0 }, { "DbRole", member.primary ? "primary" : "replica" }, { "Seq", 1 },
                { "born", member.bornMs } };
        }
        this->store->put("servers", this->members[index].id, entry);
    }

    void replicate()
    {
        std::vector<std::size_t> changedRoles;
        {
            const std::lock_guard lock(this->mutex);
            const auto& source = this->members[this->leader];
            if (!source.up)
                return;
            for (std::size_t i = 0; i < this->members.size(); ++i) {
                auto& member = this->members[i];
                if (i == this->leader || !member.up)
                    continue;
                if (std::exchange(member.primary, false))
                    changedRoles.push_back(i);
                member.term = source.term;
                std::size_t common = 0;
                while (common < member.log.size() && common < source.log.size()
                    && member.log[common] == source.log[common])
                    ++common;
                member.log.resize(common);
                const int lag = this->slowLagMs > 0 && i == this->slowReplica ? this->slowLagMs : this->lagMs;
                for (int n = 0; n < this->commitsPerTick && member.log.size() < source.log.size()
                     && source.log[member.log.size()].atMs <= nowMs() - lag;
                     ++n)
                    member.log.push_back(source.log[member.log.size()]);
            }
            this->received.notify_all();
        }
        for (const auto index : changedRoles)
            this->putEntry(index);
    }

    [[nodiscard]] static std::string positionOf(const Member& member)
    {
        return std::to_string(member.log.empty() ? 1 : member.log.back().term) + "."
            + std::to_string(member.log.size());
    }
    std::string lockedPosition(std::size_t index)
    {
        const std::lock_guard lock(this->mutex);
        return positionOf(this->members[index]);
    }

    void serve(std::size_t index, Stream& stream)
    {
        auto first = stream.line();
        if (!first)
            return;
        takeWord(*first);
        const auto wanted = takeWord(*first);
        takeWord(*first);
        auto& member = this->members[index];
        if (wanted != this->name || (!first->empty() && *first != member.id)) {
            stream.send("ERROR MISROUTED " + member.id + "\r\n");
            return;
        }
        {
            const std::lock_guard lock(this->mutex);
            if (!member.up)
                return;
            if (member.connections >= this->maxConnections) {
                stream.send("ERROR TOOMANY " + member.id + "\r\n");
                return;
            }
            ++member.connections;
            member.streams.push_back(&stream);
        }
        Session session;
        bool open = stream.send("READY I " + this->lockedPosition(index) + "\r\n");
        while (open) {
            auto line = stream.line();
            if (!line || takeWord(*line) != "QUERY")
                break;
            const auto id = takeWord(*line);
            if (index == this->leader && line->rfind("WRITE ", 0) == 0 && !session.inTransaction
                && this->repeatRefusal.exchange(false)) {
                const auto refusal = "ERROR BUSY " + member.id + "\r\nREADY I " + this->lockedPosition(index) + "\r\n";
                stream.send(refusal);
                sleepMs(15);
                stream.send(refusal);
                continue;
            }
            if (line->rfind("SET ", 0) == 0 && this->failSet.exchange(false)) {
                const auto state = "READY I " + this->lockedPosition(index) + "\r\n";
                stream.send("COMPLETE -\r\n" + state);
                sleepMs(2);
                stream.send("ERROR FAILED " + member.id + "\r\n" + state);
                continue;
            }
            const auto result = this->run(index, session, id, *line);
            const char* state = session.failed ? "E" : session.inTransaction ? "T" : "I";
            open = !result.empty()
                && stream.send(result + "READY " + state + " " + this->lockedPosition(index) + "\r\n");
        }
        const std::lock_guard lock(this->mutex);
        --member.connections;
        std::erase(member.streams, &stream);
    }

    std::string run(std::size_t index, Session& session, const std::string& id, std::string text)
    {
        auto rest = text;
        auto word = takeWord(rest);
        if (word == "WAITLSN") {
            const auto wanted = takeWord(rest);
            const auto dot = wanted.find('.');
            const auto term = std::stoull(wanted.substr(0, dot));
            const auto number = std::stoull(wanted.substr(dot + 1));
            const std::lock_guard lock(this->mutex);
            const auto& log = this->members[index].log;
            if (number > 0 && (log.size() < number || log[number - 1].term != term))
                return "ERROR LAGGING " + this->members[index].id + "\r\n";
            text = rest;
            word = takeWord(rest);
        }
        const std::string done = "COMPLETE -\r\n";
        if (word == "ROLLBACK") {
            session.inTransaction = session.failed = false;
            session.writes.clear();
            return done;
        }
        if (session.failed)
            return "ERROR MALFORMED the transaction has failed\r\n";
        if (word == "RESET") {
            session.values.clear();
            session.prepared.clear();
            return done;
        }
        if (word == "SET") {
            const auto name = takeWord(rest);
            session.values[name] = rest;
            return done;
        }
        if (word == "PREPARE") {
            const auto name = takeWord(rest);
            const bool writes = takeWord(rest) == "WRITE";
            session.prepared[name] = { writes, rest };
            return done;
        }
        if (word == "DEALLOC") {
            session.prepared.erase(rest);
            return done;
        }
        if (word == "STATUS" || word == "DEMOTE")
            return this->control(index, word, rest) + done;
        if (word == "BEGIN") {
            const std::lock_guard lock(this->mutex);
            if (rest != "READ" && !this->members[index].primary)
                return "ERROR READONLY " + this->members[index].id + "\r\n";
            session.inTransaction = true;
            session.plain = rest != "READ";
            return done;
        }
        return this->work(index, session, id, word, rest, text);
    }

    std::string control(std::size_t index, const std::string& word, const std::string& rest)
    {
        const std::lock_guard lock(this->mutex);
        auto& member = this->members[index];
        if (word == "DEMOTE" && member.term < std::stoull(rest))
            member.primary = false;
        return std::string("DATAROW ") + (member.primary ? "primary " : "replica ") + std::to_string(member.term) + " "
            + positionOf(member) + " 0 " + std::to_string(member.primary ? 0 : this->lagMs.load()) + " 0 "
            + std::to_string(member.connections) + "\r\n";
    }

    // Runs a statement; empty if the member ends meanwhile.
    std::string work(std::size_t index, Session& session, const std::string& id, const std::string& word,
        std::string rest, const std::string& text)
    {
        auto& member = this->members[index];
        bool writes = word == "WRITE";
        if (word == "EXECUTE") {
            const auto found = session.prepared.find(takeWord(rest));
            if (found == session.prepared.end()) {
                session.failed = session.inTransaction;
                return "ERROR NOSTMT unknown\r\n";
            }
            writes = found->second.first;
        }
        sleepMs(this->workMs);
        std::unique_lock lock(this->mutex);
        if (!member.up)
            return "";
        const bool commits = word == "COMMIT";
        const bool needsPrimary
            = writes || (session.inTransaction && session.plain && !(commits && session.writes.empty()));
        if (needsPrimary && !member.primary) {
            session.failed = session.inTransaction;
            return "ERROR READONLY " + member.id + "\r\n";
        }
        const auto item = takeWord(rest);
        if (writes)
            session.writes.emplace_back(item, rest);
        if ((writes && !session.inTransaction) || commits) {
            const auto changes = std::exchange(session.writes, {});
            session.inTransaction = false;
            if (!changes.empty()) {
                const Commit commit { member.term, nowMs(), id, changes };
                member.log.push_back(commit);
                if (!this->awaitReplica(lock, index, commit))
                    return "";
            }
        }
        const auto rows = writes || commits ? std::string() : this->rowOf(item, member);
        if (this->onRun)
            this->onRun({ member.id, id, text, session.values });
        return rows + "COMPLETE " + member.id + "." + std::to_string(++this->signatures) + "\r\n";
    }

    // Waits until as many replicas as `syncReplicas` says have received the commit. False if the member ends meanwhile.
    bool awaitReplica(std::unique_lock<std::mutex>& lock, std::size_t index, const Commit& commit)
    {
        const auto holders = [&] {
            int count = 0;
            for (std::size_t i = 0; i < this->members.size(); ++i) {
                const auto& log = this->members[i].log;
                count += i != index && std::find(log.rbegin(), log.rend(), commit) != log.rend() ? 1 : 0;
            }
            return count;
        };
        while (this->members[index].up && holders() < this->syncReplicas)
            this->received.wait_for(lock, Ms(50));
        return this->members[index].up;
    }

    std::string rowOf(const std::string& item, const Member& member) const
    {
        if (!this->largeItem.empty() && item == this->largeItem)
            return "DATAROW " + std::string(this->largeBytes, 'r') + "\r\n";
        std::string data;
        for (const auto& commit : member.log) {
            for (const auto& [written, value] : commit.writes) {
                if (written == item)
                    data = value;
            }
        }
        return data.empty() ? "" : "DATAROW " + data + "\r\n";
    }

    std::string ip;
    std::string name;
    Store* store = nullptr;
    std::mutex mutex;
    std::condition_variable received;
    std::deque<Member> members;
    std::size_t leader = 0;
    std::uint64_t newestTerm = 1;
    std::atomic<std::uint64_t> signatures { 0 };
};

// Processes that were started and have not ended, so that they are ended whatever happens.
class Processes {
public:
    static void add(pid_t pid)
    {
        const std::lock_guard lock(mutex());
        all().push_back(pid);
    }
    static void remove(pid_t pid)
    {
        const std::lock_guard lock(mutex());
        std::erase(all(), pid);
    }
    // Ends all of them and this process.
    [[noreturn]] static void exit(int code)
    {
        const std::lock_guard lock(mutex());
        for (const auto pid : all()) {
            kill(pid, SIGKILL);
            waitpid(pid, nullptr, 0);
        }
        std::fflush(stdout);
        _exit(code);
    }
    // Ends the run with code 2 after the given time, and on SIGTERM or SIGINT. Call before any thread is started.
    static void limit(int seconds)
    {
        sigset_t signals;
        sigemptyset(&signals);
        sigaddset(&signals, SIGTERM);
        sigaddset(&signals, SIGINT);
        pthread_sigmask(SIG_BLOCK, &signals, nullptr);
        std::thread([signals] {
            int received = 0;
            sigwait(&signals, &received);
            exit(2);
        }).detach();
        std::thread([seconds] {
            sleepMs(seconds * 1000);
            exit(2);
        }).detach();
    }

private:
    static std::mutex& mutex()
    {
        static std::mutex instance;
        return instance;
    }
    static std::vector<pid_t>& all()
    {
        static std::vector<pid_t> instance;
        return instance;
    }
};

// One process of the system, started with the command of the deploy file.
class Daemon {
public:
    static constexpr int clientPort = 8784;
    static constexpr int readyPort = 8785;
    static constexpr int memoryMb = 260;

    // `number` gives the last part of the address. The files go to `directory`.
    Daemon(
        const std::string& directory, const std::string& network, int number, int storePort, const std::string& storeIp)
        : ip(network + std::to_string(number))
        , log(directory + "/daemon-" + std::to_string(number) + ".log")
    {
        const auto file = directory + "/daemon-" + std::to_string(number) + ".toml";
        std::ofstream(file) << "NodeName = \"frontend-zone-a-" << number
                            << "\"\nRole = \"proxy\"\nMachineClass = \"frontend\"\n"
                               "Serves = [\"frontend\", \"control_plane\"]\nIp = \""
                            << ip
                            << "\"\nZone = \"zone-a\"\nRegion = \"region\"\nInternalPorts = [7440, 7455]\nSeeds = [\""
                            << network << "1:8782\"]\nBootstrap = true\nHeartbeatMs = 1200\nContracts = [\"base\", "
                            << "\"drain\", \"config\", \"cost\", \"recover\", \"sql\", \"platform\"]\n"
                            << "[ListenAddrs]\nFrontend = \"" << ip << ":" << clientPort << "\"\nReadiness = \"" << ip
                            << ":" << readyPort << "\"\nControlPlane = \"" << ip << ":8782\"\n"
                            << "[Limits]\nCpuQuota = 0.25\nCores = 1\nMemoryMb = " << memoryMb
                            << "\nMaxFds = 4300\nLinkMbps = 1000.0\nDiskMb = 0\n"
                            << "[Bounds]\nStableMs = 4000\nDrainMs = 7000\nGraceS = 6\nConfigApplyMs = 3000\n"
                            << "[platform]\nAddress = \"" << storeIp << ":" << storePort
                            << "\"\nform = \"table\"\nWritesPerS = 400\nReadsPerS = 2000\n"
                            << "[Cloud]\nAddress = \"" << storeIp << ":" << storePort << "\"\n";
        this->file = file;
        this->start();
    }

    void start()
    {
        this->pid = fork();
        if (this->pid == 0) {
            const int output = open(this->log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(output, STDOUT_FILENO);
            dup2(output, STDERR_FILENO);
            sigset_t none;
            sigemptyset(&none);
            sigprocmask(SIG_SETMASK, &none, nullptr);
            setenv("ENDIVETRESTLE_CONFIG", this->file.c_str(), 1);
            execl("target/endivetrestle", "target/endivetrestle", "proxy", static_cast<char*>(nullptr));
            _exit(127);
        }
        Processes::add(this->pid);
    }
    void signal(int number) const { kill(this->pid, number); }
    ~Daemon()
    {
        if (this->running())
            this->killNow();
    }
    Daemon(const Daemon&) = delete;
    Daemon& operator=(const Daemon&) = delete;

    bool running()
    {
        if (this->pid > 0 && waitpid(this->pid, &this->status, WNOHANG) == this->pid) {
            Processes::remove(this->pid);
            this->pid = 0;
        }
        return this->pid > 0;
    }
    // How the process ended, in words.
    [[nodiscard]] std::string endText() const
    {
        if (WIFSIGNALED(this->status))
            return "ended by signal " + std::to_string(WTERMSIG(this->status));
        return "exited with " + std::to_string(WEXITSTATUS(this->status));
    }
    // Ends the process at once, as a loss of power does.
    void killNow()
    {
        kill(this->pid, SIGKILL);
        waitpid(this->pid, &this->status, 0);
        Processes::remove(this->pid);
        this->pid = 0;
    }

    // Resident memory in MB.
    [[nodiscard]] double residentMb() const
    {
        std::ifstream file("/proc/" + std::to_string(this->pid) + "/statm");
        long total = 0;
        long resident = 0;
        file >> total >> resident;
        return static_cast<double>(resident) * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6;
    }

    // Whether the readiness address answers 200.
    [[nodiscard]] bool ready() const
    {
        auto stream = Stream::connect(this->ip, readyPort);
        if (!stream.isOpen() || !stream.send("GET /v1/ready HTTP/1.1\r\nHost: d\r\nConnection: close\r\n\r\n"))
            return false;
        const auto line = stream.line(500);
        return line && line->find(" 200") != std::string::npos;
    }

    std::string ip;
    std::string log;

private:
    std::string file;
    pid_t pid = 0;
    int status = 0;
};

// Answer to one statement of a client.
struct Answer {
    // COMPLETE, ERROR, or empty if the connection ended or nothing came in time.
    std::string word;
    std::string detail;
    std::string row;
    std::string ready;
    [[nodiscard]] bool succeeded() const { return this->word == "COMPLETE"; }
    [[nodiscard]] std::string text() const
    {
        return this->word.empty() ? "no answer" : this->word + " " + this->detail;
    }
};

// One client session.
class Client {
public:
    // Opens a session; isOpen() tells whether READY came.
    Client(const std::string& ip, const std::string& database, int receiveBuffer = 0)
        : stream(Stream::connect(ip, Daemon::clientPort, receiveBuffer))
    {
        this->started = this->stream.isOpen() && this->stream.send("STARTUP " + database + " reviewer\r\n");
        const auto line = this->started ? this->stream.line(2000) : std::nullopt;
        this->started = line && line->rfind("READY", 0) == 0;
    }

    [[nodiscard]] bool isOpen() const { return this->started; }

    Answer ask(const std::string& text, int patienceMs = 3000)
    {
        const auto id = nextId();
        this->lastId = id;
        if (!this->stream.send("QUERY " + id + " " + text + "\r\n"))
            return {};
        return this->answer(patienceMs);
    }

    Answer answer(int patienceMs = 3000)
    {
        Answer result;
        while (auto line = this->stream.line(patienceMs)) {
            const auto word = takeWord(*line);
            if (word == "DATAROW")
                result.row = *line;
            else if (word == "READY") {
                result.ready = *line;
                return result;
            } else {
                result.word = word;
                result.detail = *line;
            }
        }
        return {};
    }

    static std::string nextId()
    {
        static std::atomic<std::uint64_t> number { 0 };
        char text[20];
        std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(0x5c0e7a21d0000000ULL + ++number));
        return text;
    }

    Stream stream;
    std::string lastId;

private:
    bool started = false;
};

// Route of the configuration.
inline json route(const std::string& host, const std::string& service, const std::string& type, int timeoutMs = 1000,
    int stalenessMs = 2500)
{
    return { { "Name", host + "-route" }, { "Host", host }, { "Service", service }, { "Type", type },
        { "TimeoutMs", timeoutMs }, { "TargetLatencyMs", 200 }, { "Priority", 1 }, { "MaxStalenessMs", stalenessMs } };
}

inline json serviceEntry(const std::string& name, int connections = 16, int syncReplicas = 0)
{
    return { { "Name", name }, { "MaxConns", connections }, { "SyncReplicas", syncReplicas } };
}

inline json configuration(int version, const json& routes, const json& services)
{
    return { { "Version", version }, { "Routes", routes }, { "Services", services },
        { "Limits", { { "TxIdleMs", 3000 } } } };
}

inline bool waitReady(const Daemon& daemon, int limitMs = 20000)
{
    const auto until = nowMs() + limitMs;
    while (nowMs() < until) {
        if (daemon.ready())
            return true;
        sleepMs(100);
    }
    return false;
}

inline bool troubleWanted()
{
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

} // namespace review
