// Shows that the audit of the simulations with repeated answers reports each kind of violation.
#include "process/statement_audit_test.h"

#include <catch2/catch.hpp>

using namespace endivetrestle;
using namespace endivetrestle::testing;
using namespace std::chrono_literals;

namespace {

constexpr Time start { 1000s };

// A client's write outside a transaction, sent and run once.
struct AuditedWrite {
    AuditedWrite()
    {
        this->work.statement = { StatementKind::Write, "w", "WRITE 1a4 data" };
        this->work.session = std::make_shared<SessionState>();
        this->work.arrivedAt = start;
        this->audit.onSent({ this->work });
        this->run.endpoint = "e1";
        this->run.command = { CommandKind::Forward, "w", "WRITE 1a4 data" };
        this->run.signature = "e1.1";
        this->audit.onRun(this->run);
        this->audit.onCommitted({ { "w" }, "", { 1, 1 } });
    }

    [[nodiscard]] StatementResult success(const std::string& signature) const
    {
        StatementResult result;
        result.answer.succeeded = true;
        result.answer.signature = signature;
        result.answer.payload = "rows " + signature;
        return result;
    }

    [[nodiscard]] std::size_t violations() const
    {
        std::size_t sum = 0;
        for (std::size_t rule = 0; rule < ruleCount; ++rule)
            sum += this->audit.count(static_cast<Rule>(rule));
        return sum;
    }

    ScheduledStatement work;
    EndpointRun run;
    StatementAudit audit;
};

} // namespace

TEST_CASE("StatementAudit, reports nothing when a write gets its own answer")
{
    AuditedWrite write;
    write.audit.onResult("w", write.success("e1.1"), start);
    CHECK(write.violations() == 0);
}

TEST_CASE("StatementAudit, reports an answer that is not of the statement")
{
    AuditedWrite write;
    write.audit.onResult("w", write.success(GENERATE("", "e1.2")), start);
    CHECK(write.audit.count(Rule::Mixed) == 1);
    CHECK(write.violations() == 1);
}

TEST_CASE("StatementAudit, reports a run with another state")
{
    AuditedWrite write;
    SECTION("session values") { write.run.values["lang"] = "noi"; }
    SECTION("shape") { write.run.prepared = PreparedStatement { true, "q1" }; }
    SECTION("transaction") { write.run.transaction = 1; }
    write.audit.onRun(write.run);
    CHECK(write.audit.count(Rule::Pinned) == 1);
    CHECK(write.violations() == 1);
}

TEST_CASE("StatementAudit, reports a statement that runs outside its transaction")
{
    AuditedWrite write;
    const bool begun = GENERATE(false, true);
    auto work = write.work;
    work.statement.id = "t1";
    work.start = TransactionStart::Plain;
    write.audit.onSent({ work, 1 });
    write.run.command.id = "t1";
    write.run.transaction = 7;
    if (begun)
        write.audit.onRun(write.run);
    CHECK(write.violations() == 0);
    write.run.transaction = begun ? 8 : 0;
    write.audit.onRun(write.run);
    CHECK(write.audit.count(Rule::Pinned) == 1);
    CHECK(write.violations() == 1);
}

TEST_CASE("StatementAudit, reports a run that no client asked for")
{
    AuditedWrite write;
    SECTION("unknown identifier") { write.run.command.id = "x"; }
    SECTION("changed text") { write.run.command.text = "WRITE 1a4 other"; }
    write.audit.onRun(write.run);
    CHECK(write.audit.count(Rule::Unasked) == 1);
    CHECK(write.violations() == 1);
}

TEST_CASE("StatementAudit, reports a commit that no client asked for")
{
    AuditedWrite write;
    auto work = write.work;
    work.statement.id = "t1";
    work.start = TransactionStart::Plain;
    write.audit.onSent({ work, 1 });
    SECTION("none was sent") { write.audit.onCommitted({ { "t1" }, "", { 1, 2 } }); }
    SECTION("another client sent it")
    {
        work.statement = { StatementKind::Commit, "t1-commit", "COMMIT" };
        write.audit.onSent({ work, 1 });
        work.statement.id = "t2-commit";
        write.audit.onSent({ work, 2 });
        write.audit.onCommitted({ { "t1" }, "t2-commit", { 1, 2 } });
    }
    CHECK(write.audit.count(Rule::Unasked) == 1);
    CHECK(write.violations() == 1);
}

TEST_CASE("StatementAudit, reports a write that takes effect twice")
{
    AuditedWrite write;
    write.audit.onCommitted({ { "w" }, "", { 1, 2 } });
    CHECK(write.audit.count(Rule::Twice) == 1);
    CHECK(write.violations() == 1);
}

TEST_CASE("StatementAudit, reports a refused write that takes effect")
{
    AuditedWrite write;
    StatementResult refusal;
    refusal.answer.code = GENERATE(ReplyCode::Busy, ReplyCode::Aborted);
    SECTION("before the refusal") { write.audit.onResult("w", refusal, start); }
    SECTION("after the refusal")
    {
        auto work = write.work;
        work.statement.id = "w2";
        write.audit.onSent({ work });
        write.audit.onResult("w2", refusal, start);
        write.audit.onCommitted({ { "w2" }, "", { 1, 2 } });
    }
    CHECK(write.audit.count(Rule::Refused) == 1);
    CHECK(write.violations() == 1);
}

TEST_CASE("StatementAudit, reports a read that misses an acknowledged commit")
{
    AuditedWrite write;
    write.audit.onResult("w", write.success("e1.1"), start);
    ScheduledStatement read;
    read.statement = { StatementKind::Read, "r", "READ 1a4" };
    read.session = write.work.session;
    read.needsPrimary = false;
    read.maxStaleness = 40ms;
    const bool old = GENERATE(false, true);
    read.arrivedAt = start + (old ? 50ms : 30ms);
    write.audit.onSent({ read });
    write.run.command = { CommandKind::Forward, "r", "READ 1a4" };
    write.run.position = { 1, 0 };
    write.audit.onRun(write.run);
    CHECK(write.audit.count(Rule::Stale) == (old ? 1 : 0));
    CHECK(write.violations() == (old ? 1 : 0));
}

TEST_CASE("StatementAudit, reports a STATUS with an answer of another endpoint or command")
{
    AuditedWrite write;
    auto answer = write.success("").answer;
    answer.firstRow = "primary 1 1.20 0 0 3 5";
    write.audit.onStatus(true, answer);
    CHECK(write.violations() == 0);
    answer.firstRow = GENERATE("", "replica 1 1.20 0 5 3 5");
    write.audit.onStatus(true, answer);
    CHECK(write.audit.count(Rule::Status) == 1);
}
