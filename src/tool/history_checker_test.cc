#include "tool/history_checker.h"

#include <catch2/catch.hpp>

using namespace endivetrestle;
using namespace std::chrono_literals;

namespace {

const DatabaseId shop("shop-1");
const HistoryMark first { "orders/1/0", 1 };
const HistoryMark second { "orders/1/0", 2 };

// Builds histories in which each event is 1 ms after the previous one.
struct History {
    HistoryChecker checker;
    Time now { 1s };
    std::uint64_t operation = 0;

    std::uint64_t send(HistoryEvent event)
    {
        event.type = HistoryEventType::Sent;
        event.at = this->now += 1ms;
        event.operation = ++this->operation;
        event.database = shop;
        this->checker.add(event);
        return event.operation;
    }

    std::uint64_t write(const HistoryMark& mark, HistoryKeyType type = HistoryKeyType::List)
    {
        HistoryEvent event;
        event.session = 1;
        event.writes = { mark };
        event.keyType = type;
        return this->send(event);
    }

    std::uint64_t read(
        const std::string& key, std::uint64_t session, std::optional<Duration> maxAge = {}, bool audit = false)
    {
        HistoryEvent event;
        event.session = session;
        event.readKeys = { key };
        event.maxAge = maxAge;
        event.audit = audit;
        return this->send(event);
    }

    void answer(std::uint64_t operation, OutcomeState state, const std::string& rows = "", Position position = { 1, 1 })
    {
        HistoryEvent event;
        event.type = HistoryEventType::Answered;
        event.at = this->now += 1ms;
        event.operation = operation;
        event.state = state;
        event.rows = rows;
        event.position = position;
        this->checker.add(event);
    }

    void completed(std::uint64_t operation, const std::string& rows = "", Position position = { 1, 1 })
    {
        this->answer(operation, OutcomeState::Completed, rows, position);
    }

    // Expects exactly one violation of a kind, shown by the given number of events.
    void expectOnly(ViolationKind kind, std::size_t events)
    {
        for (const auto& violation : this->checker.violations())
            UNSCOPED_INFO(toString(violation));
        CHECK(this->checker.violationCount() == 1);
        CHECK(this->checker.violationCount(kind) == 1);
        REQUIRE(this->checker.violations().size() == 1);
        CHECK(this->checker.violations()[0].events.size() == events);
    }
};

std::string rowsOf(const std::vector<HistoryMark>& marks)
{
    std::string rows = "[\"";
    for (const auto& mark : marks)
        rows += toString(mark);
    return rows + "\"]";
}

} // namespace

// Guards against false alarms in a history without a fault, which would hide real ones.
TEST_CASE("HistoryChecker, accepts a history in which every read shows what it must")
{
    History history;
    history.completed(history.write(first));
    const auto unknown = history.write(second);
    history.answer(unknown, OutcomeState::Unknown);
    history.completed(history.read(first.key, 1), rowsOf({ first }));
    history.completed(history.read(first.key, 2, 1s), rowsOf({}));
    history.completed(history.read(first.key, 1), rowsOf({ first, second }));
    history.completed(unknown);
    history.completed(history.read(first.key, 1, std::nullopt, true), rowsOf({ first, second }));
    CHECK(history.checker.violationCount() == 0);
    CHECK(history.checker.unresolvedWrites() == 0);
    CHECK(history.checker.writtenKeys().size() == 1);
}

// Guards against an acknowledged write that disappears unnoticed (I10).
TEST_CASE("HistoryChecker, finds a lost write when an audit read does not show it")
{
    History history;
    history.completed(history.write(first));
    history.completed(history.write(second));
    history.completed(history.read(first.key, 9, std::nullopt, true), rowsOf({ second }));
    history.expectOnly(ViolationKind::LostWrite, 4);
}

// Guards against a statement that was applied twice unnoticed (I6, I10).
TEST_CASE("HistoryChecker, finds a doubled write when its mark occurs twice")
{
    History history;
    history.completed(history.write(first));
    history.completed(history.read(first.key, 2), rowsOf({ first, first }));
    history.expectOnly(ViolationKind::DoubledWrite, 2);
}

// Guards against a session that does not see its own write (I1).
TEST_CASE("HistoryChecker, finds a stale read of the session's own write")
{
    History history;
    history.completed(history.write(first));
    history.completed(history.read(first.key, 1), rowsOf({}));
    history.expectOnly(ViolationKind::OwnWriteNotSeen, 4);
}

