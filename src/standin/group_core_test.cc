#include "standin/group_core.h"

#include <catch2/catch.hpp>

using namespace endivetrestle;
using namespace endivetrestle::standin;
using namespace std::chrono_literals;

namespace {

const Time start(100s);
const std::vector<EndpointId> names { EndpointId("a"), EndpointId("b"), EndpointId("c") };

ExecuteCall callOf(ExecuteKind kind, const std::string& statement, const std::string& requestId = {})
{
    ExecuteCall call;
    call.callNumber = 7;
    call.kind = kind;
    call.statement = statement;
    call.requestId = RequestId(requestId);
    return call;
}

struct Cores {
    std::vector<GroupCore> cores = makeGroup(names, start);

    GroupCore& operator[](std::size_t index) { return this->cores[index]; }

    ExecuteAnswer write(std::size_t index, const std::string& statement, const std::string& requestId)
    {
        return this->cores[index].execute(1, callOf(ExecuteKind::Write, statement, requestId), start);
    }

    ExecuteAnswer read(std::size_t index, const std::string& statement, Position minPosition = {})
    {
        auto call = callOf(ExecuteKind::Read, statement);
        call.minPosition = minPosition;
        return this->cores[index].execute(1, call, start);
    }

    // Sends what is due from one core to another until it is accepted or refused for its term.
    ReplicationAnswer replicate(std::size_t from, std::size_t to)
    {
        while (true) {
            const auto request = this->cores[from].replicationRequest(names[to]);
            REQUIRE(request);
            const auto answer = this->cores[to].onReplication(*request, start);
            this->cores[from].onReplicationAnswer(answer);
            if (answer.accepted || answer.term != request->term)
                return answer;
        }
    }

    void promote(std::size_t index, std::uint64_t term, std::initializer_list<std::size_t> fenced)
    {
        const FenceCall claim { term, DaemonId("d") };
        for (const auto other : fenced)
            REQUIRE(this->cores[other].fence(claim, start).granted);
        REQUIRE(this->cores[index].promote(claim, start).granted);
    }
};

} // namespace

// Guards against two daemons that both believe to hold the same term.
TEST_CASE("GroupCore, grants a fence when the term is higher or the claimant repeats it")
{
    Cores group;
    CHECK(group[1].fence({ 3, DaemonId("d1") }, start).granted);
    CHECK(group[1].fence({ 3, DaemonId("d1") }, start).granted);
    const auto refused = group[1].fence({ 3, DaemonId("d2") }, start);
    CHECK_FALSE(refused.granted);
    CHECK(refused.status.term == 3);
    CHECK_FALSE(group[1].fence({ 2, DaemonId("d1") }, start).granted);
    CHECK_FALSE(group[1].fence({ 9, DaemonId() }, start).granted);
    CHECK(group[1].currentRole() == EndpointRole::Fenced);
}

// Guards against a replaced primary that still takes writes (I2).
TEST_CASE("GroupCore, refuses writes and the old term when it was fenced")
{
    Cores group;
    CHECK(group[0].fence({ 2, DaemonId("d1") }, start).granted);
    CHECK(group.write(0, "put k v", "r1").code == ErrorCode::NotPrimary);
    auto call = callOf(ExecuteKind::Read, "get k");
    call.expectedTerm = 1;
    CHECK(group[0].execute(1, call, start).code == ErrorCode::WrongTerm);
    CHECK(group[0].table().empty());
}

// Guards against a promotion by a daemon that did not fence, and against a second empty record when it is repeated.
TEST_CASE("GroupCore, grants a promotion when the term was granted to the claimant")
{
    Cores group;
    group[1].fence({ 2, DaemonId("d1") }, start);
    CHECK_FALSE(group[1].promote({ 2, DaemonId("d2") }, start).granted);
    CHECK_FALSE(group[1].promote({ 1, DaemonId("d1") }, start).granted);
    CHECK_FALSE(group[1].promote({ 3, DaemonId("d1") }, start).granted);
    const auto granted = group[1].promote({ 2, DaemonId("d1") }, start);
    CHECK(granted.granted);
    CHECK(granted.status.role == EndpointRole::Primary);
    CHECK(granted.status.lastLog == Position { 2, 1 });
    CHECK(group[1].records().back() == LogRecord { 2, {}, RecordKind::Empty, {} });
    CHECK(group[1].promote({ 2, DaemonId("d1") }, start).granted);
    CHECK(group[1].fence({ 2, DaemonId("d1") }, start).status.role == EndpointRole::Primary);
    CHECK(group[1].records().size() == 1);
}

