#include "scene.hpp"

#include <arpa/inet.h>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <netinet/in.h>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

using nlohmann::json;
using Clock = std::chrono::steady_clock;

constexpr std::uint16_t frontendPort = 18784;
constexpr std::uint16_t readinessPort = 18785;

std::string takeWord(std::string& text)
{
    const auto end = text.find(' ');
    auto word = text.substr(0, end);
    text = end == std::string::npos ? "" : text.substr(end + 1);
    return word;
}

int connectTo(const std::string& ip, std::uint16_t port)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    if (connect(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0)
        return descriptor;
    ::close(descriptor);
    return -1;
}

// Waits until the descriptor is ready for the events. False when the time is over.
bool waitFor(int descriptor, short events, Clock::time_point until)
{
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(until - Clock::now()).count();
    pollfd entry { descriptor, events, 0 };
    return left > 0 && poll(&entry, 1, static_cast<int>(left)) > 0;
}

} // namespace

Record::Record(const std::string& path)
    : file(path)
{
}

void Record::line(const std::string& text)
{
    const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - this->start).count();
    const std::lock_guard lock(this->mutex);
    this->file << elapsed << " ms  " << text << std::endl;
}

std::string printable(const std::string& text)
{
    constexpr std::size_t longest = 160;
    std::string result;
    for (const char byte : text.substr(0, longest)) {
        if (byte == '\n')
            result += "\\n";
        else if (byte == '\r')
            result += "\\r";
        else
            result += byte;
    }
    return text.size() > longest ? result + "... (" + std::to_string(text.size()) + " bytes)" : result;
}

struct Member::Connection {
    explicit Connection(asio::ip::tcp::socket socket)
        : socket(std::move(socket))
    {
    }

    asio::ip::tcp::socket socket;
    std::array<char, 65536> buffer {};
    std::string received;
    bool started = false;
    bool inTransaction = false;
    std::map<std::string, std::string> values;
    // Kinds of the prepared statements: READ or WRITE.
    std::map<std::string, std::string> prepared;
    // Writes of the open transaction.
    std::vector<std::string> writes;
};

Member::Member(asio::io_context& context, Service& service, std::string id, bool primary)
    : id(std::move(id))
    , primary(primary)
    , context(context)
    , service(service)
    , acceptor(context)
{
    this->log.push_back({ 1, {} });
    this->listen();
}

void Member::listen()
{
    const asio::ip::tcp::endpoint address(asio::ip::address_v4::loopback(), this->boundPort);
    this->acceptor.open(address.protocol());
    this->acceptor.set_option(asio::socket_base::reuse_address(true));
    this->acceptor.bind(address);
    this->acceptor.listen();
    this->boundPort = this->acceptor.local_endpoint().port();
    this->accept();
}

void Member::crash()
{
    this->up = false;
    this->busy = 0;
    asio::error_code ignored;
    this->acceptor.close(ignored);
    for (const auto& connection : this->connections)
        connection->socket.close(ignored);
    this->connections.clear();
}

void Member::restart()
{
    this->up = true;
    auto* leader = this->service.leader();
    this->primary = leader == this;
    this->listen();
}

std::string Member::position() const
{
    return std::to_string(this->log.back().term) + "." + std::to_string(this->log.size());
}

bool Member::contains(const std::string& wanted) const
{
    const auto dot = wanted.find('.');
    const auto number = std::stoull(wanted.substr(dot + 1));
    return number <= this->log.size()
        && (number == 0 || this->log[number - 1].term == std::stoull(wanted.substr(0, dot)));
}

void Member::accept()
{
    this->acceptor.async_accept([this](const asio::error_code& error, asio::ip::tcp::socket socket) {
        if (error)
            return;
        asio::error_code ignored;
        socket.set_option(asio::ip::tcp::no_delay(true), ignored);
        const auto connection = std::make_shared<Connection>(std::move(socket));
        this->connections.insert(connection);
        this->read(connection);
        this->accept();
    });
}

