#include "process/endpoint_directory.h"
#include "process/store_clock.h"

#include <catch2/catch.hpp>

using namespace endivetrestle;
using namespace std::chrono_literals;

namespace {

const Time start { 100s };

EndpointRecord record(const std::string& id)
{
    EndpointRecord result;
    result.id = EndpointId(id);
    result.group = DatabaseId("shop");
    return result;
}

} // namespace

TEST_CASE("EndpointDirectory, keeps a vanished entry until its grace period ends")
{
    EndpointDirectory directory;
    directory.apply(EndpointId("a"), record("a"), start);
    CHECK_FALSE(directory.apply(EndpointId("a"), std::nullopt, start));
    CHECK(directory.records().size() == 1);
    CHECK_FALSE(directory.expire(start + 1s));
    CHECK(directory.expire(start + EndpointDirectory::removalGrace));
    CHECK(directory.records().empty());
}

TEST_CASE("EndpointDirectory, keeps an entry when it reappears within its grace period")
{
    // Guards against removing endpoints whose entries expired during a store outage.
    EndpointDirectory directory;
    directory.apply(EndpointId("a"), record("a"), start);
    directory.apply(EndpointId("a"), std::nullopt, start);
    directory.apply(EndpointId("a"), record("a"), start + 2s);
    CHECK_FALSE(directory.expire(start + 10s));
    CHECK(directory.records().size() == 1);
}

TEST_CASE("EndpointDirectory, restarts the grace period of vanished entries when the store is reachable again")
{
    EndpointDirectory directory;
    directory.apply(EndpointId("a"), record("a"), start);
    directory.replaceAll({}, start);
    directory.restartGrace(start + 2s);
    CHECK_FALSE(directory.expire(start + 3s));
    CHECK(directory.isVanished(EndpointId("a")));
    CHECK(directory.expire(start + 2s + EndpointDirectory::removalGrace));
}

TEST_CASE("EndpointDirectory, reports a change only when the record differs")
{
    EndpointDirectory directory;
    CHECK(directory.apply(EndpointId("a"), record("a"), start));
    CHECK_FALSE(directory.apply(EndpointId("a"), record("a"), start));
    auto draining = record("a");
    draining.draining = true;
    CHECK(directory.apply(EndpointId("a"), draining, start));
}

TEST_CASE("StoreClock, bounds the store's clock from both sides")
{
    StoreClock clock;
    CHECK_FALSE(clock.isKnown());
    // The store read its clock at 5,000 ms at some time between the request and the answer.
    clock.onAnswer(start, start + 100ms, 5000);
    CHECK(clock.lowerBoundMs(start + 1100ms) == 6000);
    CHECK(clock.upperBoundMs(start + 1100ms) >= 6100);
}

TEST_CASE("EndpointDirectory, takes a missing endpoint for gone only after a grace period")
{
    // Guards against replacing a primary whose entry expired during an outage of the store and is not back yet.
    EndpointDirectory directory;
    const auto grace = EndpointDirectory::removalGrace;
    CHECK_FALSE(directory.isSettled(start));
    directory.replaceAll({}, start);
    CHECK_FALSE(directory.isSettled(start + grace / 2));
    CHECK(directory.isSettled(start + grace));
    directory.restartGrace(start + grace);
    CHECK_FALSE(directory.isSettled(start + grace));
    CHECK(directory.isSettled(start + 2 * grace));
}

TEST_CASE("EndpointDirectory, does not take a draining endpoint for ready because of an entry of a copy")
{
    // Guards against statements for an endpoint that leaves, after the store came back as it was before that.
    EndpointDirectory directory;
    auto draining = record("a");
    draining.draining = true;
    directory.apply(EndpointId("a"), draining, start);
    directory.onRestored(start);
    directory.replaceAll({ record("a") }, start + 100ms);
    CHECK(directory.records().at(EndpointId("a")).draining);
    auto restarted = record("a");
    restarted.processStartMs = 5;
    directory.apply(EndpointId("a"), restarted, start + 200ms);
    CHECK_FALSE(directory.records().at(EndpointId("a")).draining);
    // What is written again later counts as it is.
    restarted.draining = true;
    directory.apply(EndpointId("a"), restarted, start + 300ms);
    restarted.draining = false;
    directory.apply(EndpointId("a"), restarted, start + EndpointDirectory::removalGrace);
    CHECK_FALSE(directory.records().at(EndpointId("a")).draining);
}
