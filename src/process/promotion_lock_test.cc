#include "process/promotion_lock.h"

#include "process/simulated_tables_test.h"

#include <catch2/catch.hpp>

using namespace endivetrestle;
using namespace std::chrono_literals;

namespace {

// A store that answers each call at once, and two daemons that share its lock.
class LockFixture : public TableStore {
public:
    LockFixture()
        : first(DaemonId("d1"), "1", *this)
        , second(DaemonId("d2"), "1", *this)
    {
        this->advance(0s);
    }

    void readAll(const std::string& table, Callback callback) override { callback(this->tables.read(table)); }
    void change(const StoreChange& change, Callback callback) override { callback(this->tables.apply(change)); }
    void watch(const std::string&, StoreVersion, Duration, Callback) override { }
    void abandonWatches(const std::string&) override { }

    void advance(Duration duration)
    {
        this->now += duration;
        const auto result = this->tables.read(leaseTable);
        this->clock.onAnswer(this->now, this->now, result.storeMs);
    }

    bool acquire(PromotionLock& lock)
    {
        PromotionLockRow present;
        present.version.era = this->tables.era;
        for (const auto& row : this->tables.read(leaseTable).rows) {
            if (const auto decoded = decodePromotionLockRow(row))
                present = *decoded;
        }
        bool result = false;
        lock.acquire(present, this->clock, this->now, [&](bool held) { result = held; });
        return result;
    }

    void orderAndRelease(PromotionLock& lock)
    {
        lock.onOrder(this->now);
        lock.release();
    }

    Time now { 1000s };
    SimulatedTables tables { [this] { return this->now; } };
    StoreClock clock;
    PromotionLock first;
    PromotionLock second;
};

} // namespace

TEST_CASE("PromotionLock, is held by one daemon at a time, with a token that rises")
{
    LockFixture fixture;
    REQUIRE(fixture.acquire(fixture.first));
    CHECK_FALSE(fixture.acquire(fixture.second));
    const auto token = fixture.first.token();
    fixture.first.release();
    REQUIRE(fixture.acquire(fixture.second));
    CHECK(fixture.second.token() > token);
}

TEST_CASE("PromotionLock, is not taken again after another holder while that looks like two holders in turn")
{
    // Guards against promotions that two daemons order in turn within the time of a lease.
    LockFixture fixture;
    REQUIRE(fixture.acquire(fixture.first));
    fixture.orderAndRelease(fixture.first);
    fixture.advance(500ms);
    REQUIRE(fixture.acquire(fixture.second));
    fixture.orderAndRelease(fixture.second);
    fixture.advance(500ms);
    CHECK_FALSE(fixture.acquire(fixture.first));
    CHECK(fixture.acquire(fixture.second));
    fixture.second.release();
    fixture.advance(PromotionLock::turnInterval);
    CHECK(fixture.acquire(fixture.first));
}

TEST_CASE("PromotionLock, is taken again at once by the daemon that held it last")
{
    LockFixture fixture;
    REQUIRE(fixture.acquire(fixture.first));
    fixture.orderAndRelease(fixture.first);
    CHECK(fixture.acquire(fixture.first));
}

TEST_CASE("PromotionLock, gives out no token again after the store has lost its row")
{
    // Guards against orders of two holders with the same token, and against tokens that go down.
    LockFixture fixture;
    const auto copy = fixture.tables.copy();
    REQUIRE(fixture.acquire(fixture.first));
    const auto token = fixture.first.token();
    fixture.tables.restore(copy);
    fixture.first.onEraChanged();
    CHECK_FALSE(fixture.first.isHeld(fixture.now));
    REQUIRE(fixture.acquire(fixture.second));
    CHECK(fixture.second.token() > token);
    CHECK(fixture.second.token() == PromotionLock::firstToken(2));
}
