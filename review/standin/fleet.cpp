#include "fleet.hpp"

#include "http.hpp"

#include <csignal>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <sstream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <system_error>
#include <unistd.h>

namespace review {

Daemon::Daemon(std::string name, std::string ip, std::string folder, Record& record)
    : name(std::move(name))
    , ip(std::move(ip))
    , folder(std::move(folder))
    , record(record)
{
}

Daemon::~Daemon()
{
    if (this->runs()) {
        kill(this->pid, SIGKILL);
        waitpid(this->pid, nullptr, 0);
    }
}

void Daemon::start()
{
    const auto file = this->folder + "/" + this->name + ".toml";
    std::ofstream(file) << this->settings;
    const auto log = this->folder + "/" + this->name + ".log";
    const std::string variable = "ENDIVETRESTLE_CONFIG=" + file;
    const std::string path = std::string("PATH=") + (std::getenv("PATH") != nullptr ? std::getenv("PATH") : "/usr/bin");
    const pid_t child = fork();
    if (child < 0)
        throw std::system_error(errno, std::generic_category(), "fork");
    if (child == 0) {
        // The daemon ends with this process, however that ends.
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(output, STDOUT_FILENO);
        dup2(output, STDERR_FILENO);
        close_range(STDERR_FILENO + 1, ~0U, 0);
        char program[] = "target/endivetrestle";
        char role[] = "proxy";
        char* arguments[] = { program, role, nullptr };
        char* environment[] = { const_cast<char*>(variable.c_str()), const_cast<char*>(path.c_str()), nullptr };
        execve(program, arguments, environment);
        _exit(127);
    }
    this->pid = child;
    this->record.write("daemon " + this->name + ": started");
}

void Daemon::signal(int number)
{
    if (!this->runs())
        return;
    this->record.write("daemon " + this->name + ": " + strsignal(number));
    kill(this->pid, number);
}

bool Daemon::owns(const asio::ip::tcp::endpoint& address) const
{
    // Lines of this file: number, local address, remote address, state, queues, timer, retransmits, user, timeout,
    // inode.
    char local[32];
    std::snprintf(local, sizeof local, "%08X:%04X", htonl(address.address().to_v4().to_uint()), address.port());
    std::ifstream table("/proc/net/tcp");
    std::string line;
    while (std::getline(table, line)) {
        std::istringstream fields(line);
        std::string field;
        std::vector<std::string> values;
        while (fields >> field)
            values.push_back(field);
        if (values.size() < 10 || values[1] != local)
            continue;
        const auto wanted = "socket:[" + values[9] + "]";
        std::error_code ignored;
        for (const auto& entry :
            std::filesystem::directory_iterator("/proc/" + std::to_string(this->pid) + "/fd", ignored)) {
            if (std::filesystem::read_symlink(entry.path(), ignored) == wanted)
                return true;
        }
    }
    return false;
}

bool Daemon::runs()
{
    int status = 0;
    if (this->pid != 0 && waitpid(this->pid, &status, WNOHANG) == this->pid) {
        this->record.write("daemon " + this->name + ": ended with status " + std::to_string(status));
        this->pid = 0;
    }
    return this->pid != 0;
}

std::string Fleet::network()
{
    const auto process = getpid();
    return "127." + std::to_string(1 + process / 250 % 250) + "." + std::to_string(1 + process % 250) + ".";
}

Fleet::Fleet(int count, const std::string& folder, std::uint16_t platformPort, Record& record)
{
    for (int i = 1; i <= count; ++i) {
        auto& daemon = this->daemons.emplace_back(
            std::make_unique<Daemon>("frontend-a-" + std::to_string(i), network() + std::to_string(i), folder, record));
        std::string seeds;
        for (int seed = 1; seed <= std::min(count, 3); ++seed)
            seeds += (seeds.empty() ? "\"" : ", \"") + network() + std::to_string(seed) + ":18782\"";
        const auto platform = network() + "200:" + std::to_string(platformPort);
        daemon->settings = "NodeName = \"" + daemon->name + "\"\nRole = \"proxy\"\nMachineClass = \"frontend\"\n"
            + "Serves = [\"frontend\", \"control_plane\"]\nIp = \"" + daemon->ip + "\"\nZone = \"a\"\nRegion = \"r\"\n"
            + "InternalPorts = [" + std::to_string(peerPort) + ", " + std::to_string(peerPort + 15) + "]\nSeeds = ["
            + seeds + "]\nBootstrap = true\nDiscovery = \"platform\"\nEntrypoint = \"vip\"\nHeartbeatMs = 1200\n"
            + "[Zones]\na = \"r\"\n[ListenAddrs]\nFrontend = \"" + daemon->ip + ":" + std::to_string(frontendPort)
            + "\"\nReadiness = \"" + daemon->ip + ":" + std::to_string(readinessPort) + "\"\nControlPlane = \""
            + daemon->ip + ":18782\"\n[Limits]\nCpuQuota = 0.25\nCores = 1\nMemoryMb = 260\nMaxFds = 4300\n"
            + "[Bounds]\nStableMs = 4000\nDrainMs = 7000\nGraceS = 6\nLostSlackMs = 200\nConfigApplyMs = 3000\n"
            + "[platform]\nAddress = \"" + platform + "\"\nform = \"table\"\nWritesPerS = 400\nReadsPerS = 2000\n"
            + "TxLatencyMs = 5.0\nPartWritesPerS = 200\nMaxRowBytes = 65536\nCrossShard = false\nRetentionS = 20\n"
            + "[Cloud]\nAddress = \"" + platform + "\"\nRatePerS = 50.0\nDuties = [\"promotion\"]\nDutyPerS = 50.0\n";
    }
}

asio::ip::tcp::endpoint Fleet::frontend(const Daemon& daemon) const
{
    return { asio::ip::make_address(daemon.ip), frontendPort };
}

asio::awaitable<bool> Fleet::ready(const Daemon& daemon) const
{
    const auto status = co_await httpGet(
        { asio::ip::make_address(daemon.ip), readinessPort }, "/v1/ready", std::chrono::milliseconds(500));
    co_return status == 200;
}

asio::awaitable<bool> Fleet::allReady(std::chrono::seconds limit)
{
    const auto end = Clock::now() + limit;
    asio::steady_timer timer(co_await asio::this_coro::executor);
    while (Clock::now() < end) {
        bool all = true;
        for (const auto& daemon : this->daemons)
            all = co_await this->ready(*daemon) && all;
        if (all)
            co_return true;
        timer.expires_after(std::chrono::milliseconds(50));
        co_await timer.async_wait(asio::use_awaitable);
    }
    co_return false;
}

asio::awaitable<std::string> Session::line()
{
    const auto length
        = co_await asio::async_read_until(this->socket, asio::dynamic_buffer(this->input), "\r\n", asio::use_awaitable);
    auto text = this->input.substr(0, length - 2);
    this->input.erase(0, length);
    co_return text;
}

asio::awaitable<bool> Session::open(asio::ip::tcp::endpoint address, std::string database)
{
    try {
        co_await this->socket.async_connect(address, asio::use_awaitable);
        asio::error_code ignored;
        this->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
        const auto text = "STARTUP " + database + " review\r\n";
        co_await asio::async_write(this->socket, asio::buffer(text), asio::use_awaitable);
        const auto answer = co_await this->line();
        co_return answer.rfind("READY ", 0) == 0;
    } catch (const std::exception&) {
        co_return false;
    }
}

asio::awaitable<Reply> Session::query(std::string id, std::string text)
{
    Reply reply;
    try {
        const auto message = "QUERY " + id + " " + text + "\r\n";
        reply.sentAt = Clock::now();
        co_await asio::async_write(this->socket, asio::buffer(message), asio::use_awaitable);
        while (!reply.whole) {
            const auto line = co_await this->line();
            if (line.rfind("DATAROW ", 0) == 0)
                reply.row = line.substr(8);
            else if (line.rfind("COMPLETE", 0) == 0)
                reply.succeeded = true;
            else if (line.rfind("ERROR ", 0) == 0)
                reply.code = line.substr(6, line.find(' ', 6) - 6);
            else if (line.rfind("READY ", 0) == 0) {
                reply.state = line.substr(6, 1);
                reply.whole = true;
            }
        }
    } catch (const std::exception&) {
        reply.succeeded = false;
    }
    reply.answeredAt = Clock::now();
    co_return reply;
}

void Session::close()
{
    asio::error_code ignored;
    this->socket.close(ignored);
}

} // namespace review
