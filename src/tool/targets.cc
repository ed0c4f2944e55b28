#include "tool/targets.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace endivetrestle {

namespace {

std::string numberText(double value)
{
    std::array<char, 32> text {};
    std::snprintf(text.data(), text.size(), value >= 100 ? "%.0f" : "%.2f", value);
    return text.data();
}

// Measures the targets one by one. A figure that is missing is not a number and misses every bound.
class TargetTable {
public:
    explicit TargetTable(const TargetOptions& options)
        : options(options)
    {
    }

    std::vector<TargetRow> run()
    {
        for (const auto* name : { "saengchan", "prism" }) {
            const bool isPrism = std::string(name) == "prism";
            this->measureDeployment(name, isPrism ? this->options.prism : this->options.saengchan);
        }
        this->measureSpeed();
        return std::move(this->rows);
    }

private:
    Figures measure(const std::string& experiment, const std::string& deployment, const ExperimentOptions& with)
    {
        if (this->options.onProgress)
            this->options.onProgress(experiment + " " + deployment);
        for (const auto& entry : allExperiments()) {
            if (entry.name == experiment)
                return entry.run(with);
        }
        return {};
    }

    void add(const std::string& target, const std::string& bound, const std::string& measured, bool met)
    {
        this->rows.push_back({ target, bound, measured, met });
    }

    void measureGap(const std::string& name, ExperimentOptions with, bool cutOff, bool storeDown)
    {
        with.cutOff = cutOff;
        with.storeDown = storeDown;
        const auto figures = this->measure("failover-gap", name, with);
        const auto median = valueOf(figures, "gap median");
        const auto worst = valueOf(figures, "gap worst");
        const bool met = storeDown ? worst <= 11000 : median <= 1000 && worst <= 3000;
        this->add(
            name + ": failover gap, primary " + (cutOff ? "cut off" : "killed") + (storeDown ? ", store down" : ""),
            storeDown ? "worst 11 s" : "median 1 s, worst 3 s",
            "median " + numberText(median) + " ms, worst " + numberText(worst) + " ms of "
                + numberText(valueOf(figures, "replacements")),
            met);
    }

    void measureDeployment(const std::string& name, const ExperimentOptions& with)
    {
        for (const bool storeDown : { false, true }) {
            for (const bool cutOff : { false, true })
                this->measureGap(name, with, cutOff, storeDown);
        }
        const auto reads = this->measure("replica-reads", name, with);
        const auto aged = valueOf(reads, "reads without a write, by replicas");
        const auto tooOld = valueOf(reads, "reads without a write, too old");
        this->add(name + ": reads without a fresh write served by replicas", "95 %, no wrong answer",
            numberText(aged) + " %, wrong " + numberText(tooOld), aged >= 95 && tooOld == 0);
        // Judged by the hardest case, a read without any pause after the write.
        const auto own = valueOf(reads, "own write, after 0 ms, by replicas");
        const auto ownAll = valueOf(reads, "own write, all pauses, by replicas");
        const auto wrong = valueOf(reads, "own write, wrong answers");
        this->add(name + ": reads after the own write served by replicas, 50 ms lag", "60 %, no wrong answer",
            "at once " + numberText(own) + " %, all pauses " + numberText(ownAll) + " %, wrong " + numberText(wrong),
            own >= 60 && ownAll >= 60 && wrong == 0);
        const auto falseFailovers = this->measure("false-failovers", name, with);
        const auto sum = valueOf(falseFailovers, "replacements of a slow primary")
            + valueOf(falseFailovers, "replacements with packet delay")
            + valueOf(falseFailovers, "replacements with one daemon cut off");
        this->add(name + ": false failovers (each fault " + numberText(toSeconds(with.duration)) + " s, not 10 min)",
            "0", numberText(sum), sum == 0);
        // Long enough for several replacements; without any the run would prove nothing.
        auto longer = with;
        longer.duration = std::max<Duration>(with.duration, std::chrono::seconds(15));
        const auto history = this->measure("history", name, longer);
        const auto violations = valueOf(history, "violations");
        const auto unaudited = valueOf(history, "keys not audited");
        this->add(name + ": writes lost, applied twice or acknowledged by a replaced primary", "0",
            "violations " + numberText(violations) + ", keys not audited " + numberText(unaudited) + ", replacements "
                + numberText(valueOf(history, "replacements")),
            violations == 0 && unaudited == 0 && valueOf(history, "replacements") > 0);
        this->measureOperations(name, with);
        const auto overload = this->measure("overload", name, with);
        const auto share = std::min(
            valueOf(overload, "share of the peak"), valueOf(overload, "share of the peak, writes and payments"));
        const auto ran = valueOf(overload, "payments refused after they ran");
        this->add(name + ": useful work at 3 times the load", "90 % of the peak, no payment refused after it ran",
            numberText(share) + " % (all " + numberText(valueOf(overload, "share of the peak"))
                + " %), refused after it ran " + numberText(ran),
            share >= 90 && ran == 0 && valueOf(overload, "refused payments not audited") == 0);
    }