// Guards against data older than the stated age (I11), in lists and in replaced values.
TEST_CASE("HistoryChecker, finds data that is older than the stated age")
{
    const auto type = GENERATE(HistoryKeyType::List, HistoryKeyType::Register);
    History history;
    history.completed(history.write(first, type));
    history.completed(history.write(second, type));
    history.now += 1s;
    history.completed(history.read(first.key, 2, 2s), rowsOf({ first }));
    history.completed(history.read(first.key, 2, 500ms), rowsOf({ first }));
    history.expectOnly(ViolationKind::DataTooOld, 4);
}

// Guards against an alarm about a value that a write with unknown outcome brought back.
TEST_CASE("HistoryChecker, allows an unresolved write to replace a newer value")
{
    History history;
    history.answer(history.write(first, HistoryKeyType::Register), OutcomeState::Unknown);
    history.completed(history.write(second, HistoryKeyType::Register));
    history.completed(history.read(first.key, 1), rowsOf({ first }));
    CHECK(history.checker.violationCount() == 0);
    CHECK(history.checker.unresolvedWrites() == 1);
}

// Guards against an answer that was delivered for another request (I4).
TEST_CASE("HistoryChecker, finds a crossed answer by a mark of a key that was not asked for")
{
    History history;
    history.completed(history.write(first));
    history.completed(history.read("orders/2/0", 2), rowsOf({ first }));
    history.expectOnly(ViolationKind::CrossedAnswer, 2);
}

// Guards against a false "did not run" (I5), whether the mark is seen before or after the answer.
TEST_CASE("HistoryChecker, finds a request that ran although it was reported as not run")
{
    const bool seenFirst = GENERATE(true, false);
    CAPTURE(seenFirst);
    History history;
    const auto write = history.write(first);
    if (!seenFirst)
        history.answer(write, OutcomeState::DidNotRun);
    history.completed(history.read(first.key, 2), rowsOf({ first }));
    if (seenFirst)
        history.answer(write, OutcomeState::DidNotRun);
    history.expectOnly(ViolationKind::DidNotRunRan, seenFirst ? 3 : 4);
}

// Guards against a resolved outcome that contradicts the first answer (I5).
TEST_CASE("HistoryChecker, finds two answers that contradict each other")
{
    History history;
    const auto write = history.write(first);
    history.answer(write, OutcomeState::DidNotRun);
    history.completed(write);
    history.expectOnly(ViolationKind::DidNotRunRan, 3);
}

// Guards against an acknowledgement by a primary that was already replaced (I2).
TEST_CASE("HistoryChecker, finds a write acknowledged in an older term than one known when it was sent")
{
    const bool fromGroundTruth = GENERATE(true, false);
    CAPTURE(fromGroundTruth);
    History history;
    const auto early = history.write({ "orders/1/0", 9 });
    if (fromGroundTruth) {
        HistoryEvent event;
        event.type = HistoryEventType::TermStarted;
        event.at = history.now += 1ms;
        event.database = shop;
        event.number = 2;
        history.checker.add(event);
    } else {
        history.completed(history.write(first), "", { 2, 8 });
    }
    history.completed(history.write(second), "", { 1, 9 });
    // Sent before the newer primary was known: it may have run in the older term and been resolved later.
    history.completed(early, "", { 1, 7 });
    history.expectOnly(ViolationKind::ReplacedPrimary, 3);
}

// Guards against a daemon that goes back to an older configuration (I9).
TEST_CASE("HistoryChecker, finds a configuration that reverted on one daemon")
{
    History history;
    const auto seen = [&](const char* daemon, std::uint64_t version) {
        HistoryEvent event;
        event.type = HistoryEventType::ConfigurationSeen;
        event.at = history.now += 1ms;
        event.daemon = DaemonId(daemon);
        event.number = version;
        history.checker.add(event);
    };
    seen("d1", 4);
    seen("d2", 3);
    seen("d1", 4);
    seen("d1", 5);
    CHECK(history.checker.violationCount() == 0);
    seen("d1", 4);
    history.expectOnly(ViolationKind::ConfigurationReverted, 2);
}

// Guards against marks that are missed or joined when values follow each other directly.
TEST_CASE("HistoryChecker, finds marks in any surrounding text")
{
    CHECK(findMarks("{\"v\":\"a/1#5.a/1#6.\"} #7. x#. b-2/c#08. d#9")
        == std::vector<HistoryMark> { { "a/1", 5 }, { "a/1", 6 }, { "b-2/c", 8 } });
}
