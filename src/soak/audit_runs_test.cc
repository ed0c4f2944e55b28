#include "soak/audit.h"

#include <catch2/catch.hpp>

using namespace endivetrestle;
using namespace endivetrestle::soak;

namespace {

// Statements that clients send, and their runs at one endpoint.
class Runs {
public:
    void send(const std::string& id, const std::string& text, const std::string& transaction = "")
    {
        SentStatement statement;
        statement.text = text;
        statement.transaction = transaction;
        this->audit.onSent(id, statement, Time());
        this->texts[id] = text;
    }

    // Sends the EXECUTE of a shape.
    void sendExecute(const std::string& id, const PreparedShape& shape)
    {
        SentStatement statement;
        statement.text = "EXECUTE p 1";
        statement.shape = shape;
        this->audit.onSent(id, statement, Time());
        this->texts[id] = statement.text;
    }

    // Run of a statement as it was sent, inside a transaction of the endpoint or outside of any.
    [[nodiscard]] StatementRun runOf(const std::string& id, const std::string& transaction = "")
    {
        StatementRun run;
        run.id = id;
        run.text = this->texts[id];
        run.transaction = transaction;
        run.rows = { "row-" + id };
        run.signature = "e1." + std::to_string(++this->count) + "." + id;
        return run;
    }

    void run(const StatementRun& run)
    {
        this->audit.onRun(run, [](const Position&) { return true; });
    }

    [[nodiscard]] std::uint64_t found(ViolationKind kind) const
    {
        const auto& counts = this->audit.violationCounts();
        return counts.count(kind) == 0 ? 0 : counts.at(kind);
    }

    Audit audit;

private:
    std::map<std::string, std::string> texts;
    int count = 0;
};

} // namespace

// Guards against an answer that is taken for the answer to another statement.
TEST_CASE("Audit, finds a success with the signature of another statement or of no run")
{
    Runs runs;
    for (const auto* id : { "a", "b" })
        runs.send(id, "READ 1");
    const auto first = runs.runOf("a");
    const auto second = runs.runOf("b");
    runs.run(first);
    runs.run(second);
    runs.audit.onSuccess("a", first.rows, first.signature);
    CHECK(runs.audit.violations().empty());
    runs.audit.onSuccess("b", first.rows, first.signature);
    CHECK(runs.found(ViolationKind::WrongAnswer) == 1);
    runs.audit.onSuccess("b", {}, "-");
    CHECK(runs.found(ViolationKind::WrongAnswer) == 2);
    CHECK(runs.audit.violations().size() == 2);
}

// Guards against rows that are lost, added or cut on the way.
TEST_CASE("Audit, finds a success with other, fewer or more rows than its run returned")
{
    Runs runs;
    runs.send("a", "READ 1");
    auto run = runs.runOf("a");
    run.rows = { "first", "second" };
    runs.run(run);
    runs.audit.onSuccess("a", { "first", "second" }, run.signature);
    CHECK(runs.audit.violations().empty());
    runs.audit.onSuccess("a", { "first", "other" }, run.signature);
    runs.audit.onSuccess("a", { "first" }, run.signature);
    runs.audit.onSuccess("a", { "first", "second", "third" }, run.signature);
    CHECK(runs.found(ViolationKind::WrongAnswer) == 3);
}

TEST_CASE("Audit, compares the rows with those of the very run when a statement runs twice")
{
    Runs runs;
    runs.send("a", "READ 1");
    const auto first = runs.runOf("a");
    auto second = runs.runOf("a");
    second.rows = { "later" };
    runs.run(first);
    runs.run(second);
    runs.audit.onSuccess("a", second.rows, second.signature);
    CHECK(runs.audit.violations().empty());
    runs.audit.onSuccess("a", first.rows, second.signature);
    CHECK(runs.found(ViolationKind::WrongAnswer) == 1);
}

// Guards against a statement that is cut in two or replaced by another one.
TEST_CASE("Audit, finds a text that was changed on the way")
{
    Runs runs;
    runs.send("a", "WRITE 1 x");
    auto run = runs.runOf("a");
    runs.run(run);
    CHECK(runs.audit.violations().empty());
    run.text = "WRITE 1 y";
    runs.run(run);
    CHECK(runs.found(ViolationKind::NotSent) == 1);
}