    void measureOperations(const std::string& name, const ExperimentOptions& with)
    {
        const auto leaving = this->measure("leaving", name, with);
        const auto last = std::max(valueOf(leaving, "leaving replica, last new statement after"),
            valueOf(leaving, "leaving primary, last new statement after"));
        this->add(name + ": leaving endpoint, last new request", "2 s", numberText(last) + " ms", last <= 2000);
        const auto configuration = this->measure("configuration", name, with);
        const auto inForce = valueOf(configuration, "in force on all daemons, worst");
        const auto answers = valueOf(configuration, "restarted with the store down, answers");
        this->add(name + ": configuration in force on 4 daemons", "2 s", "worst " + numberText(inForce) + " ms",
            inForce <= 2000);
        this->add(name + ": daemon restarted with the store down", "in force from peers",
            (answers == 1 ? "answers, in force after " : "does not answer, ")
                + numberText(valueOf(configuration, "restarted with the store down, in force after")) + " ms",
            answers == 1);
    }

    void measureSpeed()
    {
        const auto latency = this->measure("added-latency", "saengchan", this->options.saengchan);
        const auto median = valueOf(latency, "added to reads, median");
        const auto p99 = valueOf(latency, "added to reads, p99");
        this->add("added latency, loopback", "median under 0.3 ms, p99 under 1.5 ms",
            "median " + numberText(median) + " ms, p99 " + numberText(p99) + " ms", median < 0.3 && p99 < 1.5);
        const auto throughput = this->measure("throughput", "saengchan", this->options.saengchan);
        const auto rate = valueOf(throughput, "reads per second of the daemon's CPU time");
        this->add("throughput of one daemon core", "15000/s",
            numberText(rate) + "/s (" + numberText(valueOf(throughput, "CPU time of the daemon per read"))
                + " us of its threads per read)",
            rate >= 15000);
    }

    const TargetOptions& options;
    std::vector<TargetRow> rows;
};

} // namespace

std::vector<TargetRow> measureTargets(const TargetOptions& options) { return TargetTable(options).run(); }

nlohmann::json toJson(const std::vector<TargetRow>& rows)
{
    nlohmann::json list = nlohmann::json::array();
    for (const auto& row : rows)
        list.push_back(
            { { "target", row.target }, { "bound", row.bound }, { "measured", row.measured }, { "met", row.met } });
    return list;
}

std::string toTable(const std::vector<TargetRow>& rows)
{
    std::string text = "| target | bound | measured | |\n|---|---|---|---|\n";
    for (const auto& row : rows)
        text += "| " + row.target + " | " + row.bound + " | " + row.measured + " | " + (row.met ? "met" : "missed")
            + " |\n";
    return text;
}

} // namespace endivetrestle
