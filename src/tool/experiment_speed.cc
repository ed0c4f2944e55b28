#include "tool/experiment_bench.h"

#include <algorithm>
#include <array>
#include <filesystem>
#include <fstream>
#include <map>
#include <set>

namespace endivetrestle {

using namespace internal;

namespace {

using Threads = std::set<std::string>;

Threads threadsOfProcess()
{
    Threads result;
    for (const auto& entry : std::filesystem::directory_iterator("/proc/self/task"))
        result.insert(entry.path().filename().string());
    return result;
}

// CPU time of threads, from the scheduler's statistics in nanoseconds.
double cpuSeconds(const Threads& threads)
{
    double sum = 0;
    for (const auto& thread : threads) {
        std::ifstream file("/proc/self/task/" + thread + "/schedstat");
        double nanoseconds = 0;
        file >> nanoseconds;
        sum += nanoseconds / 1e9;
    }
    return sum;
}

// One daemon before one database, without emulated distances and without service time, so that what is measured is the
// daemon and not the stand-in.
DeploymentOptions singleDaemon(const DeploymentOptions& from)
{
    auto shape = from;
    shape.daemons.resize(1);
    shape.databases.resize(1);
    shape.dataCentreDelay = Duration::zero();
    shape.serviceTime = Duration::zero();
    shape.shipDelay = Duration::zero();
    shape.applyLag = Duration::zero();
    shape.slots = std::max(shape.slots, 8);
    shape.connectionsPerEndpoint = std::max(shape.connectionsPerEndpoint, 64);
    return shape;
}

// Sends reads and writes one at a time, directly and through the daemon in turn.
class Comparison {
public:
    Comparison(ExperimentBench& bench, Duration duration)
        : bench(bench)
        , end(MonotonicClock::now() + duration)
    {
    }

    Figures run()
    {
        runCallStream(this->bench.target(), 1, StreamMode::Closed,
            { [this](std::size_t) { return this->next(); },
                [this](const StreamCall& call, const CallerAnswer& answer, Time sentAt, Time at) {
                    const bool write = call.call.kind == RequestKind::Write;
                    if (answer.state == OutcomeState::Completed && this->sent > warmUp)
                        this->latency.at((write ? 2U : 0U) + (call.daemon ? 1U : 0U)).record(at - sentAt);
                    else if (answer.state != OutcomeState::Completed)
                        this->failed += 1;
                } });
        Figures result;
        constexpr std::array<const char*, 4> names { "read direct", "read through a daemon", "write direct",
            "write through a daemon" };
        for (std::size_t i = 0; i < names.size(); ++i)
            addLatency(result, names.at(i), this->latency.at(i));
        const auto added = [&](std::size_t direct, double percentile) {
            return toMilliseconds(
                this->latency.at(direct + 1).percentile(percentile) - this->latency.at(direct).percentile(percentile));
        };
        result.push_back({ "added to reads, median", added(0, 50), "ms" });
        result.push_back({ "added to reads, p99", added(0, 99), "ms" });
        result.push_back({ "added to writes, median", added(2, 50), "ms" });
        result.push_back({ "added to writes, p99", added(2, 99), "ms" });
        result.push_back({ "reads compared", static_cast<double>(this->latency.at(1).count()), "" });
        result.push_back({ "requests not completed", static_cast<double>(this->failed), "" });
        return result;
    }

private:
    static constexpr std::uint64_t warmUp = 200;

    std::optional<StreamCall> next()
    {
        if (MonotonicClock::now() >= this->end)
            return std::nullopt;
        const auto number = this->sent++;
        const auto& database = this->bench.databases().front();
        StreamCall result;
        // Three of four are reads; two calls in a row differ only in the way that they take.
        result.call = number / 2 % 4 == 3 ? newCall(RequestKind::Write, database, "put compared 1")
                                          : newCall(RequestKind::Read, database, "get compared");
        if (number % 2 == 0)
            result.daemon = std::nullopt;
        result.at = MonotonicClock::now() + std::chrono::microseconds(200);
        return result;
    }

    ExperimentBench& bench;
    Time end;
    std::uint64_t sent = 0;
    std::uint64_t failed = 0;
    // Reads direct and through the daemon, writes direct and through the daemon.
    std::array<LatencyHistogram, 4> latency;
};

} // namespace

Figures runAddedLatency(const ExperimentOptions& options)
{
    ExperimentBench bench(singleDaemon(options.shape));
    if (!bench.ready())
        return {};
    return Comparison(bench, options.duration).run();
}

Figures runThroughput(const ExperimentOptions& options)
{
    auto shape = singleDaemon(options.shape);
    // One loop of the stand-ins would be the limit, not the daemon; its threads are counted apart.
    const auto before = threadsOfProcess();
    ExperimentBench bench(shape);
    if (!bench.ready())
        return {};
    auto threads = threadsOfProcess();
    for (const auto& thread : before)
        threads.erase(thread);
    // The first thread of a deployment is that of the stand-ins.
    const auto standin = *std::min_element(threads.begin(), threads.end(),
        [](const std::string& a, const std::string& b) { return std::stol(a) < std::stol(b); });
    threads.erase(standin);
    const auto target = bench.target();
    std::atomic<std::uint64_t> completed = 0;
    std::atomic<std::uint64_t> failed = 0;
    std::atomic<bool> stopping = false;
    constexpr std::size_t clientThreads = 2;
    constexpr std::size_t lanes = 16;
    std::vector<std::thread> clients;
    for (std::size_t i = 0; i < clientThreads; ++i) {
        clients.emplace_back([&] {
            runCallStream(target, lanes, StreamMode::Closed,
                { [&](std::size_t) -> std::optional<StreamCall> {
                     if (stopping)
                         return std::nullopt;
                     StreamCall call;
                     call.call = newCall(RequestKind::Read, bench.databases().front(), "get speed");
                     return call;
                 },
                    [&](const StreamCall&, const CallerAnswer& answer, Time, Time) {
                        ++(answer.state == OutcomeState::Completed ? completed : failed);
                    } });
        });
    }
    std::this_thread::sleep_for(std::chrono::seconds(1));
    const auto countBefore = completed.load();
    const auto cpuBefore = cpuSeconds(threads);
    const auto standinBefore = cpuSeconds({ standin });
    const auto start = MonotonicClock::now();
    std::this_thread::sleep_for(options.duration);
    const auto seconds = toSeconds(MonotonicClock::now() - start);
    const auto count = static_cast<double>(completed.load() - countBefore);
    const auto cpu = cpuSeconds(threads) - cpuBefore;
    const auto standinCpu = cpuSeconds({ standin }) - standinBefore;
    stopping = true;
    for (auto& client : clients)
        client.join();
    return { { "reads", count, "" }, { "rate", count / seconds, "1/s" },
        { "CPU time of the daemon per read", 1e6 * cpu / count, "us" },
        { "reads per second of the daemon's CPU time", count / cpu, "1/s" },
        { "cores used by the daemon", cpu / seconds, "" }, { "cores used by the stand-ins", standinCpu / seconds, "" },
        { "threads of the daemon", static_cast<double>(threads.size()), "" },
        { "reads not completed", static_cast<double>(failed), "" } };
}

} // namespace endivetrestle