void Member::read(const std::shared_ptr<Connection>& connection)
{
    connection->socket.async_read_some(
        asio::buffer(connection->buffer), [this, connection](const asio::error_code& error, std::size_t length) {
            if (error || !connection->socket.is_open()) {
                this->connections.erase(connection);
                return;
            }
            connection->received.append(connection->buffer.data(), length);
            for (auto end = connection->received.find("\r\n"); end != std::string::npos;
                 end = connection->received.find("\r\n")) {
                const auto line = connection->received.substr(0, end);
                connection->received.erase(0, end + 2);
                this->take(connection, line);
            }
            if (connection->socket.is_open())
                this->read(connection);
        });
}

void Member::reply(const std::shared_ptr<Connection>& connection, const std::string& text)
{
    if (!connection->socket.is_open())
        return;
    const auto bytes = std::make_shared<std::string>(
        text + "READY " + (connection->inTransaction ? "T " : "I ") + this->position() + "\r\n");
    asio::async_write(
        connection->socket, asio::buffer(*bytes), [connection, bytes](const asio::error_code&, std::size_t) {});
}

void Member::take(const std::shared_ptr<Connection>& connection, const std::string& line)
{
    auto rest = line;
    const auto word = takeWord(rest);
    if (word == "STARTUP") {
        const auto service = takeWord(rest);
        takeWord(rest);
        connection->started = service == this->service.name && (rest.empty() || rest == this->id);
        if (connection->started)
            this->reply(connection, "");
        else {
            const std::string refused = "ERROR MISROUTED " + this->id + "\r\n";
            asio::write(connection->socket, asio::buffer(refused));
            connection->socket.close();
        }
        return;
    }
    if (word != "QUERY" || !connection->started)
        return;
    const auto queryId = takeWord(rest);
    const auto text = rest;
    const bool full = this->service.slots > 0 && this->busy >= this->service.slots;
    if (queryId == "-" && rest != "STATUS") {
        this->reply(connection, this->answer(*connection, queryId, text));
        return;
    }
    if (full) {
        if (rest == "STATUS")
            this->service.record.line(this->id + " has no free slot and answers STATUS with BUSY");
        this->reply(connection, "ERROR BUSY full\r\n");
        return;
    }
    ++this->busy;
    const auto timer = std::make_shared<asio::steady_timer>(
        this->context, queryId == "-" ? std::chrono::milliseconds(1) : this->service.work);
    timer->async_wait([this, connection, timer, queryId, text](const asio::error_code&) {
        if (!this->up || !connection->socket.is_open())
            return;
        --this->busy;
        this->finish(connection, queryId, text);
    });
}

// Answers when what was committed is held by enough replicas.
void Member::finish(const std::shared_ptr<Connection>& connection, const std::string& queryId, const std::string& text)
{
    const auto before = this->log.size();
    const auto answer = this->answer(*connection, queryId, text);
    const auto size = this->log.size();
    if (size == before || this->service.syncReplicas == 0) {
        this->reply(connection, answer);
        return;
    }
    const auto wait = std::make_shared<std::function<void()>>();
    *wait = [this, connection, answer, size, weak = std::weak_ptr<std::function<void()>>(wait)] {
        if (!this->up || !connection->socket.is_open())
            return;
        if (this->service.isHeld(size)) {
            this->reply(connection, answer);
            return;
        }
        const auto timer = std::make_shared<asio::steady_timer>(this->context, std::chrono::milliseconds(2));
        timer->async_wait([timer, self = weak.lock()](const asio::error_code&) { (*self)(); });
    };
    (*wait)();
}

