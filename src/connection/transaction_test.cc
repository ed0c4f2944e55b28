#include "connection/transaction.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace endivetrestle;
using namespace std::chrono_literals;

namespace {

const CallerId shop("shop");

ConnectionUse pinOf(std::uint64_t connection) { return { PoolConnectionId { connection }, 1, EndpointId("e1") }; }

TransactionTable tableOf(TransactionSettings settings = {})
{
    return { settings, DatabaseId("orders"), DaemonId("daemon-1") };
}

TransactionRefusal refusalOf(const TransactionAccess& access)
{
    const auto* refusal = std::get_if<TransactionRefusal>(&access);
    return refusal ? *refusal : TransactionRefusal { ErrorCode::None, OutcomeState::Completed, {} };
}

bool refusedWith(const TransactionAccess& access, ErrorCode code, OutcomeState outcome)
{
    const auto refusal = refusalOf(access);
    return refusal.code == code && refusal.outcome == outcome;
}

using Kind = TransactionAction::Kind;
using Step = std::tuple<std::uint8_t, std::uint8_t, std::uint8_t>;

// The state of a transaction as the test driver expects it.
struct Expected {
    TransactionIdParts id;
    CallerId caller;
    ConnectionUse pin;
    TransactionState state = TransactionState::Open;
    bool commitSent = false;
    std::optional<RequestId> request;
};

// Runs random steps against a table and keeps its own record of the open transactions.
struct TableDriver {
    TransactionSettings settings {
        .maxOpen = 5, .maxPerCaller = 3, .idleLimit = 1s, .totalLimit = 4s, .maxClosed = 4, .closedRetention = 3s
    };
    TransactionTable table = tableOf(this->settings);
    std::map<std::uint64_t, Expected> open;
    std::vector<Expected> all;
    std::uint64_t lastConnection = 0;
    int lastRequest = 0;
    Time now;

    void begin(std::size_t choice)
    {
        const CallerId caller(choice % 3 == 0 ? "other" : "shop");
        const auto pin = pinOf(++this->lastConnection);
        const bool allowed = this->table.mayBegin(caller);
        const auto id = this->table.begin(caller, pin, choice, this->now);
        RC_ASSERT(id.has_value() == allowed);
        if (!id)
            return;
        this->all.push_back({ *id, caller, pin });
        RC_ASSERT((this->open.emplace(id->number, this->all.back()).second));
    }

    // An ended transaction must have been open, and its outcome must follow from what was sent.
    void ended(const EndedTransaction& transaction)
    {
        RC_ASSERT(this->open.contains(transaction.number));
        const auto expected = this->open.at(transaction.number);
        RC_ASSERT(transaction.caller == expected.caller);
        RC_ASSERT((transaction.interruptedRequest == expected.request));
        RC_ASSERT((transaction.outcome == (expected.commitSent ? OutcomeState::Unknown : OutcomeState::DidNotRun)));
        this->open.erase(transaction.number);
    }

    void request(const Expected& target, bool commit)
    {
        const RequestId request(std::to_string(++this->lastRequest));
        const auto access = commit ? this->table.startCommit(target.id, target.caller, request, this->now)
                                   : this->table.startStatement(target.id, target.caller, request, this->now);
        const auto found = this->open.find(target.id.number);
        const auto* pin = std::get_if<ConnectionUse>(&access);
        if (!pin) {
            const auto view = this->table.find(target.id.number);
            RC_ASSERT((found == this->open.end() || found->second.state != TransactionState::Open
                || view->deadline <= this->now));
            return;
        }
        RC_ASSERT((found != this->open.end() && found->second.state == TransactionState::Open));
        RC_ASSERT((*pin == target.pin));
        found->second.state = commit ? TransactionState::Committing : TransactionState::Running;
        found->second.request = request;
    }

    void answer(std::uint64_t number, std::size_t choice)
    {
        const auto found = this->open.find(number);
        const bool isOpen = found != this->open.end();
        const bool running = isOpen && found->second.state == TransactionState::Running;
        const bool committing = isOpen && found->second.state == TransactionState::Committing;
        const bool sent = isOpen && found->second.commitSent;
        if (choice % 4 == 0) {
            RC_ASSERT((this->table.commitSent(number) == (committing && !sent)));
            if (committing)
                found->second.commitSent = true;
        } else if (choice % 4 == 1) {
            const auto outcome = static_cast<OutcomeState>(choice / 4 % 3);
            RC_ASSERT((this->table.finishCommit(number, outcome, this->now) == (committing && sent)));
            if (committing && sent)
                this->open.erase(number);
        } else {
            const bool statement = choice % 4 == 2;
            const bool done = statement ? this->table.finishStatement(number, this->now)
                                        : this->table.commitNotSent(number, this->now);
            RC_ASSERT((done == (statement ? running : committing && !sent)));
            if (!done)
                return;
            found->second.state = TransactionState::Open;
            found->second.request.reset();
        }
    }

