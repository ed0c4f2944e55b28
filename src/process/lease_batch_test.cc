#include "process/lease_batch.h"

#include <catch2/catch.hpp>

using namespace endivetrestle;
using namespace std::chrono_literals;

namespace {

// Keeps the requested changes until the test answers them.
class HeldStore : public TableStore {
public:
    void readAll(const std::string&, Callback) override { }
    void change(const StoreChange& change, Callback callback) override
    {
        this->changes.push_back(change);
        this->callbacks.push_back(std::move(callback));
    }
    void watch(const std::string&, StoreVersion, Duration, Callback) override { }
    void abandonWatches(const std::string&) override { }

    std::vector<StoreChange> changes;
    std::vector<Callback> callbacks;
};

struct Fixture {
    static LeaseRenewal renewalOf(const std::string& daemon, std::uint64_t epoch = 5, bool urgent = false)
    {
        LeaseRenewal renewal;
        renewal.row.daemon = DaemonId(daemon);
        renewal.row.epochVersion = { 2, epoch };
        renewal.rowVersion = { 2, 7 };
        renewal.urgent = urgent;
        return renewal;
    }

    void add(const LeaseRenewal& renewal)
    {
        this->batch.add(
            renewal, this->now, [this](const StoreResult& result) { this->results.push_back(result.status); });
    }

    void advance(Duration duration)
    {
        this->now += duration;
        this->timers.advance(this->now);
    }

    Time now { 100s };
    HeldStore store;
    TimerService timers;
    LeaseBatch batch { store, timers };
    std::vector<StoreStatus> results;
};

} // namespace

// Guards against one store call for each renewal of each daemon.
TEST_CASE("LeaseBatch, renews leases in one call when they are added within the window")
{
    Fixture fixture;
    fixture.add(Fixture::renewalOf("a"));
    fixture.advance(LeaseBatch::window / 2);
    fixture.add(Fixture::renewalOf("b"));
    CHECK(fixture.store.changes.empty());
    fixture.advance(LeaseBatch::window / 2);
    REQUIRE(fixture.store.changes.size() == 1);
    const auto& change = fixture.store.changes.front();
    CHECK(change.writes.size() == 2);
    // The epoch, and the current row of each daemon.
    CHECK(change.conditions
        == std::vector<StoreCondition> {
            { fleetTable, "2/epoch", { 2, 5 } }, { leaseTable, "2/a", { 2, 7 } }, { leaseTable, "2/b", { 2, 7 } } });
    fixture.store.callbacks.front()({ StoreStatus::Done });
    CHECK(fixture.results == std::vector<StoreStatus> { StoreStatus::Done, StoreStatus::Done });
}

// Guards against a daemon that cannot serve because its first lease waits for others.
TEST_CASE("LeaseBatch, waits only for the urgent window when a daemon has no lease")
{
    Fixture fixture;
    fixture.add(Fixture::renewalOf("a"));
    fixture.add(Fixture::renewalOf("b", 5, true));
    fixture.advance(LeaseBatch::urgentWindow);
    REQUIRE(fixture.store.changes.size() == 1);
    CHECK(fixture.store.changes.front().writes.size() == 2);
}

// Guards against a lease row with a newer epoch than its daemon knows.
TEST_CASE("LeaseBatch, refuses a renewal with another epoch and a second one of the same daemon")
{
    Fixture fixture;
    fixture.add(Fixture::renewalOf("a"));
    fixture.add(Fixture::renewalOf("b", 6));
    fixture.add(Fixture::renewalOf("a"));
    CHECK(fixture.results == std::vector<StoreStatus> { StoreStatus::Refused, StoreStatus::Refused });
}

// Guards against a change that the store refuses because of its size.
TEST_CASE("LeaseBatch, sends the batch when it is full")
{
    Fixture fixture;
    for (std::size_t i = 0; i < LeaseBatch::maxRenewals; ++i)
        fixture.add(Fixture::renewalOf("d" + std::to_string(i)));
    REQUIRE(fixture.store.changes.size() == 1);
    const auto& change = fixture.store.changes.front();
    constexpr std::size_t storeLimit = 100;
    CHECK(change.conditions.size() + change.writes.size() <= storeLimit);
}

// Guards against one call per 20 ms while the daemons of a large fleet start, which the store processes one after the
// other.
TEST_CASE("LeaseBatch, collects renewals while the previous call is outstanding")
{
    Fixture fixture;
    fixture.add(Fixture::renewalOf("a", 5, true));
    fixture.advance(LeaseBatch::urgentWindow);
    REQUIRE(fixture.store.changes.size() == 1);
    fixture.add(Fixture::renewalOf("b", 5, true));
    fixture.advance(LeaseBatch::urgentWindow + 10ms);
    fixture.add(Fixture::renewalOf("c", 5, true));
    CHECK(fixture.store.changes.size() == 1);
    StoreResult done { StoreStatus::Done };
    done.answeredAt = fixture.now;
    fixture.store.callbacks.front()(done);
    REQUIRE(fixture.store.changes.size() == 2);
    CHECK(fixture.store.changes.back().writes.size() == 2);
}

// Guards against renewals that wait for an answer that was lost.
TEST_CASE("LeaseBatch, stops waiting for the previous call when its answer does not come")
{
    Fixture fixture;
    fixture.add(Fixture::renewalOf("a", 5, true));
    fixture.advance(LeaseBatch::urgentWindow);
    fixture.add(Fixture::renewalOf("b", 5, true));
    fixture.advance(LeaseBatch::urgentWindow + LeaseBatch::outstandingCallWait);
    CHECK(fixture.store.changes.size() == 2);
}
