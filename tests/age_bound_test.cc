#include "end_to_end.h"

#include <catch2/catch.hpp>

using namespace endivetrestle;
using namespace std::chrono_literals;

// Guards against a read that waits until its deadline because no sample can be young enough for its age bound.
TEST_CASE("AgeBound, answers a read at the primary when its age bound is zero")
{
    RunningDeployment running(demoShape());
    REQUIRE(running.problem.empty());
    REQUIRE(running.write(0, "put mango 12", "w1").state == OutcomeState::Completed);
    for (std::size_t daemon = 0; daemon < 2; ++daemon) {
        auto call = running.newCall(RequestKind::Read, "aged-" + std::to_string(daemon));
        call.statement = "get mango";
        call.maxAge = Duration::zero();
        const auto read = running.send(daemon, call);
        CAPTURE(read.detail);
        CHECK(read.state == OutcomeState::Completed);
        CHECK(read.rows == R"(["12"])");
    }
}
