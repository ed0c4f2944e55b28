#include "tool/experiment_bench.h"

#include <algorithm>
#include <array>
#include <future>
#include <map>

namespace endivetrestle {

using namespace internal;

namespace {

constexpr Duration readInterval = std::chrono::milliseconds(5);
constexpr Duration observeTime = std::chrono::seconds(4);
constexpr Duration pollInterval = std::chrono::milliseconds(5);

// Reads and writes to every database on a thread of its own, while operations are measured.
class MixedStream {
public:
    explicit MixedStream(ExperimentBench& bench)
        : target(bench.target())
        , databases(bench.databases())
        , start(MonotonicClock::now())
        , sent(2 * databases.size(), 0)
        , thread([this] { this->run(); })
    {
    }

    ~MixedStream() { this->stop(); }
    MixedStream(const MixedStream&) = delete;
    MixedStream& operator=(const MixedStream&) = delete;

    void stop()
    {
        this->stopping = true;
        if (this->thread.joinable())
            this->thread.join();
    }

    std::atomic<std::uint64_t> completed = 0;
    std::atomic<std::uint64_t> failed = 0;
    // Completed writes by database.
    std::array<std::atomic<std::uint64_t>, 3> writes {};

private:
    void run()
    {
        runCallStream(this->target, this->sent.size(), StreamMode::Open,
            { [this](std::size_t lane) { return this->next(lane); },
                [this](const StreamCall& call, const CallerAnswer& answer, Time, Time) {
                    const bool done = answer.state == OutcomeState::Completed;
                    ++(done ? this->completed : this->failed);
                    if (done && call.lane >= this->databases.size())
                        ++this->writes.at(call.lane - this->databases.size());
                } });
    }

    std::optional<StreamCall> next(std::size_t lane)
    {
        if (this->stopping)
            return std::nullopt;
        const auto number = ++this->sent[lane];
        const auto& database = this->databases[lane % this->databases.size()];
        StreamCall call;
        call.call = lane < this->databases.size() ? newCall(RequestKind::Read, database, "get mixed")
                                                  : newCall(RequestKind::Write, database, "add mixed 1");
        call.daemon = number % this->target.daemons.size();
        call.at = this->start + number * readInterval;
        return call;
    }