    void endStep(const Expected& target, std::size_t choice)
    {
        const auto found = this->open.find(target.id.number);
        if (choice % 3 == 0) {
            const auto ended = this->table.onConnectionLost(target.pin.connection, this->now);
            RC_ASSERT((ended.has_value() == (found != this->open.end())));
            if (ended)
                this->ended(*ended);
        } else if (choice % 3 == 1) {
            const auto ended = this->table.abort(target.id.number, this->now);
            RC_ASSERT((ended.has_value() == (found != this->open.end() && !found->second.commitSent)));
            if (ended)
                this->ended(*ended);
        } else if (!this->table.rollBack(target.id, target.caller, RequestId("r"), this->now)
            && found != this->open.end()) {
            RC_ASSERT((found->second.state == TransactionState::Open));
            this->open.erase(found);
        }
    }

    void step(const Step& step)
    {
        const auto [kind, choice, detail] = step;
        const std::set<std::uint64_t> before = this->pins();
        if (kind % 8 < 2 || this->all.empty()) {
            this->begin(choice);
        } else if (kind % 8 == 7) {
            this->now += std::chrono::milliseconds(choice * 8);
            for (const auto& transaction : this->table.tick(this->now))
                this->ended(transaction);
        } else {
            // Mostly one of the last transactions, which are likely to be open.
            const auto target = this->all[this->all.size() - 1 - choice % std::min<std::size_t>(this->all.size(), 6)];
            if (kind % 8 < 4)
                this->request(target, detail % 3 == 0);
            else if (kind % 8 < 6)
                this->answer(target.id.number, detail);
            else
                this->endStep(target, detail);
        }
        this->checkActions(before, kind % 8 == 6 && detail % 3 == 0);
        RC_ASSERT(this->table.openCount() == this->open.size());
        RC_ASSERT(this->table.openCount() <= this->settings.maxOpen);
        RC_ASSERT(this->table.closedCount() <= this->settings.maxClosed);
    }

    [[nodiscard]] std::set<std::uint64_t> pins() const
    {
        std::set<std::uint64_t> connections;
        for (const auto& [number, expected] : this->open)
            connections.insert(expected.pin.connection.value);
        return connections;
    }

    // Every transaction that ended gave up its connection in exactly one action, unless the connection was lost.
    void checkActions(std::set<std::uint64_t> before, bool lost)
    {
        for (const auto& action : this->table.takeActions())
            RC_ASSERT(before.erase(action.pin.connection.value) == 1U);
        auto after = this->pins();
        after.erase(this->lastConnection);
        before.erase(this->lastConnection);
        RC_ASSERT((lost || before == after));
    }
};

} // namespace

// Guards against a pinned connection that is lost or handed back twice, wrong outcomes (I5), and unbounded tables.
TEST_CASE("TransactionTable, gives up each connection once and reports correct outcomes when steps are random")
{
    REQUIRE(rc::check([] {
        const auto steps = *rc::gen::scale(8.0, rc::gen::arbitrary<std::vector<Step>>());
        TableDriver driver;
        for (const auto& step : steps)
            driver.step(step);
    }));
}

// Guards against two statements at once on one connection, and a false "did not run" for a repeated request (I5).
TEST_CASE("TransactionTable, refuses a request when another one of the transaction is running")
{
    auto table = tableOf();
    const auto id = *table.begin(shop, pinOf(1), 5, Time());
    CHECK(std::get<ConnectionUse>(table.startStatement(id, shop, RequestId("s1"), Time())) == pinOf(1));
    CHECK(refusedWith(
        table.startStatement(id, shop, RequestId("s2"), Time()), ErrorCode::BadRequest, OutcomeState::DidNotRun));
    CHECK(refusedWith(
        table.startCommit(id, shop, RequestId("s1"), Time()), ErrorCode::BadRequest, OutcomeState::Unknown));
    CHECK(table.rollBack(id, shop, RequestId("r"), Time())->code == ErrorCode::BadRequest);
    REQUIRE(table.finishStatement(id.number, Time()));
    CHECK(refusedWith(
        table.startStatement(id, shop, RequestId("s1"), Time()), ErrorCode::BadRequest, OutcomeState::Unknown));
    // A request that was not sent to the endpoint may be repeated.
    REQUIRE(std::holds_alternative<ConnectionUse>(table.startStatement(id, shop, RequestId("s2"), Time())));
    REQUIRE(table.statementNotSent(id.number, Time()));
    CHECK(std::holds_alternative<ConnectionUse>(table.startStatement(id, shop, RequestId("s2"), Time())));
}

