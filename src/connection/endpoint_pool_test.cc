#include "connection/endpoint_pool.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>

using namespace endivetrestle;
using namespace std::chrono_literals;

namespace {

const EndpointId e1("e1");
const EndpointId e2("e2");

// Opens every connection that the pool asks for and returns the last one.
PoolConnectionId openAll(EndpointPool& pool, Time now)
{
    PoolConnectionId last;
    for (const auto& action : pool.takeActions()) {
        if (const auto* open = std::get_if<OpenConnection>(&action)) {
            last = open->connection;
            REQUIRE(pool.onOpened(last, now));
        }
    }
    return last;
}

EndpointPool warmPool(EndpointLimits limits, EndpointPoolSettings settings = {})
{
    EndpointPool pool(std::move(settings));
    pool.setEndpoints({ { e1, limits } }, Time());
    openAll(pool, Time());
    return pool;
}

std::vector<CloseReason> closeReasons(EndpointPool& pool)
{
    std::vector<CloseReason> reasons;
    for (const auto& action : pool.takeActions()) {
        if (const auto* close = std::get_if<CloseConnection>(&action))
            reasons.push_back(close->reason);
    }
    return reasons;
}

using Step = std::pair<std::uint8_t, std::uint8_t>;

// Runs random steps against a pool and checks the results against its own record of connections and uses.
struct PoolDriver {
    EndpointPool pool { EndpointPoolSettings { .maxConcurrentOpens = 3, .maxConcurrentOpensPerEndpoint = 2 } };
    Time now;
    std::map<PoolConnectionId, EndpointId> opening;
    std::map<PoolConnectionId, EndpointId> open;
    std::set<PoolConnectionId> closing;
    std::map<PoolConnectionId, std::uint64_t> resets;
    std::map<PoolConnectionId, ConnectionUse> checkedOut;
    std::map<PoolConnectionId, ConnectionUse> pins;
    // Statement or reset that the endpoint may be running.
    std::map<PoolConnectionId, EndpointId> running;
    std::set<ConnectionUse> everUsed;
    static constexpr int slots = 2;
    static constexpr int maxConnections = 4;

    static std::vector<PoolEndpoint> endpoints(bool leaving)
    {
        return { { e1, { maxConnections, 1, slots }, leaving }, { e2, { maxConnections, 2, slots } } };
    }

    template <typename Map> static auto pick(const Map& map, std::size_t choice)
    {
        return *std::next(map.begin(), static_cast<std::ptrdiff_t>(choice % map.size()));
    }

    void collect()
    {
        for (const auto& action : this->pool.takeActions()) {
            if (const auto* request = std::get_if<OpenConnection>(&action)) {
                RC_ASSERT(!this->open.contains(request->connection));
                this->opening[request->connection] = request->endpoint;
            } else if (const auto* request = std::get_if<CloseConnection>(&action)) {
                RC_ASSERT(this->closing.insert(request->connection).second);
                this->resets.erase(request->connection);
            } else if (const auto* request = std::get_if<ResetConnection>(&action)) {
                this->resets[request->connection] = request->generation;
                this->running[request->connection] = this->open.at(request->connection);
            }
        }
    }

    void checkOut(std::size_t choice)
    {
        const auto use = this->pool.checkOut(choice % 2 == 0 ? e1 : e2, this->now);
        if (!use)
            return;
        RC_ASSERT(this->open.contains(use->connection));
        RC_ASSERT(!this->closing.contains(use->connection));
        RC_ASSERT(!this->checkedOut.contains(use->connection));
        RC_ASSERT(!this->pins.contains(use->connection));
        RC_ASSERT(this->everUsed.insert(*use).second);
        this->checkedOut[use->connection] = *use;
        this->running[use->connection] = use->endpoint;
    }

    void useStep(int kind, std::size_t choice)
    {
        if (this->checkedOut.empty())
            return;
        const auto [connection, use] = pick(this->checkedOut, choice);
        const bool closed = this->closing.contains(connection);
        if (kind == 0) {
            RC_ASSERT(this->pool.acceptAnswer(use, this->now) == !closed);
            return;
        }
        if (kind == 1) {
            RC_ASSERT(this->pool.abandon(use, this->now) == !closed);
            this->checkedOut.erase(connection);
            return;
        }
        const bool done = kind == 2
            ? this->pool.pin(use)
            : this->pool.release(use, choice % 3 == 0 ? ReleaseState::Dirty : ReleaseState::Clean, now);
        RC_ASSERT(done == !closed);
        if (kind == 2 && closed)
            return;
        this->checkedOut.erase(connection);
        if (!closed)
            this->running.erase(connection);
        if (kind == 2 && !closed)
            this->pins[connection] = use;
    }