    StreamTarget target;
    std::vector<DatabaseId> databases;
    Time start;
    std::vector<std::uint64_t> sent;
    std::atomic<bool> stopping = false;
    std::thread thread;
};

// Plans and confirms through one daemon. Returns the accepted version; 0 if it was not accepted.
std::uint64_t confirmIntent(ExperimentBench& bench, const Intent& intent)
{
    auto& fleet = bench.deployment.daemon(0).fleetPart();
    std::promise<Fleet::Planned> planned;
    fleet.makePlan(intent, "experiment", [&](Fleet::Planned result) { planned.set_value(std::move(result)); });
    const auto plan = planned.get_future().get();
    if (!plan.plan) {
        logEvent(LogLevel::Error, "experiment_not_planned",
            { { "detail", plan.reasons.empty() ? std::string("no plan") : plan.reasons.front() } });
        return 0;
    }
    std::promise<ConfirmResult> confirmed;
    fleet.confirm(plan.plan->id, [&](ConfirmResult result) { confirmed.set_value(std::move(result)); });
    return confirmed.get_future().get().version;
}

std::uint64_t statementsAt(ExperimentBench& bench, const DatabaseId& database, const std::string& endpoint)
{
    for (const auto& sample : bench.endpoints(database)) {
        if (sample.id == endpoint)
            return sample.statements;
    }
    return 0;
}

// Time from the confirmation of an endpoint's leaving until its last new statement.
double leavingTime(ExperimentBench& bench, const DatabaseId& database, const std::string& endpoint)
{
    const auto start = MonotonicClock::now();
    if (confirmIntent(bench, LeaveEndpoint { database, EndpointId(endpoint) }) == 0)
        return toMilliseconds(observeTime);
    auto seen = statementsAt(bench, database, endpoint);
    auto last = start;
    while (MonotonicClock::now() < start + observeTime) {
        const auto now = MonotonicClock::now();
        const auto count = statementsAt(bench, database, endpoint);
        if (count != seen)
            last = now;
        seen = count;
        std::this_thread::sleep_for(pollInterval);
    }
    return toMilliseconds(last - start);
}

bool inForceEverywhere(ExperimentBench& bench, std::uint64_t version)
{
    for (std::size_t i = 0; i < bench.deployment.daemonCount(); ++i) {
        const auto configuration = bench.deployment.daemon(i).fleetPart().configuration();
        if (!configuration || configuration->version() < version)
            return false;
    }
    return true;
}

bool answersRead(ExperimentBench& bench, std::size_t daemon)
{
    bool completed = false;
    auto target = bench.target();
    int attempts = 0;
    runCallStream(target, 1, StreamMode::Closed,
        { [&](std::size_t) -> std::optional<StreamCall> {
             if (completed || ++attempts > 20)
                 return std::nullopt;
             StreamCall call;
             call.call = newCall(RequestKind::Read, bench.databases().front(), "get mixed");
             call.daemon = daemon;
             call.at = MonotonicClock::now() + pollInterval;
             return call;
         },
            [&](const StreamCall&, const CallerAnswer& answer, Time, Time) {
                completed = answer.state == OutcomeState::Completed;
            } });
    return completed;
}

} // namespace

Figures runLeaving(const ExperimentOptions& options)
{
    ExperimentBench bench(options.shape);
    if (!bench.ready())
        return {};
    MixedStream stream(bench);
    std::this_thread::sleep_for(std::chrono::seconds(1));
    const auto& first = bench.databases().at(0);
    const auto& second = bench.databases().at(1);
    const auto leavingPrimary = bench.primary(second).id;
    std::string leavingReplica;
    for (const auto& endpoint : bench.endpoints(first)) {
        if (endpoint.role == "replica")
            leavingReplica = endpoint.id;
    }
    const auto replica = leavingTime(bench, first, leavingReplica);
    const auto primary = leavingTime(bench, second, leavingPrimary);
    stream.stop();
    return { { "leaving replica, last new statement after", replica, "ms" },
        { "leaving primary, last new statement after", primary, "ms" },
        { "requests completed", static_cast<double>(stream.completed), "" },
        { "requests not completed", static_cast<double>(stream.failed), "" } };
}

Figures runConfiguration(const ExperimentOptions& options)
{
    ExperimentBench bench(options.shape);
    if (!bench.ready())
        return {};
    std::vector<double> times;
    for (int round = 0; round < std::max(options.rounds, 1); ++round) {
        const auto& database = bench.databases()[static_cast<std::size_t>(round) % bench.databases().size()];
        const auto start = MonotonicClock::now();
        const auto version = confirmIntent(
            bench, SetLimits { database, options.shape.slots, options.shape.connectionsPerEndpoint + 1 + round });
        const bool everywhere
            = version > 0 && waitUntil([&] { return inForceEverywhere(bench, version); }, std::chrono::seconds(15));
        times.push_back(everywhere ? toMilliseconds(MonotonicClock::now() - start) : 15000);
    }
    std::sort(times.begin(), times.end());
    bench.setStoreDown(true);
    const auto last = bench.deployment.daemonCount() - 1;
    const auto version = bench.deployment.daemon(0).fleetPart().configuration()->version();
    bench.deployment.killDaemon(last);
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    const auto start = MonotonicClock::now();
    bench.deployment.restartDaemon(last);
    const bool restarted = waitUntil([&] { return inForceEverywhere(bench, version); }, std::chrono::seconds(20));
    const auto restartTime = toMilliseconds(MonotonicClock::now() - start);
    const bool answers = restarted && answersRead(bench, last);
    return { { "changes", static_cast<double>(times.size()), "" },
        { "in force on all daemons, median", times[times.size() / 2], "ms" },
        { "in force on all daemons, worst", times.back(), "ms" },
        { "restarted with the store down, in force after", restarted ? restartTime : 20000, "ms" },
        { "restarted with the store down, answers", answers ? 1.0 : 0.0, "" } };
}

// The conditions run at the same time, each on a database of its own.
Figures runFalseFailovers(const ExperimentOptions& options)
{
    ExperimentBench bench(options.shape);
    if (!bench.ready())
        return {};
    const auto& slow = bench.databases().at(0);
    const auto& delayed = bench.databases().at(1);
    const auto& partial = bench.databases().at(2);
    std::map<DatabaseId, std::uint64_t> terms;
    for (const auto& database : bench.databases())
        terms[database] = bench.primary(database).term;
    MixedStream stream(bench);
    const auto slowPrimary = bench.primary(slow).id;
    const auto& daemon = options.shape.daemons[bench.activeOwner(partial)].id;
    bench.set(partial, bench.primary(partial).id, { { "blackholeDaemons", { daemon.value } } });
    const auto end = MonotonicClock::now() + options.duration;
    // Delays in steps, since a jump is harder than a constant delay. All are below the shortest suspicion time.
    constexpr std::array<int, 6> delays { 50, 0, 150, 20, 300, 0 };
    for (std::size_t step = 0; MonotonicClock::now() < end; ++step) {
        const auto delay = delays.at(step % delays.size());
        bench.set(slow, slowPrimary, { { "extraLatencyMs", delay }, { "serviceTimeMs", 1 + delay / 10 } });
        bench.set(delayed, "*", { { "extraLatencyMs", delay / 2 }, { "shipDelayMs", 1 + delay / 2 } });
        std::this_thread::sleep_for(std::chrono::milliseconds(700));
    }
    const auto replacements = [&](const DatabaseId& database) {
        return static_cast<double>(bench.primary(database).term - terms[database]);
    };
    const Figures result { { "seconds per database", toSeconds(options.duration), "" },
        { "replacements of a slow primary", replacements(slow), "" },
        { "replacements with packet delay", replacements(delayed), "" },
        { "replacements with one daemon cut off", replacements(partial), "" },
        { "writes completed, slow primary", static_cast<double>(stream.writes[0]), "" },
        { "writes completed, packet delay", static_cast<double>(stream.writes[1]), "" },
        { "writes completed, one daemon cut off", static_cast<double>(stream.writes[2]), "" },
        { "requests completed", static_cast<double>(stream.completed), "" },
        { "requests not completed", static_cast<double>(stream.failed), "" } };
    stream.stop();
    return result;
}

} // namespace endivetrestle
