#include "soak/audit.h"

#include <catch2/catch.hpp>

using namespace endivetrestle;
using namespace endivetrestle::soak;
using namespace std::chrono_literals;

namespace {

const Time start { 100s };

// An endpoint whose log holds exactly these positions.
auto logOf(std::vector<Position> positions)
{
    return [positions = std::move(positions)](const Position& wanted) {
        return std::find(positions.begin(), positions.end(), wanted) != positions.end();
    };
}

SentStatement readOf(std::optional<Duration> maxStaleness)
{
    SentStatement statement;
    statement.group = "g";
    statement.reads = true;
    statement.maxStaleness = maxStaleness;
    return statement;
}

StatementRun runOf(const std::string& id)
{
    StatementRun run;
    run.id = id;
    run.group = "g";
    run.signature = "e1.1." + id;
    return run;
}

// Acknowledges one write at position 1:1.
void acknowledgeWrite(Audit& audit)
{
    audit.onSent("w", SentStatement { "g" }, start);
    audit.onCommitted("w", "g", { 1, 1 }, false);
    audit.onAcknowledged({ "w" }, start + 10ms);
}

} // namespace

TEST_CASE("Audit, finds a read that misses an acknowledged write")
{
    Audit audit;
    acknowledgeWrite(audit);
    audit.onSent("r", readOf(std::nullopt), start + 20ms);
    audit.onRun(runOf("r"), logOf({}));
    CHECK(audit.violations().size() == 1);
}

TEST_CASE("Audit, allows a read that was sent before the acknowledgement or may be old enough")
{
    Audit audit;
    audit.onSent("before", readOf(std::nullopt), start + 5ms);
    acknowledgeWrite(audit);
    audit.onSent("old", readOf(600ms), start + 20ms);
    audit.onRun(runOf("before"), logOf({}));
    audit.onRun(runOf("old"), logOf({}));
    CHECK(audit.violations().empty());
    audit.onSent("late", readOf(600ms), start + 2s);
    audit.onRun(runOf("late"), logOf({}));
    CHECK(audit.violations().size() == 1);
}

TEST_CASE("Audit, does not ask for writes that a promotion rolled back")
{
    Audit audit;
    acknowledgeWrite(audit);
    audit.onRolledBack("g", { 1, 0 }, 2);
    audit.onSent("r", readOf(std::nullopt), start + 20ms);
    audit.onRun(runOf("r"), logOf({}));
    CHECK(audit.violations().empty());
}

TEST_CASE("Audit, finds a write that takes effect twice, after a refusal, or before one")
{
    Audit twice;
    acknowledgeWrite(twice);
    twice.onCommitted("w", "g", { 1, 2 }, false);
    CHECK(twice.violations().size() == 1);
    Audit after;
    after.onRefused({ "w" });
    after.onCommitted("w", "g", { 1, 1 }, false);
    CHECK(after.violations().size() == 1);
    Audit before;
    before.onCommitted("w", "g", { 1, 1 }, false);
    before.onRefused({ "w" });
    CHECK(before.violations().size() == 1);
}

TEST_CASE("Audit, finds an acknowledgement by a replaced primary and one without effect")
{
    Audit audit;
    audit.onCommitted("w", "g", { 1, 1 }, true);
    audit.onAcknowledged({ "w", "never" }, start);
    CHECK(audit.violations().size() == 2);
}

TEST_CASE("Audit, finds statements of nobody, with other session values, and tokens that decrease")
{
    Audit audit;
    audit.onRun(runOf("unknown"), logOf({}));
    SentStatement statement;
    statement.values = { { "zone", "a" } };
    audit.onSent("s", statement, start);
    auto run = runOf("s");
    run.values = { { "zone", "b" } };
    audit.onRun(run, logOf({}));
    audit.onPromotion({ "g", "e1", "a", 2 }, false, start);
    audit.onPromotion({ "g", "e1", "a", 2 }, false, start);
    CHECK(audit.violations().size() == 2);
    audit.onPromotion({ "g", "e1", "a", 1 }, false, start);
    CHECK(audit.violations().size() == 3);
}

TEST_CASE("Audit, finds two daemons that order promotions with one token")
{
    Audit audit;
    audit.onPromotion({ "g", "e1", "a", 2 }, false, start);
    CHECK(audit.violations().empty());
    audit.onPromotion({ "h", "e1", "b", 2 }, false, start);
    CHECK(audit.violations().size() == 1);
}

TEST_CASE("Audit, finds daemons that order promotions in turn while they are in touch with the store")
{
    const auto play = [](const std::string& last, bool inTouch, Duration between) {
        Audit audit;
        audit.onPromotion({ "g", "e2", "a", 1 }, true, start);
        audit.onPromotion({ "h", "e1", "b", 2 }, inTouch, start + between);
        audit.onPromotion({ "g", "e2", last, 3 }, true, start + 2 * between);
        return audit.violations().size();
    };
    CHECK(play("a", true, 1s) == 1);
    // One daemon that orders again, a daemon that was out of touch, and orders far apart are allowed.
    CHECK(play("b", true, 1s) == 0);
    CHECK(play("a", false, 1s) == 0);
    CHECK(play("a", true, 2s) == 0);
}
