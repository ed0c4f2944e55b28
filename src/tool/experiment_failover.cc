#include "tool/experiment_bench.h"
#include "tool/load.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <mutex>
#include <numeric>

namespace endivetrestle {

using namespace internal;

namespace {

constexpr Duration writeInterval = std::chrono::milliseconds(5);
// Longer than the longest gap that is a target, so that a write of the gap is not given up before it ends.
constexpr Duration writeDeadline = std::chrono::seconds(15);
constexpr Duration replacementLimit = std::chrono::seconds(20);
constexpr Duration settleTime = std::chrono::milliseconds(1500);

// Acknowledged writes of one database.
struct Acknowledgement {
    Time at;
    std::uint64_t term = 0;
};

// Steady stream of writes to every database on a thread of its own.
class WriteStream {
public:
    explicit WriteStream(ExperimentBench& bench)
        : bench(bench)
        , start(MonotonicClock::now())
        , sent(bench.databases().size(), 0)
        , thread([this] { this->run(); })
    {
    }

    ~WriteStream() { this->stop(); }
    WriteStream(const WriteStream&) = delete;
    WriteStream& operator=(const WriteStream&) = delete;

    void stop()
    {
        this->stopping = true;
        if (this->thread.joinable())
            this->thread.join();
    }

    // Time between the last acknowledged write of a term up to `term` and the first of a later term.
    std::optional<Duration> gapAfter(const DatabaseId& database, std::uint64_t term)
    {
        std::lock_guard lock(this->mutex);
        const auto& list = this->acknowledged[database];
        const auto first = std::find_if(list.begin(), list.end(),
            [term](const Acknowledgement& acknowledgement) { return acknowledgement.term > term; });
        if (first == list.end() || first == list.begin())
            return std::nullopt;
        return first->at - std::prev(first)->at;
    }

    // Writes with an outcome other than completed.
    std::map<std::string, std::uint64_t> failures()
    {
        std::lock_guard lock(this->mutex);
        return this->failed;
    }

private:
    void run()
    {
        runCallStream(this->bench.target(), this->bench.databases().size(), StreamMode::Open,
            { [this](std::size_t lane) { return this->next(lane); },
                [this](const StreamCall& call, const CallerAnswer& answer, Time, Time at) {
                    std::lock_guard lock(this->mutex);
                    if (answer.state == OutcomeState::Completed)
                        this->acknowledged[call.call.database].push_back({ at, answer.position.term });
                    else
                        this->failed[std::string(outcomeStateName(answer.state)) + " "
                            + std::string(errorName(answer.code))]
                            += 1;
                } });
    }

    std::optional<StreamCall> next(std::size_t lane)
    {
        if (this->stopping)
            return std::nullopt;
        const auto number = ++this->sent[lane];
        StreamCall call;
        call.call = newCall(RequestKind::Write, this->bench.databases()[lane], "put stream " + std::to_string(number));
        call.call.deadline = writeDeadline;
        call.daemon = number % this->bench.deployment.daemonCount();
        call.at = this->start + number * writeInterval;
        return call;
    }

    ExperimentBench& bench;
    Time start;
    std::vector<std::uint64_t> sent;
    std::atomic<bool> stopping = false;
    std::mutex mutex;
    std::map<DatabaseId, std::vector<Acknowledgement>> acknowledged;
    std::map<std::string, std::uint64_t> failed;
    std::thread thread;
};

// Replaces the primary of every database at once and returns the gaps; a replacement that did not happen within the
// limit counts as that limit.
std::vector<double> replaceAll(ExperimentBench& bench, WriteStream& writes, bool cutOff)
{
    std::map<DatabaseId, EndpointSample> old;
    for (const auto& database : bench.databases())
        old[database] = bench.primary(database);
    for (const auto& [database, primary] : old) {
        if (cutOff)
            bench.cutOff(database, primary.id);
        else
            bench.kill(database, primary.id);
    }
    std::vector<double> gaps;
    const auto end = MonotonicClock::now() + replacementLimit;
    for (const auto& replaced : old) {
        std::optional<Duration> gap;
        waitUntil(
            [&] {
                gap = writes.gapAfter(replaced.first, replaced.second.term);
                return gap.has_value();
            },
            std::max(end - MonotonicClock::now(), Duration(1)));
        gaps.push_back(toMilliseconds(gap.value_or(replacementLimit)));
    }
    for (const auto& [database, primary] : old)
        bench.heal(database, primary.id);
    return gaps;
}

} // namespace

Figures runFailoverGap(const ExperimentOptions& options)
{
    ExperimentBench bench(options.shape);
    if (!bench.ready())
        return {};
    std::vector<double> gaps;
    std::uint64_t notHealed = 0;
    bench.setStoreDown(options.storeDown);
    WriteStream writes(bench);
    for (int round = 0; round < options.rounds; ++round) {
        std::this_thread::sleep_for(settleTime);
        const auto more = replaceAll(bench, writes, options.cutOff);
        gaps.insert(gaps.end(), more.begin(), more.end());
        notHealed += bench.awaitHealthy(std::chrono::seconds(10)) ? 0 : 1;
    }
    writes.stop();
    std::sort(gaps.begin(), gaps.end());
    Figures result { { "replacements", static_cast<double>(gaps.size()), "" },
        { "gap median", gaps.empty() ? 0 : gaps[gaps.size() / 2], "ms" },
        { "gap worst", gaps.empty() ? 0 : gaps.back(), "ms" },
        { "rounds not healed within 10 s", static_cast<double>(notHealed), "" } };
    for (const auto& [name, count] : writes.failures())
        result.push_back({ "writes " + name, static_cast<double>(count), "" });
    return result;
}

Figures runHistory(const ExperimentOptions& options)
{
    ExperimentBench bench(options.shape);
    if (!bench.ready())
        return {};
    const auto target = bench.target();
    LoadSettings load;
    load.daemons = target.daemons;
    load.callerKey = target.callerKey;
    load.workload.deployment = deploymentFromName(options.shape.region == Region("khomas") ? "prism" : "saengchan")
                                   .value_or(DeploymentMix::Saengchan);
    load.workload.databases = bench.databases();
    load.workload.duration = options.duration;
    load.workload.rate = 300;
    load.workload.sessions = 120;
    load.workload.seed = options.shape.seed;
    std::uint64_t replacements = 0;
    std::thread faults([&] {
        const auto end = MonotonicClock::now() + options.duration;
        bool cutOff = false;
        while (MonotonicClock::now() + std::chrono::seconds(4) < end) {
            std::this_thread::sleep_for(std::chrono::seconds(1));
            for (const auto& database : bench.databases()) {
                const auto primary = bench.primary(database);
                if (cutOff)
                    bench.cutOff(database, primary.id);
                else
                    bench.kill(database, primary.id);
                if (waitUntil([&] { return bench.primary(database).term > primary.term; }, replacementLimit))
                    replacements += 1;
                bench.heal(database, primary.id);
                cutOff = !cutOff;
            }
            bench.awaitHealthy(std::chrono::seconds(5));
        }
    });
    const auto result = runLoadTest(load);
    faults.join();
    const auto total = result.total();
    return { { "replacements", static_cast<double>(replacements), "" },
        { "completed", static_cast<double>(total.completed), "" },
        { "did not run", static_cast<double>(total.didNotRun), "" },
        { "unknown", static_cast<double>(total.unknown), "" },
        { "checked answers", static_cast<double>(result.checkedAnswers), "" },
        { "keys not audited", static_cast<double>(result.unauditedKeys), "" },
        { "violations", static_cast<double>(result.violationCount()), "" } };
}

} // namespace endivetrestle
