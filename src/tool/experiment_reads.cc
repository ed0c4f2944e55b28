#include "tool/experiment_bench.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <map>

namespace endivetrestle {

using namespace internal;

namespace {

// Lag at which the targets for replica reads are stated.
constexpr Duration targetLag = std::chrono::milliseconds(50);
constexpr Duration writeInterval = std::chrono::milliseconds(20);
constexpr Duration thinkTime = std::chrono::milliseconds(5);
constexpr std::size_t sessionsPerDatabase = 4;

// Reads of one kind.
struct ReadCount {
    std::string name;
    std::uint64_t completed = 0;
    std::uint64_t byReplica = 0;
    std::uint64_t failed = 0;
    std::uint64_t wrong = 0;
    LatencyHistogram latency;

    void add(const CallerAnswer& answer, Duration took)
    {
        (answer.state == OutcomeState::Completed ? this->completed : this->failed) += 1;
        if (answer.state != OutcomeState::Completed)
            return;
        this->byReplica += answer.replica ? 1 : 0;
        this->latency.record(took);
    }

    void addTo(Figures& figures) const
    {
        addShare(figures, this->name + ", by replicas", this->byReplica, this->completed);
        figures.push_back({ this->name + ", median", toMilliseconds(this->latency.percentile(50)), "ms" });
        figures.push_back({ this->name + ", p99", toMilliseconds(this->latency.percentile(99)), "ms" });
        if (this->failed > 0)
            figures.push_back({ this->name + ", failed", static_cast<double>(this->failed), "" });
    }
};

// Value of a register with ascending numbers; 0 for no row.
std::uint64_t numberIn(const std::string& rows)
{
    const auto parsed = nlohmann::json::parse(rows, nullptr, false);
    if (!parsed.is_array() || parsed.empty() || !parsed[0].is_string())
        return 0;
    return std::stoull(parsed[0].get<std::string>());
}

// One writer for each database, and readers with age bounds that have written nothing themselves.
class AgedReads {
public:
    AgedReads(ExperimentBench& bench, Duration duration)
        : bench(bench)
        , start(MonotonicClock::now())
        , end(start + duration)
        , written(bench.databases().size())
    {
        for (const auto age : ages)
            this->counts.push_back(
                { age < Duration::zero() ? "no age bound" : "age " + std::to_string(age.count() / 1000) + " ms" });
    }

    Figures run()
    {
        const auto databases = this->bench.databases().size();
        runCallStream(this->bench.target(), databases * (1 + sessionsPerDatabase), StreamMode::Closed,
            { [this](std::size_t lane) { return this->next(lane); },
                [this](const StreamCall& call, const CallerAnswer& answer, Time sentAt, Time at) {
                    this->answered(call, answer, sentAt, at);
                } });
        Figures result;
        std::uint64_t completed = 0;
        std::uint64_t byReplica = 0;
        std::uint64_t wrong = 0;
        for (const auto& count : this->counts) {
            count.addTo(result);
            completed += count.completed;
            byReplica += count.byReplica;
            wrong += count.wrong;
        }
        addShare(result, "reads without a write, by replicas", byReplica, completed);
        result.push_back({ "reads without a write", static_cast<double>(completed), "" });
        result.push_back({ "reads without a write, too old", static_cast<double>(wrong), "" });
        return result;
    }

private:
    struct Written {
        std::uint64_t sent = 0;
        // Acknowledged numbers with their times.
        std::deque<std::pair<Time, std::uint64_t>> acknowledged;
    };

    // Negative: no bound.
    static constexpr std::array<Duration, 4> ages { std::chrono::milliseconds(200), std::chrono::seconds(1),
        std::chrono::seconds(10), Duration(-1) };

    std::optional<StreamCall> next(std::size_t lane)
    {
        const auto now = MonotonicClock::now();
        if (now >= this->end)
            return std::nullopt;
        const auto databases = this->bench.databases().size();
        const auto database = lane % databases;
        const auto& id = this->bench.databases()[database];
        const auto number = ++this->sent;
        StreamCall result;
        result.daemon = number % this->bench.deployment.daemonCount();
        if (lane < databases) {
            const auto value = ++this->written[database].sent;
            result.call = newCall(RequestKind::Write, id, "put aged " + std::to_string(value));
            result.at = now + writeInterval;
            return result;
        }
        result.call = newCall(RequestKind::Read, id, "get aged");
        const auto age = ages.at(this->turn[lane]++ % ages.size());
        if (age >= Duration::zero())
            result.call.maxAge = age;
        result.at = now + thinkTime;
        return result;
    }