std::string Member::answer(Connection& connection, const std::string& queryId, const std::string& text)
{
    auto rest = text;
    auto word = takeWord(rest);
    if (word == "WAITLSN") {
        if (!this->contains(takeWord(rest)))
            return "ERROR LAGGING " + this->id + "\r\n";
        word = takeWord(rest);
    }
    const bool own = queryId == "-";
    if (own && word != "STATUS")
        this->service.record.line(this->id + " is told " + printable(text));
    if (own && (word == "SET" || word == "RESET" || word == "PREPARE")) {
        const auto command = rest;
        if (word == "SET") {
            const auto name = takeWord(rest);
            connection.values[name] = rest;
        } else if (word == "RESET") {
            connection.values.clear();
            connection.prepared.clear();
        } else {
            const auto name = takeWord(rest);
            connection.prepared[name] = takeWord(rest);
        }
        if (this->service.failsAfterRun && this->service.failsAfterRun(this->id, text)) {
            this->service.record.line(this->id + " has executed it and answers FAILED");
            return "ERROR FAILED error\r\n";
        }
        return "COMPLETE -\r\n";
    }
    if (word == "STATUS") {
        this->service.record.line(this->id + " answers STATUS with " + this->position());
        return std::string("DATAROW ") + (this->primary ? "primary " : "replica ") + std::to_string(this->term) + " "
            + this->position() + " 0 0 " + std::to_string(this->busy) + " " + std::to_string(this->connections.size())
            + "\r\nCOMPLETE -\r\n";
    }
    if (word == "DEMOTE") {
        this->primary = this->primary && this->term >= std::stoull(rest);
        return "COMPLETE -\r\n";
    }
    if (word == "ROLLBACK") {
        connection.inTransaction = false;
        connection.writes.clear();
        return "COMPLETE -\r\n";
    }
    if (word == "BEGIN") {
        if (rest != "READ" && !this->primary)
            return "ERROR READONLY " + this->id + "\r\n";
        connection.inTransaction = true;
        return "COMPLETE -\r\n";
    }
    std::string kind = word;
    if (word == "EXECUTE") {
        const auto found = connection.prepared.find(takeWord(rest));
        if (found == connection.prepared.end())
            return "ERROR NOSTMT unknown\r\n";
        kind = found->second;
    }
    if (kind == "WRITE" && !this->primary)
        return "ERROR READONLY " + this->id + "\r\n";
    std::string values;
    for (const auto& [name, value] : connection.values)
        values += " " + name + "=" + value;
    this->service.record.line(
        this->id + " runs " + queryId + " [" + printable(text) + "] with the session values [" + values + " ]");
    {
        const std::lock_guard lock(this->service.mutex);
        this->service.runs.push_back({ this->id, queryId, text, connection.values });
    }
    if (kind == "WRITE")
        connection.writes.push_back(queryId);
    const bool ends = kind == "COMMIT" || !connection.inTransaction;
    if (kind == "COMMIT")
        connection.inTransaction = false;
    if (ends && !connection.writes.empty())
        this->log.push_back({ this->term, std::exchange(connection.writes, {}) });
    const auto rows = kind == "READ" && this->service.rows ? this->service.rows(queryId) : "DATAROW row\r\n";
    return rows + "COMPLETE sig." + this->id + "." + queryId + "\r\n";
}

Service::Service(asio::io_context& context, Record& record, std::string name)
    : name(std::move(name))
    , record(record)
    , context(context)
{
    for (int i = 1; i <= 3; ++i)
        this->members.push_back(std::make_unique<Member>(context, *this, "i-" + std::to_string(i), i == 1));
}

Member* Service::leader()
{
    Member* leader = nullptr;
    for (const auto& member : this->members) {
        if (member->primary && (leader == nullptr || member->term > leader->term))
            leader = member.get();
    }
    return leader;
}

void Service::replicate()
{
    auto* source = this->leader();
    if (source == nullptr || !source->up)
        return;
    for (const auto& member : this->members) {
        if (member.get() == source || !member->up || member->deaf)
            continue;
        member->primary = false;
        member->term = source->term;
        member->log = source->log;
    }
}

