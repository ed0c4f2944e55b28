#include "tool/experiment_bench.h"

#include <algorithm>
#include <array>
#include <map>
#include <set>

namespace endivetrestle {

using namespace internal;

namespace {

constexpr Duration serviceTime = std::chrono::milliseconds(5);
constexpr Duration requestDeadline = std::chrono::seconds(1);
// Part of the requests of a load that is not counted, while the queue fills.
constexpr Duration warmUp = std::chrono::seconds(1);

// Open-loop load of 20 % payments, 30 % writes and 50 % reads at one rate.
class Load {
public:
    Load(ExperimentBench& bench, const std::string& prefix, double rate, Duration duration)
        : target(bench.target())
        , database(bench.databases().front())
        , prefix(prefix)
        , interval(std::max<Duration::rep>(static_cast<Duration::rep>(1e6 / rate), 1))
        , start(MonotonicClock::now())
        , duration(duration + warmUp)
    {
        runCallStream(this->target, 1, StreamMode::Open,
            { [this](std::size_t) { return this->next(); },
                [this](const StreamCall& call, const CallerAnswer& answer, Time sentAt, Time at) {
                    this->answered(call, answer, sentAt, at);
                } });
    }

    // Completed within the deadline, per second.
    [[nodiscard]] double goodput() const { return this->perSecond(this->useful); }
    // The part of it that only the primary can serve.
    [[nodiscard]] double writeGoodput() const { return this->perSecond(this->usefulWrites); }

    std::uint64_t payments = 0;
    std::uint64_t paymentsCompleted = 0;
    std::uint64_t paymentsUnknown = 0;
    // Keys of payments that were reported as not run.
    std::vector<std::string> refusedPayments;
    std::map<std::string, std::uint64_t> codes;
    LatencyHistogram latency;

private:
    [[nodiscard]] double perSecond(std::uint64_t count) const
    {
        return static_cast<double>(count) / toSeconds(this->duration - warmUp);
    }

    std::optional<StreamCall> next()
    {
        const auto number = this->sent++;
        StreamCall call;
        call.at = this->start + number * this->interval;
        if (call.at >= this->start + this->duration)
            return std::nullopt;
        const auto key = this->prefix + "-" + std::to_string(number);
        const auto kind = number % 10;
        call.call = kind < 5 ? newCall(RequestKind::Read, this->database, "get overload")
                             : newCall(RequestKind::Write, this->database, "put " + key + " 1");
        if (kind >= 8)
            call.call.priority = Priority::Payment;
        call.call.deadline = requestDeadline;
        call.daemon = number % this->target.daemons.size();
        return call;
    }

    void answered(const StreamCall& call, const CallerAnswer& answer, Time sentAt, Time at)
    {
        const bool completed = answer.state == OutcomeState::Completed;
        const bool payment = call.call.priority == Priority::Payment;
        const auto text = call.call.statement;
        if (payment) {
            this->payments += 1;
            this->paymentsCompleted += completed ? 1 : 0;
            this->paymentsUnknown += answer.state == OutcomeState::Unknown ? 1 : 0;
            if (answer.state == OutcomeState::DidNotRun)
                this->refusedPayments.push_back(text.substr(4, text.rfind(' ') - 4));
        }
        if (!completed)
            this->codes[std::string(outcomeStateName(answer.state)) + " " + std::string(errorName(answer.code))] += 1;
        // Latency counts from the intended time, so that a late client does not hide it.
        if (!completed || at - call.at > requestDeadline || call.at < this->start + warmUp)
            return;
        static_cast<void>(sentAt);
        this->useful += 1;
        this->usefulWrites += call.call.kind == RequestKind::Write ? 1 : 0;
        this->latency.record(at - call.at);
    }

    StreamTarget target;
    DatabaseId database;
    std::string prefix;
    Duration interval;
    Time start;
    Duration duration;
    std::uint64_t sent = 0;
    std::uint64_t useful = 0;
    std::uint64_t usefulWrites = 0;
};

struct RefusedAudit {
    std::uint64_t found = 0;
    std::uint64_t unanswered = 0;
};

// Reads the keys of payments that were reported as not run at the primary, several times if a read is not answered.
RefusedAudit auditRefused(ExperimentBench& bench, std::vector<std::string> keys)
{
    RefusedAudit result;
    std::uint64_t sent = 0;
    std::size_t attemptsLeft = 10 * keys.size();
    runCallStream(bench.target(), 8, StreamMode::Closed,
        { [&](std::size_t) -> std::optional<StreamCall> {
             if (keys.empty() || attemptsLeft == 0)
                 return std::nullopt;
             attemptsLeft -= 1;
             StreamCall call;
             call.call = newCall(RequestKind::Read, bench.databases().front(), "get " + keys.back());
             keys.pop_back();
             call.daemon = ++sent % bench.deployment.daemonCount();
             // Only the primary can serve it.
             call.call.maxAge = Duration::zero();
             return call;
         },
            [&](const StreamCall& call, const CallerAnswer& answer, Time, Time) {
                if (answer.state != OutcomeState::Completed)
                    keys.push_back(call.call.statement.substr(4));
                else if (answer.rows != "[]" && !answer.rows.empty())
                    result.found += 1;
            } });
    result.unanswered = keys.size();
    return result;
}

} // namespace

Figures runOverload(const ExperimentOptions& options)
{
    auto shape = options.shape;
    shape.databases.resize(1);
    shape.serviceTime = serviceTime;
    ExperimentBench bench(shape);
    if (!bench.ready())
        return {};
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    // Half of the mix must run at the primary, whose slots are the limit.
    const double carried = 2 * shape.slots / toSeconds(serviceTime);
    double peak = 0;
    double peakWrites = 0;
    Figures result { { "load that the slots carry", carried, "1/s" } };
    for (const double factor : { 0.7, 1.0, 1.3, 1.6 }) {
        const Load load(
            bench, "load" + std::to_string(static_cast<int>(100 * factor)), factor * carried, options.duration / 2);
        peak = std::max(peak, load.goodput());
        peakWrites = std::max(peakWrites, load.writeGoodput());
        result.push_back(
            { "useful work at " + std::to_string(static_cast<int>(100 * factor)) + " %", load.goodput(), "1/s" });
    }
    const Load load(bench, "over", 3 * carried, options.duration);
    const auto audit = auditRefused(bench, load.refusedPayments);
    addLatency(result, "latency of useful work at 300 %", load.latency);
    result.push_back({ "peak", peak, "1/s" });
    result.push_back({ "useful work at 300 %", load.goodput(), "1/s" });
    result.push_back({ "share of the peak", 100 * load.goodput() / peak, "%" });
    result.push_back({ "writes and payments at peak", peakWrites, "1/s" });
    result.push_back({ "writes and payments at 300 %", load.writeGoodput(), "1/s" });
    result.push_back({ "share of the peak, writes and payments", 100 * load.writeGoodput() / peakWrites, "%" });
    result.push_back({ "payments at 300 %", static_cast<double>(load.payments), "" });
    result.push_back({ "payments completed", static_cast<double>(load.paymentsCompleted), "" });
    result.push_back({ "payments unknown", static_cast<double>(load.paymentsUnknown), "" });
    result.push_back({ "payments refused", static_cast<double>(load.refusedPayments.size()), "" });
    result.push_back({ "payments refused after they ran", static_cast<double>(audit.found), "" });
    result.push_back({ "refused payments not audited", static_cast<double>(audit.unanswered), "" });
    for (const auto& [name, count] : load.codes)
        result.push_back({ "not completed at 300 %, " + name, static_cast<double>(count), "" });
    return result;
}

} // namespace endivetrestle
