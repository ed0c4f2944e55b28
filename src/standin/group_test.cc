#include "standin/group.h"

#include "standin/test_group.h"

using namespace endivetrestle;
using namespace endivetrestle::standin;
using namespace std::chrono_literals;

// Guards against replicas that answer reads before they hold and have applied the session's write.
TEST_CASE("StandinGroup, refuses a read when the replica has not applied the position")
{
    TestGroup test;
    test.control(R"({"endpoints": {"b": {"applyLagMs": 3600000}}})");
    auto primary = test.connect(0);
    auto replica = test.connect(1);
    const auto written = test.run(*primary, test.call(ExecuteKind::Write, "put k v", "r1"));
    CHECK(written.code == ErrorCode::None);
    auto read = test.call(ExecuteKind::Read, "get k");
    read.minPosition = written.position;
    const auto watched = test.wait(replica->watch({ written.position.term, written.position.index - 1 }, 10s, 20s));
    CHECK(watched.answer.lastLog == written.position);
    CHECK(test.run(*replica, read).code == ErrorCode::PositionNotReached);
    test.control(R"({"endpoints": {"b": {"applyLagMs": 0}}})");
    const auto answer = test.run(*replica, read);
    CHECK(answer.code == ErrorCode::None);
    CHECK(answer.rows == R"(["v"])");
    CHECK(answer.status.role == EndpointRole::Replica);
}
