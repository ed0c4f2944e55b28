#include "process/quota/quota_simulation_test.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <iostream>

using namespace endivetrestle;
using namespace endivetrestle::testing;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t propertySeed = 20261204;

enum class QuotaFault { Freeze, Restart, Partition, LeaseLost, Join, Loss, Delay };

struct ScheduledFault {
    // Time after the fault before, and how long it lasts, in milliseconds.
    int pause = 0;
    QuotaFault kind = QuotaFault::Freeze;
    std::size_t daemon = 0;
    int length = 0;
};

void showValue(const ScheduledFault& fault, std::ostream& out)
{
    out << "{" << fault.pause << " " << static_cast<int>(fault.kind) << " " << fault.daemon << " " << fault.length
        << "}";
}

std::vector<ScheduledFault> genSchedule()
{
    const auto fault = rc::gen::build<ScheduledFault>(rc::gen::set(&ScheduledFault::pause, rc::gen::inRange(0, 2500)),
        rc::gen::set(&ScheduledFault::kind,
            rc::gen::element(QuotaFault::Freeze, QuotaFault::Restart, QuotaFault::Partition, QuotaFault::LeaseLost,
                QuotaFault::Join, QuotaFault::Loss, QuotaFault::Delay)),
        rc::gen::set(&ScheduledFault::daemon, rc::gen::inRange<std::size_t>(0, 8)),
        rc::gen::set(&ScheduledFault::length, rc::gen::inRange(20, 4000)));
    return *rc::gen::container<std::vector<ScheduledFault>>(20, fault);
}

// Runs a schedule of faults in which the daemons' lists are up to 10 s old, each with its own age. A list contains
// every daemon whose lease was valid when it was read; a daemon of which the lease has ended stays away.
class FaultyFleet {
public:
    FaultyFleet(std::size_t count, std::uint64_t seed)
        : simulation(count, seed)
    {
        for (std::size_t i = 0; i < count; ++i)
            this->members.insert(i);
        this->history[this->simulation.now] = this->members;
        this->simulation.listAll();
    }

    void apply(const ScheduledFault& fault)
    {
        const auto index = fault.daemon % this->simulation.daemons.size();
        auto& daemon = this->simulation.daemons[index];
        const auto now = this->simulation.now;
        switch (fault.kind) {
        case QuotaFault::Freeze:
            daemon.frozenUntil = std::max(daemon.frozenUntil, now + std::chrono::milliseconds(fault.length));
            break;
        case QuotaFault::Restart:
            this->simulation.start(index);
            this->readList(index);
            break;
        case QuotaFault::Partition:
            for (auto& other : this->simulation.daemons)
                other.side = this->simulation.random() % 2 == 0 ? 0 : fault.length % 2;
            break;
        case QuotaFault::LeaseLost:
            // The daemon goes on without a lease; the lists lack it a while later.
            if (this->members.size() > 2 && !daemon.leaseEnd)
                daemon.leaseEnd = now;
            break;
        case QuotaFault::Join: {
            const auto added = static_cast<std::size_t>(1 + fault.length % 3);
            for (std::size_t i = 0; i < added && this->simulation.daemons.size() < 16; ++i) {
                const auto joined = this->simulation.add();
                this->simulation.daemons[joined].load = this->simulation.daemons[0].load;
                this->members.insert(joined);
                this->history[now] = this->members;
                this->readList(joined);
            }
            break;
        }
        case QuotaFault::Loss:
            this->simulation.loss = fault.length % 4 * 0.1;
            break;
        case QuotaFault::Delay:
            this->simulation.longestDelay
                = this->simulation.shortestDelay + std::chrono::milliseconds(fault.length % 2 == 0 ? 5 : fault.length);
            break;
        }
    }
    void run(Duration time)
    {
        const auto end = this->simulation.now + time;
        while (this->simulation.now < end) {
            this->simulation.run(std::min<Duration>(250ms, end - this->simulation.now));
            this->removeLapsed();
            for (std::size_t i = 0; i < this->simulation.daemons.size(); ++i) {
                if (this->simulation.random() % 8 == 0 && this->simulation.daemons[i].frozenUntil <= end)
                    this->readList(i);
            }
        }
    }

    QuotaSimulation simulation;

private:
    // Members of the copy of the lease table that the daemon reads, which is up to 10 s old.
    void readList(std::size_t index)
    {
        const auto at = this->simulation.now - std::chrono::milliseconds(this->simulation.random() % 10000);
        auto entry = this->history.upper_bound(at);
        const auto& list = entry == this->history.begin() ? entry->second : std::prev(entry)->second;
        this->simulation.list(index, { list.begin(), list.end() });
    }
    void removeLapsed()
    {
        for (std::size_t i = 0; i < this->simulation.daemons.size(); ++i) {
            const auto& end = this->simulation.daemons[i].leaseEnd;
            if (end && this->simulation.now > *end + 1s && this->members.erase(i) != 0)
                this->history[this->simulation.now] = this->members;
        }
    }

    std::set<std::size_t> members;
    std::map<Time, std::set<std::size_t>> history;
};

} // namespace

// Guards against two coordinators at a time, tokens used too late, fixed parts that add up to too much, and buckets
// that are full again after an interruption.
TEST_CASE("DaemonQuota, exceeds the bound in no window whatever faults combine")
{
    rc::detail::TestParams params;
    params.seed = propertySeed;
    params.maxSuccess = 150;
    std::cout << "quota bound: seed=" << params.seed << " cases=" << params.maxSuccess << "\n";
    std::uint64_t granted = 0;
    std::uint64_t fixed = 0;
    std::uint64_t changes = 0;
    const auto result = rc::detail::checkTestable(
        [&](std::uint64_t seed) {
            const auto count = *rc::gen::inRange<std::size_t>(1, 8);
            FaultyFleet fleet(count, seed);
            auto& simulation = fleet.simulation;
            simulation.quota = *rc::gen::element(WorkspaceQuota { 2, 5 }, WorkspaceQuota { 20, 100 },
                WorkspaceQuota { 100, 20 }, WorkspaceQuota { 300, 0 });
            simulation.bounds = { 5s, *rc::gen::element(0.0, 0.1, 0.2), *rc::gen::element(0.0, 20.0, 100.0) };
            simulation.configureAll();
            for (auto& daemon : simulation.daemons)
                daemon.load = simulation.quota.operationsPerSecond * *rc::gen::element(0.2, 1.0, 3.0);
            // Fixed parts begin 20 s after the start.
            fleet.run(std::chrono::seconds(*rc::gen::element(1, 22)));
            for (const auto& fault : genSchedule()) {
                fleet.run(std::chrono::milliseconds(fault.pause));
                fleet.apply(fault);
            }
            fleet.run(8s);
            granted += simulation.grants.size();
            for (const auto& daemon : simulation.daemons) {
                fixed += daemon.quota->statistics().grantedFixed;
                changes += daemon.quota->statistics().coordinatorChanges;
            }
            RC_ASSERT(simulation.mostSupported <= 1);
            RC_ASSERT(simulation.excess(simulation.quota) <= 0);
        },
        rc::detail::TestMetadata { "quota bound", "quota bound" }, params);
    rc::detail::printResultMessage(result, std::cout);
    std::cout << "\ngranted=" << granted << " by fixed parts=" << fixed << " changes of coordinator=" << changes
              << "\n";
    CHECK(result.is<rc::detail::SuccessResult>());
}