// Guards against logs with holes.
TEST_CASE("GroupCore, refuses records when the previous position is not in its log")
{
    Cores group;
    group.replicate(0, 1);
    group.write(0, "put k v", "r1");
    CHECK(group[0].replicationRequest(names[1])->records.size() == 1); // lost
    group.write(0, "put k w", "r2");
    const auto request = group[0].replicationRequest(names[1]);
    const auto answer = group[1].onReplication(*request, start);
    CHECK_FALSE(answer.accepted);
    group[0].onReplicationAnswer(answer);
    CHECK(group.replicate(0, 1).accepted);
    CHECK(group[1].records() == group[0].records());
}

// Guards against data of an unacknowledged suffix that survives in a replica (I10).
TEST_CASE("GroupCore, removes a divergent suffix and rebuilds its data when a new primary replicates")
{
    Cores group;
    group.write(0, "add n 1", "r1");
    group.replicate(0, 1);
    group.replicate(0, 2);
    const auto lost = group.write(0, "add n 10; put x y", "r2");
    group.promote(1, 2, { 1, 2 });
    group.write(1, "add n 100", "r3");
    CHECK(group.replicate(1, 0).accepted);
    CHECK(group[0].records() == group[1].records());
    group[0].applyUpTo(100);
    CHECK(group[0].table() == group[1].table());
    CHECK(group[0].table().at("n") == "101");
    CHECK(group.read(0, "get n", lost.position).code == ErrorCode::PositionDiverged);
    group.promote(0, 3, { 0, 1 });
    CHECK_FALSE(group.write(0, "put x z", "r2").replayed);
}

// Guards against an old primary that stays in office after contact with a later term.
TEST_CASE("GroupCore, steps down when a replication answer or request carries a higher term")
{
    Cores group;
    group.promote(1, 2, { 1, 2 });
    const auto answer = group.replicate(0, 2);
    CHECK_FALSE(answer.accepted);
    CHECK(group[0].currentRole() == EndpointRole::Replica);
    CHECK(group[0].currentTerm() == 2);
    CHECK_FALSE(group[0].replicationRequest(names[2]));
    CHECK_FALSE(group[0].fence({ 2, DaemonId("d") }, start).granted);

    Cores other;
    other.promote(1, 2, { 1, 2 });
    CHECK(other.replicate(1, 0).accepted);
    CHECK(other[0].currentRole() == EndpointRole::Replica);
}

// Guards against a fenced endpoint that still acknowledges records of the replaced primary.
TEST_CASE("GroupCore, refuses records of a lower term when it was fenced")
{
    Cores group;
    group.write(0, "put k v", "r1");
    const auto request = group[0].replicationRequest(names[1]);
    group[1].fence({ 2, DaemonId("d1") }, start);
    const auto answer = group[1].onReplication(*request, start);
    CHECK_FALSE(answer.accepted);
    CHECK(answer.term == 2);
    CHECK(group[1].records().empty());
}

// Guards against a write that runs twice when it is sent again, also at the next primary (I6).
TEST_CASE("GroupCore, returns the first result when a request id is repeated")
{
    Cores group;
    const auto first = group.write(0, "add n 5", "r1");
    CHECK(first.rows == R"(["5"])");
    const auto again = group.write(0, "add n 5", "r1");
    CHECK(again.replayed);
    CHECK(again.rows == first.rows);
    CHECK(again.position == first.position);
    group.replicate(0, 1);
    group.promote(1, 2, { 1, 2 });
    const auto later = group.write(1, "add n 5", "r1");
    CHECK(later.replayed);
    CHECK(later.position == first.position);
    CHECK(group[1].table().at("n") == "5");
}

// Guards against "did not run" for a request that arrives later (I5).
TEST_CASE("GroupCore, refuses a late arrival when the request id was resolved before")
{
    Cores group;
    group.write(0, "put k v", "r1");
    const auto found = group[0].resolve({ RequestId("r1"), 1 }, start);
    CHECK(found.code == ErrorCode::None);
    CHECK(found.ran);
    const auto absent = group[0].resolve({ RequestId("r2"), 1 }, start);
    CHECK_FALSE(absent.ran);
    CHECK(absent.position == Position { 1, 3 });
    CHECK(group[0].resolve({ RequestId("r2"), 1 }, start).position == absent.position);
    CHECK(group.write(0, "put k w", "r2").code == ErrorCode::RequestAborted);
    group.replicate(0, 1);
    group.promote(1, 2, { 1, 2 });
    CHECK(group.write(1, "put k w", "r2").code == ErrorCode::RequestAborted);
    CHECK(group[1].table().at("k") == "v");
}

