#include "standin/platform.h"

#include <catch2/catch.hpp>

using namespace endivetrestle;
using namespace endivetrestle::standin;
using namespace std::chrono_literals;

namespace {

struct Setup {
    kj::AsyncIoContext io = kj::setupAsyncIo();
    kj::Network& network = io.provider->getNetwork();
    kj::Timer& timer = io.provider->getTimer();
    StandinPlatform platform { network, timer, {} };

    PlatformOptions options(Duration timeout = 10s)
    {
        PlatformOptions result;
        result.address = this->platform.address();
        result.daemon = "d1";
        result.timeout = timeout;
        return result;
    }

    template <typename Value> Value wait(kj::Promise<Value> promise) { return promise.wait(this->io.waitScope); }

    void control(const std::string& body)
    {
        for (const auto& problem : this->platform.control(body))
            FAIL(toString(problem));
    }
};

} // namespace

// Guards against two operators' puts that both take effect on the same revision.
TEST_CASE("StandinPlatform, applies a put when the revision is the expected one")
{
    Setup setup;
    auto table = newTableService(setup.network, setup.timer, setup.options());
    CHECK_FALSE(setup.wait(table->get("c/1")).answer);
    CHECK(setup.wait(table->put({ "c/1", "v1", 0, "op1" })).answer == TablePutAnswer { true, 1 });
    CHECK(setup.wait(table->put({ "c/1", "v2", 0, "op2" })).answer == TablePutAnswer { false, 1 });
    CHECK(setup.wait(table->put({ "c/1", "v2", 1, "op3" })).answer == TablePutAnswer { true, 2 });
    CHECK(setup.wait(table->get("c/1")).answer == TableRow { "c/1", "v2", 2, "op3" });
    setup.wait(table->put({ "d/1", "", 0, "op4" }));
    CHECK(setup.wait(table->list("c/")).answer == std::vector<TableRow> { { "c/1", "v2", 2, "op3" } });
}

// Guards against a lost answer that is taken for a put without effect.
TEST_CASE("StandinPlatform, finds a put by its operation id when the answer was lost after the effect")
{
    Setup setup;
    auto table = newTableService(setup.network, setup.timer, setup.options());
    setup.control(R"({"set": {"loseAnswers": 1}})");
    CHECK(setup.wait(table->put({ "k", "v", 0, "op1" })).error == ErrorCode::StoreUnavailable);
    CHECK(setup.wait(table->get("k")).answer->operationId == "op1");
    CHECK(setup.wait(table->put({ "k", "v", 0, "op1" })).answer == TablePutAnswer { true, 1 });
}

// Guards against callers that hang while the platform is down or slow.
TEST_CASE("StandinPlatform, yields StoreUnavailable when it is down or takes longer than the timeout")
{
    Setup setup;
    auto table = newTableService(setup.network, setup.timer, setup.options(20ms));
    auto objects = newObjectStore(setup.network, setup.timer, setup.options());
    setup.control(R"({"set": {"tableDown": true}})");
    CHECK(setup.wait(table->get("k")).error == ErrorCode::StoreUnavailable);
    CHECK(setup.wait(objects->put("o", "x")).answer);
    setup.control(R"({"set": {"tableDown": false, "blackhole": true}})");
    CHECK(setup.wait(table->get("k")).error == ErrorCode::StoreUnavailable);
    setup.control(R"({"set": {"blackhole": false}})");
    auto patient = newTableService(setup.network, setup.timer, setup.options());
    CHECK(setup.wait(patient->get("k")).error == ErrorCode::None);
}

// Guards against objects that change.
TEST_CASE("StandinPlatform, keeps an object when it is put again with other content")
{
    Setup setup;
    auto objects = newObjectStore(setup.network, setup.timer, setup.options());
    CHECK(setup.wait(objects->put("o", "x")).answer);
    CHECK(setup.wait(objects->put("o", "x")).answer);
    CHECK_FALSE(setup.wait(objects->put("o", "y")).answer);
    CHECK(setup.wait(objects->get("o")).answer == "x");
    CHECK_FALSE(setup.wait(objects->get("p")).answer);
}

// Guards against tests that take the live list for the actual state.
TEST_CASE("StandinPlatform, reports hosts late when the live list lags")
{
    Setup setup;
    auto list = newLiveList(setup.network, setup.timer, setup.options());
    setup.control(R"({"set": {"liveListLagMs": 3600000}, "hosts": [{"host": "h1", "address": "127.0.0.1:1"}]})");
    CHECK(setup.wait(list->hosts()).answer.empty());
    setup.control(
        R"({"set": {"liveListLagMs": 0}, "hosts": [{"host": "h2", "address": "127.0.0.1:2", "state": "leaving"}]})");
    const std::vector<ListedHost> expected { { "h1", "127.0.0.1:1", HostState::Live },
        { "h2", "127.0.0.1:2", HostState::Leaving } };
    CHECK(setup.wait(list->hosts()).answer == expected);
    setup.control(R"({"remove": ["h1", "h2"]})");
    CHECK(setup.wait(list->hosts()).answer.empty());
    CHECK_FALSE(setup.platform.control(R"({"set": {"tabelDown": true}})").empty());
}