// Guards against a connection that stays pinned after its caller has vanished.
TEST_CASE("TransactionTable, rolls back when the caller is silent until the idle deadline")
{
    auto table = tableOf();
    const auto id = *table.begin(shop, pinOf(1), 5, Time());
    REQUIRE(std::holds_alternative<ConnectionUse>(table.startStatement(id, shop, RequestId("s"), Time(4s))));
    CHECK(table.tick(Time(10s)).empty());
    REQUIRE(table.finishStatement(id.number, Time(10s)));
    CHECK(table.nextDue() == Time(15s));
    CHECK(refusedWith(table.startStatement(id, shop, RequestId("t"), Time(15s)), ErrorCode::TransactionAborted,
        OutcomeState::DidNotRun));
    const auto ended = table.tick(Time(15s));
    REQUIRE(ended.size() == 1);
    CHECK(ended[0].end == TransactionEnd::IdleDeadline);
    CHECK(table.takeActions() == std::vector { TransactionAction { Kind::RollBack, pinOf(1) } });
    CHECK(refusedWith(table.startCommit(id, shop, RequestId("c"), Time(16s)), ErrorCode::TransactionAborted,
        OutcomeState::DidNotRun));
    table.tick(Time(200s));
    CHECK(refusedWith(
        table.startCommit(id, shop, RequestId("c"), Time(200s)), ErrorCode::UnknownTransaction, OutcomeState::Unknown));
}

// Guards against a reset that is sent while a statement still runs, and against a total deadline that activity extends.
TEST_CASE("TransactionTable, closes the connection when the total deadline passes during a statement")
{
    auto table = tableOf();
    const auto id = *table.begin(shop, pinOf(1), 5, Time());
    REQUIRE(std::holds_alternative<ConnectionUse>(table.startStatement(id, shop, RequestId("s"), Time(4s))));
    const auto ended = table.tick(Time(60s));
    REQUIRE(ended.size() == 1);
    CHECK(ended[0]
        == EndedTransaction { id.number, shop, TransactionEnd::TotalDeadline, RequestId("s"), OutcomeState::DidNotRun,
            ErrorCode::TransactionAborted });
    CHECK(table.takeActions() == std::vector { TransactionAction { Kind::Close, pinOf(1) } });
}

// Guards against a false "did not run" for a commit (I5).
TEST_CASE("TransactionTable, reports a commit as unknown only when the connection is lost after its send")
{
    auto table = tableOf();
    const auto id = *table.begin(shop, pinOf(1), 5, Time());
    REQUIRE(std::holds_alternative<ConnectionUse>(table.startCommit(id, shop, RequestId("c"), Time())));
    SECTION("before the send")
    {
        const auto ended = table.onConnectionLost(PoolConnectionId { 1 }, Time());
        REQUIRE(ended);
        CHECK(ended->interruptedRequest == RequestId("c"));
        CHECK(ended->outcome == OutcomeState::DidNotRun);
        CHECK_FALSE(table.commitSent(id.number));
    }
    SECTION("after the send")
    {
        REQUIRE(table.commitSent(id.number));
        CHECK_FALSE(table.abort(id.number, Time()));
        CHECK_FALSE(table.commitNotSent(id.number, Time()));
        CHECK(table.tick(Time(300s)).empty());
        const auto ended = table.onConnectionLost(PoolConnectionId { 1 }, Time(300s));
        REQUIRE(ended);
        CHECK(ended->outcome == OutcomeState::Unknown);
        CHECK(refusedWith(table.startCommit(id, shop, RequestId("c"), Time(301s)), ErrorCode::UnknownTransaction,
            OutcomeState::Unknown));
    }
    CHECK(table.takeActions().empty());
}

// Guards against the use of a transaction by another caller or by an id of an earlier run of the daemon (I3).
TEST_CASE("TransactionTable, does not know a transaction when caller, random part or owner differ")
{
    auto table = tableOf();
    const auto id = *table.begin(shop, pinOf(1), 5, Time());
    auto earlierRun = id;
    earlierRun.random = 6;
    auto otherOwner = id;
    otherOwner.owner = DaemonId("daemon-2");
    CHECK(refusalOf(table.startStatement(id, CallerId("x"), RequestId("s"), Time())).code
        == ErrorCode::UnknownTransaction);
    CHECK(refusalOf(table.startStatement(earlierRun, shop, RequestId("s"), Time(9s))).code
        == ErrorCode::UnknownTransaction);
    CHECK(refusalOf(table.startStatement(otherOwner, shop, RequestId("s"), Time())).code
        == ErrorCode::UnknownTransaction);
    CHECK(table.rollBack(earlierRun, shop, RequestId("r"), Time())->code == ErrorCode::UnknownTransaction);
}