// Guards against a shared name whose tail becomes a part of the data.
TEST_CASE("Audit, allows another name of a prepared statement but no other arguments")
{
    Runs runs;
    runs.sendExecute("a", { false, "q13" });
    auto run = runs.runOf("a");
    run.shape = PreparedShape { false, "q13" };
    run.text = "EXECUTE shared 1";
    runs.run(run);
    CHECK(runs.audit.violations().empty());
    for (const auto* text : { "EXECUTE shared 2", "EXECUTE shared tail 1", "EXECUTE shared", "READ 1" }) {
        run.text = text;
        runs.run(run);
    }
    CHECK(runs.found(ViolationKind::NotSent) == 4);
}

// Guards against names that two clients prepare for different shapes.
TEST_CASE("Audit, finds a prepared statement that runs another shape than its client prepared")
{
    Runs runs;
    runs.sendExecute("a", { true, "q 13" });
    auto run = runs.runOf("a");
    run.shape = PreparedShape { true, "q 13" };
    runs.run(run);
    CHECK(runs.audit.violations().empty());
    for (const auto& shape : { PreparedShape { true, "q" }, PreparedShape { false, "q 13" } }) {
        run.shape = shape;
        runs.run(run);
    }
    run.shape.reset();
    runs.run(run);
    CHECK(runs.found(ViolationKind::WrongSession) == 3);
}

// Guards against names that are lost when a connection is reset or given to another client.
TEST_CASE("Audit, finds a prepared name that is unknown to its client")
{
    Runs runs;
    runs.sendExecute("a", { false, "q13" });
    runs.audit.onError("a", ReplyCode::Busy);
    CHECK(runs.audit.violations().empty());
    runs.audit.onError("a", ReplyCode::NoStatement);
    CHECK(runs.found(ViolationKind::WrongSession) == 1);
}

// Guards against a connection that serves a client before the one before has ended its transaction.
TEST_CASE("Audit, finds a statement outside of its transaction and one inside of a transaction that is not its own")
{
    Runs runs;
    runs.send("inside", "READ 1", "c1/1");
    runs.send("single", "READ 1");
    runs.send("other", "READ 1", "c2/1");
    runs.run(runs.runOf("inside", "e1/1"));
    runs.run(runs.runOf("single"));
    runs.run(runs.runOf("other", "e1/2"));
    CHECK(runs.audit.violations().empty());
    runs.run(runs.runOf("inside"));
    CHECK(runs.found(ViolationKind::WrongSession) == 1);
    runs.run(runs.runOf("single", "e1/1"));
    CHECK(runs.found(ViolationKind::WrongSession) == 2);
    runs.run(runs.runOf("other", "e1/1"));
    CHECK(runs.found(ViolationKind::WrongSession) == 3);
    // The first statement of its transaction.
    runs.send("first", "READ 1", "c3/1");
    runs.run(runs.runOf("first", "e1/1"));
    CHECK(runs.found(ViolationKind::WrongSession) == 4);
}

TEST_CASE("Audit, finds a statement of a transaction on another connection than the first one")
{
    Runs runs;
    runs.send("first", "READ 1", "c1/1");
    runs.send("second", "READ 1", "c1/1");
    runs.run(runs.runOf("first", "e1/1"));
    runs.run(runs.runOf("second", "e2/1"));
    CHECK(runs.found(ViolationKind::WrongSession) == 1);
}

// Guards against a COMMIT that meets the open transaction of another client.
TEST_CASE("Audit, finds a commit of what another client wrote")
{
    Runs runs;
    runs.send("own", "WRITE 1 x", "c1/1");
    runs.send("other", "WRITE 1 x", "c2/1");
    runs.send("single", "WRITE 1 x");
    runs.send("commit", "COMMIT", "c1/1");
    auto commit = runs.runOf("commit", "e1/1");
    commit.committed = { "own" };
    runs.run(commit);
    CHECK(runs.audit.violations().empty());
    commit.committed = { "own", "other" };
    runs.run(commit);
    CHECK(runs.found(ViolationKind::NotSent) == 1);
    commit.committed = { "single" };
    runs.run(commit);
    CHECK(runs.found(ViolationKind::NotSent) == 2);
}

TEST_CASE("Audit, counts all violations of a kind and describes the first ones of each kind")
{
    Audit audit;
    for (int i = 0; i < 100; ++i)
        audit.violate(ViolationKind::WrongAnswer, "many");
    audit.violate(ViolationKind::StaleRead, "one");
    CHECK(audit.violationCounts().at(ViolationKind::WrongAnswer) == 100);
    CHECK(audit.violations().size() == 11);
    CHECK(audit.violations().back() == "stale read: one");
}