    void pinStep(int kind, std::size_t choice)
    {
        if (this->pins.empty())
            return;
        const auto [connection, pin] = pick(this->pins, choice);
        if (kind == 0) {
            const auto statement = this->pool.beginStatement(pin);
            if (!statement)
                return;
            RC_ASSERT(this->everUsed.insert(*statement).second);
            RC_ASSERT(this->running.emplace(connection, pin.endpoint).second);
            if (choice % 2 == 0 && this->pool.acceptAnswer(*statement, this->now)) {
                RC_ASSERT(this->pool.endStatement(*statement, this->now));
                this->running.erase(connection);
            }
            return;
        }
        const bool closed = this->closing.contains(connection);
        RC_ASSERT(
            this->pool.unpin(pin, choice % 2 == 0 ? ReleaseState::Dirty : ReleaseState::Clean, this->now) == !closed);
        this->pins.erase(connection);
    }

    void networkStep(std::size_t choice)
    {
        if (!this->opening.empty() && choice % 3 != 0) {
            const auto [connection, endpoint] = pick(this->opening, choice);
            const bool failed = choice % 5 == 0;
            this->opening.erase(connection);
            if (failed) {
                RC_ASSERT(this->pool.onOpenFailed(connection, this->now));
                this->closing.erase(connection);
                return;
            }
            this->open[connection] = endpoint;
            RC_ASSERT(this->pool.onOpened(connection, this->now) == !this->closing.contains(connection));
        } else if (!this->resets.empty() && choice % 2 == 0) {
            const auto [connection, generation] = pick(this->resets, choice);
            this->resets.erase(connection);
            RC_ASSERT(this->pool.onResetDone(connection, generation, choice % 4 != 0, this->now));
            this->running.erase(connection);
        } else if (!this->open.empty()) {
            // Closes a connection, whether or not the pool asked for it.
            const auto connection = pick(this->open, choice).first;
            const auto interrupted = this->pool.onClosed(connection, this->now);
            const bool used = this->checkedOut.contains(connection) || this->pins.contains(connection);
            RC_ASSERT(interrupted.has_value() == used);
            this->open.erase(connection);
            this->closing.erase(connection);
            this->resets.erase(connection);
            this->checkedOut.erase(connection);
            this->pins.erase(connection);
            this->running.erase(connection);
        }
    }

    void lateAnswer(std::size_t choice)
    {
        if (this->everUsed.empty())
            return;
        const auto use = pick(this->everUsed, choice);
        const auto current = this->checkedOut.find(use.connection);
        const bool isCurrent
            = (current != this->checkedOut.end() && current->second == use) || this->pins.contains(use.connection);
        if (isCurrent)
            return;
        RC_ASSERT(!this->pool.release(use, ReleaseState::Clean, this->now));
        RC_ASSERT(!this->pool.pin(use));
        RC_ASSERT(!this->pool.acceptAnswer(use, this->now));
        const auto state = this->pool.stateOf(use.connection);
        RC_ASSERT(!state || *state == ConnectionState::Closing);
    }

    void step(Step step)
    {
        const std::size_t choice = step.second;
        switch (step.first % 12) {
        case 0:
        case 1:
            this->checkOut(choice);
            break;
        case 2:
        case 3:
            this->useStep(static_cast<int>(choice % 4), choice / 4);
            break;
        case 4:
        case 5:
            this->pinStep(choice % 3 == 0 ? 1 : 0, choice / 2);
            break;
        case 6:
        case 7:
        case 8:
            this->networkStep(choice);
            break;
        case 9:
            this->lateAnswer(choice);
            break;
        case 10:
            this->now += std::chrono::milliseconds(choice * 20);
            this->pool.tick(this->now);
            break;
        default:
            this->pool.setEndpoints(endpoints(choice % 2 == 0), this->now);
        }
        this->collect();
        this->checkBounds();
    }

    void checkBounds() const
    {
        RC_ASSERT(this->opening.size() <= 3U + this->closing.size());
        for (const auto& endpoint : { e1, e2 }) {
            const auto is = [&](const auto& entry) { return entry.second == endpoint; };
            const auto busy = std::count_if(this->running.begin(), this->running.end(), is);
            const auto total = std::count_if(this->open.begin(), this->open.end(), is)
                + std::count_if(this->opening.begin(), this->opening.end(), is);
            RC_ASSERT(busy <= slots);
            RC_ASSERT(total <= maxConnections);
            const auto counts = this->pool.counts(endpoint);
            RC_ASSERT(counts.usedSlots == busy);
            RC_ASSERT(counts.total() == total);
        }
    }
};

} // namespace

// Guards against a connection in two uses, more running statements than slots, more connections than the share, an
// answer taken for a later use, and pinned connections handed to others.
TEST_CASE("EndpointPool, keeps its limits and never confuses uses when steps are random")
{
    REQUIRE(rc::check([] {
        const auto steps = *rc::gen::scale(8.0, rc::gen::arbitrary<std::vector<Step>>());
        PoolDriver driver;
        driver.pool.setEndpoints(PoolDriver::endpoints(false), driver.now);
        driver.collect();
        for (const auto& step : steps)
            driver.step(step);
    }));
}