bool Service::isHeld(std::size_t logSize) const
{
    int count = 0;
    for (const auto& member : this->members)
        count += !member->primary && member->up && member->log.size() >= logSize ? 1 : 0;
    return count >= this->syncReplicas;
}

int Service::promote(const std::string& id)
{
    constexpr int accepted = 200;
    constexpr int rejected = 409;
    for (const auto& member : this->members) {
        if (member->id != id || !member->up)
            continue;
        this->record.line("the platform is told to promote " + id + ", which has received " + member->position());
        const auto timer = std::make_shared<asio::steady_timer>(this->context, std::chrono::milliseconds(300));
        timer->async_wait([this, timer, target = member.get()](const asio::error_code&) {
            if (target->primary && this->leader() == target)
                return;
            std::uint64_t highest = 0;
            for (const auto& other : this->members)
                highest = std::max(highest, other->term);
            target->term = highest + 1;
            target->primary = true;
            this->record.line(target->id + " leads term " + std::to_string(target->term));
            if (this->onPromoted)
                this->onPromoted(*target);
        });
        return accepted;
    }
    return rejected;
}

Client::Client(std::string name, Record& record)
    : name(std::move(name))
    , record(record)
{
}

Client::~Client() { this->close(); }

void Client::close()
{
    if (this->descriptor >= 0)
        ::close(this->descriptor);
    this->descriptor = -1;
}

bool Client::start(const asio::ip::tcp::endpoint& daemon, const std::string& database)
{
    this->descriptor = connectTo(daemon.address().to_string(), daemon.port());
    if (this->descriptor < 0 || !this->send("STARTUP " + database + " " + this->name + "\r\n"))
        return false;
    const auto lines = this->answer();
    return !lines.empty() && lines.back().rfind("READY I", 0) == 0;
}

bool Client::send(const std::string& bytes, bool recorded)
{
    if (recorded)
        this->record.line(this->name + " sends [" + printable(bytes) + "]");
    std::size_t sent = 0;
    while (this->descriptor >= 0 && sent < bytes.size()) {
        const auto count
            = ::send(this->descriptor, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL | MSG_DONTWAIT);
        if (count > 0) {
            sent += static_cast<std::size_t>(count);
            continue;
        }
        if (errno != EAGAIN || !waitFor(this->descriptor, POLLOUT, Clock::now() + std::chrono::seconds(1)))
            return false;
    }
    return sent == bytes.size();
}

std::optional<std::string> Client::line(Clock::time_point until)
{
    while (true) {
        if (const auto end = this->received.find("\r\n"); end != std::string::npos) {
            auto line = this->received.substr(0, end);
            this->received.erase(0, end + 2);
            return line;
        }
        if (this->descriptor < 0 || !waitFor(this->descriptor, POLLIN, until))
            return std::nullopt;
        std::array<char, 65536> buffer {};
        const auto count = recv(this->descriptor, buffer.data(), buffer.size(), 0);
        if (count <= 0) {
            this->close();
            return std::nullopt;
        }
        this->received.append(buffer.data(), static_cast<std::size_t>(count));
    }
}

std::vector<std::string> Client::answer(std::chrono::milliseconds limit)
{
    const auto until = Clock::now() + limit;
    std::vector<std::string> lines;
    while (const auto line = this->line(until)) {
        this->record.line(this->name + " gets [" + printable(*line) + "]");
        lines.push_back(*line);
        if (line->rfind("READY ", 0) == 0)
            return lines;
    }
    this->record.line(this->name + (this->isOpen() ? " gets nothing more" : " sees the end of the connection"));
    return {};
}

std::vector<std::string> Client::query(const std::string& id, const std::string& text)
{
    if (!this->send("QUERY " + id + " " + text + "\r\n"))
        return {};
    return this->answer();
}