// Guards against an outcome reported by an endpoint that does not know it.
TEST_CASE("GroupCore, refuses to resolve when it is not the primary of the expected term")
{
    Cores group;
    CHECK(group[0].resolve({ RequestId("r1"), 2 }, start).code == ErrorCode::WrongTerm);
    CHECK(group[1].resolve({ RequestId("r1"), 1 }, start).code == ErrorCode::NotPrimary);
    CHECK(group[1].records().empty());
}

// Guards against reads that miss the session's own write (I1).
TEST_CASE("GroupCore, serves a read when the minimal position is applied and in its log")
{
    Cores group;
    const auto written = group.write(0, "put k v", "r1");
    CHECK(group.read(1, "get k", written.position).code == ErrorCode::PositionNotReached);
    group.replicate(0, 1);
    CHECK(group.read(1, "get k", written.position).code == ErrorCode::PositionNotReached);
    group[1].applyUpTo(written.position.index);
    const auto answer = group.read(1, "get k; get none; count k", written.position);
    CHECK(answer.code == ErrorCode::None);
    CHECK(answer.rows == R"(["v","1"])");
    CHECK(answer.position == written.position);
    CHECK(group.read(1, "get k", { 2, written.position.index }).code == ErrorCode::PositionDiverged);
    CHECK(group.read(1, "put k w").code == ErrorCode::StatementFailed);
}

// Guards against writes of an open transaction that others see, and against a commit that runs twice.
TEST_CASE("GroupCore, applies a transaction's writes when it commits")
{
    Cores group;
    CHECK(group[0].execute(5, callOf(ExecuteKind::Begin, ""), start).code == ErrorCode::None);
    group[0].execute(5, callOf(ExecuteKind::Statement, "put k v"), start);
    const auto inside = group[0].execute(5, callOf(ExecuteKind::Statement, "append k w; get k"), start);
    CHECK(inside.rows == R"(["vw"])");
    CHECK(group.read(0, "get k").rows.empty());
    const auto done = group[0].execute(5, callOf(ExecuteKind::Commit, "", "r1"), start);
    CHECK(done.code == ErrorCode::None);
    CHECK(done.position == Position { 1, 2 });
    const auto again = group[0].execute(6, callOf(ExecuteKind::Commit, "", "r1"), start);
    CHECK(again.replayed);
    CHECK(again.position == done.position);
    CHECK(group.read(0, "get k").rows == R"(["vw"])");
}

// Guards against a transaction that outlives its connection or its primary.
TEST_CASE("GroupCore, drops a transaction when its connection closes or the endpoint is fenced")
{
    Cores group;
    for (const std::uint64_t connection : { 5, 6 }) {
        group[0].execute(connection, callOf(ExecuteKind::Begin, ""), start);
        group[0].execute(connection, callOf(ExecuteKind::Statement, "put k v"), start);
    }
    group[0].rollBack(5);
    CHECK(group[0].execute(5, callOf(ExecuteKind::Commit, "", "r1"), start).code == ErrorCode::TransactionAborted);
    group.promote(0, 2, { 0 });
    CHECK(group[0].execute(6, callOf(ExecuteKind::Commit, "", "r2"), start).code == ErrorCode::TransactionAborted);
    CHECK(group[0].table().empty());
}

// Guards against a statement that runs in another caller's transaction unnoticed (I3).
TEST_CASE("GroupCore, refuses and counts other statements when a connection has an open transaction")
{
    Cores group;
    group[0].execute(1, callOf(ExecuteKind::Begin, ""), start);
    CHECK(group.write(0, "put k v", "r1").code == ErrorCode::BadRequest);
    CHECK(group.read(0, "get k").code == ErrorCode::BadRequest);
    CHECK(group[0].foreignStatements() == 2);
}

// Guards against statements that take effect in part.
TEST_CASE("GroupCore, leaves no trace when a statement fails")
{
    Cores group;
    group.write(0, "put k v", "r1");
    const auto failed = group.write(0, "put x y; add k 1", "r2");
    CHECK(failed.code == ErrorCode::StatementFailed);
    CHECK_FALSE(failed.detail.empty());
    CHECK(group[0].records().size() == 2);
    CHECK(group[0].table() == Table { { "k", "v" } });
    CHECK(group.write(0, "drop k", "r3").code == ErrorCode::StatementFailed);
    CHECK(group.write(0, "put k v", "").code == ErrorCode::BadRequest);
}

// Guards against contact ages that hide a cut-off primary.
TEST_CASE("GroupCore, reports the time since the last contact when it is a replica")
{
    Cores group;
    CHECK(group[0].status(start + 5s).primaryContactAge == Duration::zero());
    CHECK(group[1].status(start + 5s).primaryContactAge == 5s);
    group[1].onReplication(*group[0].replicationRequest(names[1]), start + 4s);
    CHECK(group[1].status(start + 5s).primaryContactAge == 1s);
}