    void answered(const StreamCall& call, const CallerAnswer& answer, Time sentAt, Time at)
    {
        auto& state = this->written[call.lane % this->bench.databases().size()];
        if (call.call.kind == RequestKind::Write) {
            if (answer.state == OutcomeState::Completed)
                state.acknowledged.emplace_back(at, state.sent);
            return;
        }
        const auto age = call.call.maxAge.value_or(Duration(-1));
        const auto place = static_cast<std::size_t>(std::find(ages.begin(), ages.end(), age) - ages.begin());
        auto& count = this->counts.at(place);
        count.add(answer, at - sentAt);
        if (answer.state != OutcomeState::Completed || !call.call.maxAge)
            return;
        // Every write that was acknowledged longer ago than the age when the read was sent must be visible.
        std::uint64_t least = 0;
        for (const auto& [time, number] : state.acknowledged) {
            if (time <= sentAt - age)
                least = number;
        }
        if (numberIn(answer.rows) < least)
            count.wrong += 1;
    }

    ExperimentBench& bench;
    Time start;
    Time end;
    std::vector<Written> written;
    std::vector<ReadCount> counts;
    std::map<std::size_t, std::size_t> turn;
    std::uint64_t sent = 0;
};

// Sessions that write a key of their own and read it after a pause through another daemon.
class OwnReads {
public:
    OwnReads(ExperimentBench& bench, Duration duration)
        : bench(bench)
        , end(MonotonicClock::now() + duration)
        , sessions(bench.databases().size() * sessionsPerDatabase)
    {
        for (const auto pause : pauses)
            this->counts.push_back({ "own write, after " + std::to_string(pause.count() / 1000) + " ms" });
    }

    Figures run()
    {
        runCallStream(this->bench.target(), this->sessions.size(), StreamMode::Closed,
            { [this](std::size_t lane) { return this->next(lane); },
                [this](const StreamCall& call, const CallerAnswer& answer, Time sentAt, Time at) {
                    this->answered(call, answer, at - sentAt);
                } });
        Figures result;
        std::uint64_t completed = 0;
        std::uint64_t byReplica = 0;
        std::uint64_t wrong = 0;
        for (const auto& count : this->counts) {
            count.addTo(result);
            completed += count.completed;
            byReplica += count.byReplica;
            wrong += count.wrong;
        }
        addShare(result, "own write, all pauses, by replicas", byReplica, completed);
        result.push_back({ "own write, reads", static_cast<double>(completed), "" });
        result.push_back({ "own write, wrong answers", static_cast<double>(wrong), "" });
        result.push_back({ "writes median", toMilliseconds(this->writeLatency.percentile(50)), "ms" });
        return result;
    }

private:
    struct Session {
        std::uint64_t written = 0;
        std::string token;
        bool readNext = false;
    };

    static constexpr std::array<Duration, 4> pauses { std::chrono::milliseconds(0), std::chrono::milliseconds(20),
        std::chrono::milliseconds(50), std::chrono::milliseconds(100) };

    [[nodiscard]] std::size_t pauseOf(const Session& session) const { return session.written % pauses.size(); }

    std::optional<StreamCall> next(std::size_t lane)
    {
        auto& session = this->sessions[lane];
        const auto now = MonotonicClock::now();
        if (now >= this->end)
            return std::nullopt;
        const auto& database = this->bench.databases()[lane % this->bench.databases().size()];
        const auto key = "own-" + std::to_string(lane);
        StreamCall result;
        result.daemon = ++this->sent % this->bench.deployment.daemonCount();
        result.at = now;
        if (session.readNext) {
            result.call = newCall(RequestKind::Read, database, "get " + key);
            result.at += pauses.at(this->pauseOf(session));
        } else {
            const auto value = ++session.written;
            result.call = newCall(RequestKind::Write, database, "put " + key + " " + std::to_string(value));
            result.at += thinkTime;
        }
        result.call.session = session.token;
        return result;
    }

    void answered(const StreamCall& call, const CallerAnswer& answer, Duration took)
    {
        auto& session = this->sessions[call.lane];
        if (!answer.session.empty())
            session.token = answer.session;
        const bool completed = answer.state == OutcomeState::Completed;
        if (call.call.kind == RequestKind::Write) {
            session.readNext = completed;
            if (completed)
                this->writeLatency.record(took);
            return;
        }
        session.readNext = false;
        auto& count = this->counts.at(this->pauseOf(session));
        count.add(answer, took);
        if (completed && numberIn(answer.rows) != session.written)
            count.wrong += 1;
    }

    ExperimentBench& bench;
    Time end;
    std::vector<Session> sessions;
    std::vector<ReadCount> counts;
    LatencyHistogram writeLatency;
    std::uint64_t sent = 0;
};

} // namespace

Figures runReplicaReads(const ExperimentOptions& options)
{
    auto shape = options.shape;
    shape.applyLag = std::max(shape.applyLag, targetLag);
    ExperimentBench bench(shape);
    if (!bench.ready())
        return {};
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    auto result = AgedReads(bench, options.duration).run();
    const auto own = OwnReads(bench, options.duration).run();
    result.insert(result.end(), own.begin(), own.end());
    return result;
}

} // namespace endivetrestle