Scene::Scene(Record& record, int count, const std::string& memoryMb)
    : record(record)
    , store(this->context, this->random,
          [this](const std::string&, const std::string& id, const std::string&, std::uint64_t) {
              return this->service.promote(id);
          })
    , service(this->context, record, "shopdb")
    , memoryMb(memoryMb)
    , ticker(this->context)
{
    std::string pattern = (std::filesystem::temp_directory_path() / "review-2-XXXXXX").string();
    this->directory = mkdtemp(pattern.data());
    // Addresses that depend on the process, so that cases can run side by side.
    const auto process = getpid();
    const std::string network
        = "127." + std::to_string(1 + process / 250 % 250) + "." + std::to_string(1 + process % 250) + ".";
    for (int i = 1; i <= count; ++i)
        this->daemons.push_back({ "frontend-" + std::to_string(i), network + std::to_string(i) });
    this->storeClient
        = this->store.addClient([](const std::string&, const std::string&, const std::string& value) { return value; });
}

Scene::~Scene()
{
    this->countEnded();
    for (auto& daemon : this->daemons) {
        if (daemon.pid > 0)
            kill(daemon.pid, SIGTERM);
    }
    const auto until = Clock::now() + std::chrono::seconds(7);
    for (auto& daemon : this->daemons) {
        int status = 0;
        while (daemon.pid > 0 && waitpid(daemon.pid, &status, WNOHANG) == 0) {
            if (Clock::now() > until) {
                kill(daemon.pid, SIGKILL);
                waitpid(daemon.pid, &status, 0);
                break;
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
        }
    }
    this->context.stop();
    if (this->loop.joinable())
        this->loop.join();
    std::error_code ignored;
    std::filesystem::remove_all(this->directory, ignored);
}

void Scene::putConfiguration()
{
    json routes = json::array();
    for (const char* type : { "primary", "bounded_staleness", "read_your_writes" }) {
        routes.push_back({ { "Name", std::string("r-") + type }, { "Host", std::string("shop-") + type },
            { "Type", type }, { "TimeoutMs", 800 }, { "TargetLatencyMs", 200 }, { "Priority", 1 },
            { "Service", this->service.name }, { "MaxStalenessMs", 1500 } });
    }
    const json services = json::array(
        { { { "Name", this->service.name }, { "MaxConns", 16 }, { "SyncReplicas", this->service.syncReplicas } } });
    this->store.put("op", "config",
        json {
            { "Version", 3 }, { "Routes", routes }, { "Services", services }, { "Limits", { { "TxIdleMs", 3000 } } } }
            .dump());
}

void Scene::putRegistry()
{
    for (const auto& member : this->service.members) {
        if (!member->up) {
            this->store.remove("servers", member->id);
            continue;
        }
        this->store.put("servers", member->id,
            json { { "Service", this->service.name }, { "Address", "127.0.0.1:" + std::to_string(member->port()) },
                { "Zone", "bkk-a" }, { "Version", "v1" }, { "Capacity", 2 }, { "State", "ready" },
                { "WarmupLeftMs", 0 }, { "DbRole", member->primary ? "primary" : "replica" }, { "Seq", 1 },
                { "born", 1790000000000 } }
                .dump());
    }
}

void Scene::startDaemon(Daemon& daemon)
{
    const auto file = this->directory + "/" + daemon.name + ".toml";
    std::ofstream(file) << "NodeName = \"" << daemon.name
                        << "\"\nRole = \"proxy\"\nMachineClass = \"frontend\"\nServes = [\"frontend\", "
                           "\"control_plane\"]\nIp = \""
                        << daemon.ip
                        << "\"\nZone = \"bkk-a\"\nRegion = \"th-central\"\nInternalPorts = [17440, 17455]\n"
                        << "Seeds = [\"" << this->daemons.front().ip
                        << ":18786\"]\nBootstrap = true\nHeartbeatMs = 1200\n"
                        << "[ListenAddrs]\nFrontend = \"" << daemon.ip << ":" << frontendPort << "\"\nReadiness = \""
                        << daemon.ip << ":" << readinessPort << "\"\nControlPlane = \"" << daemon.ip
                        << ":18786\"\n[Limits]\nCpuQuota = 0.25\nCores = 1\nMemoryMb = " << this->memoryMb
                        << "\nMaxFds = 4300\n[Bounds]\nGraceS = 6\n[platform]\nAddress = \"127.0.0.1:"
                        << this->store.port(this->storeClient)
                        << "\"\n[Cloud]\nAddress = \"127.0.0.1:" << this->store.port(this->storeClient) << "\"\n";
    const auto log = this->directory + "/" + daemon.name + ".log";
    const pid_t child = fork();
    if (child == 0) {
        const int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
        dup2(output, STDOUT_FILENO);
        dup2(output, STDERR_FILENO);
        close_range(STDERR_FILENO + 1, ~0U, 0);
        setenv("ENDIVETRESTLE_CONFIG", file.c_str(), 1);
        execl("target/endivetrestle", "target/endivetrestle", "proxy", static_cast<char*>(nullptr));
        _exit(127);
    }
    daemon.pid = child;
}

void Scene::tick()
{
    this->store.tick();
    this->service.replicate();
    this->ticker.expires_after(std::chrono::milliseconds(5));
    this->ticker.async_wait([this](const asio::error_code& error) {
        if (!error)
            this->tick();
    });
}

bool Scene::start()
{
    if (access("target/endivetrestle", X_OK) != 0) {
        this->record.line("target/endivetrestle is missing; run the build of the deploy file");
        return false;
    }
    this->putConfiguration();
    this->putRegistry();
    this->tick();
    this->loop = std::thread([this] { this->context.run(); });
    for (auto& daemon : this->daemons)
        this->startDaemon(daemon);
    const auto until = Clock::now() + std::chrono::seconds(20);
    for (std::size_t i = 0; i < this->daemons.size(); ++i) {
        while (!this->isReady(i, std::chrono::milliseconds(500))) {
            if (Clock::now() > until) {
                this->record.line(this->daemons[i].name + " does not become ready");
                return false;
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(100));
        }
    }
    // The primary is recorded after the second list of the leases.
    std::this_thread::sleep_for(std::chrono::seconds(3));
    this->record.line("all daemons are ready");
    return true;
}

bool Scene::isReady(std::size_t daemon, std::chrono::milliseconds limit)
{
    const int descriptor = connectTo(this->daemons[daemon].ip, readinessPort);
    if (descriptor < 0)
        return false;
    const std::string request = "GET /v1/ready HTTP/1.1\r\nHost: d\r\nConnection: close\r\n\r\n";
    std::array<char, 256> buffer {};
    const bool answered = ::send(descriptor, request.data(), request.size(), MSG_NOSIGNAL) > 0
        && waitFor(descriptor, POLLIN, Clock::now() + limit)
        && recv(descriptor, buffer.data(), buffer.size() - 1, 0) > 0;
    ::close(descriptor);
    return answered && std::strstr(buffer.data(), " 200 ") != nullptr;
}

asio::ip::tcp::endpoint Scene::frontend(std::size_t daemon) const
{
    return { asio::ip::make_address(this->daemons.at(daemon).ip), frontendPort };
}

int Scene::countEnded()
{
    int count = 0;
    for (auto& daemon : this->daemons) {
        int status = 0;
        if (daemon.pid > 0 && waitpid(daemon.pid, &status, WNOHANG) == daemon.pid) {
            daemon.pid = 0;
            daemon.ended = true;
            daemon.status = status;
            this->record.line(daemon.name + " has ended by itself: "
                + (WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status))
                                       : "exit code " + std::to_string(WEXITSTATUS(status))));
        }
        count += daemon.ended ? 1 : 0;
    }
    return count;
}

} // namespace review