// Guards against an answer that arrives after its call was given up and is handed to the next user (I4).
TEST_CASE("EndpointPool, closes the connection when its use is abandoned and never reuses it")
{
    auto pool = warmPool({ 2, 1, 1 });
    const auto use = pool.checkOut(e1, Time());
    REQUIRE(use);
    REQUIRE(pool.abandon(*use, Time(1s)));
    CHECK(closeReasons(pool) == std::vector { CloseReason::Abandoned });
    CHECK_FALSE(pool.acceptAnswer(*use, Time(2s)));
    CHECK_FALSE(pool.hasFreeSlot(e1));
    CHECK_FALSE(pool.onClosed(use->connection, Time(3s)));
    CHECK(pool.hasFreeSlot(e1));
}

// Guards against further use of a connection on which an answer to another use has arrived.
TEST_CASE(
    "EndpointPool, closes the connection and reports the interrupted use when an answer to an earlier use arrives")
{
    auto pool = warmPool({ 2, 1, 2 });
    const auto first = pool.checkOut(e1, Time());
    REQUIRE(pool.release(*first, ReleaseState::Clean, Time()));
    const auto second = pool.checkOut(e1, Time());
    REQUIRE(second->connection == first->connection);
    CHECK_FALSE(pool.acceptAnswer(*first, Time()));
    CHECK(closeReasons(pool) == std::vector { CloseReason::CrossedAnswer });
    CHECK(pool.onClosed(second->connection, Time()) == second);
}

// Guards against a storm of connection attempts to an endpoint that does not accept connections.
TEST_CASE("EndpointPool, opens one connection per backoff when opens fail")
{
    EndpointPool pool(EndpointPoolSettings {});
    pool.setEndpoints({ { e1, { 16, 8, 2 } } }, Time());
    auto actions = pool.takeActions();
    REQUIRE(actions.size() == 4);
    for (const auto& action : actions)
        REQUIRE(pool.onOpenFailed(std::get<OpenConnection>(action).connection, Time()));
    // Four failures: 50, 100, 200 and 400 ms.
    pool.tick(Time(399ms));
    CHECK(pool.takeActions().empty());
    CHECK(pool.nextDue() == Time(400ms));
    pool.tick(Time(400ms));
    actions = pool.takeActions();
    REQUIRE(actions.size() == 1);
    // A success ends the limit of one concurrent open.
    REQUIRE(pool.onOpened(std::get<OpenConnection>(actions[0]).connection, Time(410ms)));
    CHECK(pool.takeActions().size() == 4);
}

// Guards against new work at a leaving endpoint (I7), including statements of open transactions after the grace.
TEST_CASE("EndpointPool, allows no checkouts and closes connections when an endpoint is leaving")
{
    auto pool = warmPool({ 4, 3, 3 });
    const auto busy = pool.checkOut(e1, Time());
    const auto pin = pool.checkOut(e1, Time());
    REQUIRE(pool.pin(*pin));
    pool.setEndpoints({ { e1, { 4, 3, 3 }, true } }, Time());
    CHECK(closeReasons(pool) == std::vector { CloseReason::Leaving });
    CHECK_FALSE(pool.checkOut(e1, Time()));
    REQUIRE(pool.release(*busy, ReleaseState::Clean, Time()));
    CHECK(closeReasons(pool) == std::vector { CloseReason::Leaving });
    const auto statement = pool.beginStatement(*pin);
    REQUIRE(pool.endStatement(*statement, Time(1s)));
    CHECK(pool.nextDue() == Time(1500ms));
    pool.tick(Time(1500ms));
    CHECK(closeReasons(pool) == std::vector { CloseReason::Leaving });
    CHECK_FALSE(pool.beginStatement(*pin));
    CHECK(pool.onClosed(pin->connection, Time(2s)) == pin);
}

// Guards against unused connections that permanently take up an endpoint's connection limit.
TEST_CASE("EndpointPool, closes idle connections down to the warm minimum when they are not used")
{
    auto pool = warmPool({ 4, 1, 4 });
    const auto first = pool.checkOut(e1, Time());
    REQUIRE_FALSE(pool.checkOut(e1, Time()));
    openAll(pool, Time());
    REQUIRE(pool.release(*first, ReleaseState::Clean, Time(1s)));
    REQUIRE(pool.counts(e1).idle == 2);
    CHECK(pool.nextDue() == Time(60s));
    pool.tick(Time(100s));
    CHECK(closeReasons(pool) == std::vector { CloseReason::IdleTooLong });
    CHECK(pool.counts(e1).idle == 1);
    CHECK(pool.nextDue() == Time::max());
}

// Guards against session state of one caller that leaks to the next after a failed reset.
TEST_CASE("EndpointPool, does not reuse a connection when its reset failed or was not answered")
{
    auto pool = warmPool({ 1, 1, 1 });
    auto use = pool.checkOut(e1, Time());
    REQUIRE(pool.release(*use, ReleaseState::Dirty, Time()));
    const auto actions = pool.takeActions();
    REQUIRE(actions.size() == 1);
    const auto reset = std::get<ResetConnection>(actions[0]);
    SECTION("failed") { REQUIRE(pool.onResetDone(reset.connection, reset.generation, false, Time())); }
    SECTION("not answered") { pool.tick(Time(500ms)); }
    CHECK(closeReasons(pool) == std::vector { CloseReason::ResetFailed });
    CHECK_FALSE(pool.checkOut(e1, Time()));
}
