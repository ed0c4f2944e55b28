#include "base/sha256.h"
#include "version/configuration.h"
#include "version/configuration_difference.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <fstream>
#include <sstream>

using namespace endivetrestle;
using namespace std::chrono_literals;

namespace {

std::string sample(const std::string& name)
{
    std::ifstream file(std::string(ENDIVETRESTLE_SAMPLES "/") + name);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

std::shared_ptr<const Configuration> parsedSample(const std::string& name)
{
    const auto result = parseConfiguration(sample(name), name);
    for (const auto& problem : result.problems)
        UNSCOPED_INFO(toString(problem));
    REQUIRE(result.configuration);
    return result.configuration;
}

std::vector<std::string> pathsOf(const std::vector<JsonProblem>& problems)
{
    std::vector<std::string> paths;
    for (const auto& problem : problems)
        paths.push_back(problem.path);
    std::sort(paths.begin(), paths.end());
    return paths;
}

} // namespace

// Guards against samples that the parser rejects or that do not have the sizes of the deployments.
TEST_CASE("Configuration, parses the samples of both deployments")
{
    const auto saengchan = parsedSample("saengchan.configuration.jsonc");
    const auto prism = parsedSample("prism.configuration.jsonc");
    CHECK(saengchan->findDatabase(DatabaseId("orders-3"))->endpoints.size() == 3);
    CHECK(saengchan->findDatabase(DatabaseId("orders-1"))->connectionsPerEndpoint == 16);
    CHECK(prism->findDatabase(DatabaseId("ledger-2"))->slots == 5);
    const auto* caller = prism->findCallerByKey(sha256Hex("sample key of certificate-checks"));
    REQUIRE(caller != nullptr);
    CHECK(caller->databases.at(DatabaseId("ledger-1")).maxReadAge == 60s);
    CHECK_FALSE(caller->kinds.allows(RequestKind::Begin));
    CHECK(prism->findDatabase(DatabaseId("orders-1")) == nullptr);
}

// Guards against a hash that depends on the order or layout of the text, which would make peers refuse a body.
TEST_CASE("Configuration, gives the same text and hash when the document is parsed from its canonical text")
{
    const auto first = parsedSample("prism.configuration.jsonc");
    auto shuffled = first->document();
    std::reverse(shuffled.databases.begin(), shuffled.databases.end());
    std::reverse(shuffled.databases[0].endpoints.begin(), shuffled.databases[0].endpoints.end());
    std::reverse(shuffled.callers.begin(), shuffled.callers.end());
    CHECK(Configuration(shuffled).hash() == first->hash());
    const auto second = parseConfiguration(first->text(), "canonical");
    REQUIRE(second.configuration);
    CHECK(second.configuration->document() == first->document());
    CHECK(second.configuration->text() == first->text());
    CHECK(first->hash() == sha256Hex(serialiseConfiguration(shuffled)));
}

// Guards against documents with duplicate values, without an active majority, or with grants for undeclared databases.
TEST_CASE("Configuration, reports every violated rule at once")
{
    auto document = parsedSample("saengchan.configuration.jsonc")->document();
    document.databases[0].endpoints[1].state = DeclaredEndpointState::Leaving;
    document.databases[0].endpoints[2].state = DeclaredEndpointState::Leaving;
    document.databases[1].endpoints[0].id = document.databases[0].endpoints[0].id;
    document.databases[1].endpoints[1].address = document.databases[0].endpoints[1].address;
    document.databases[2].endpoints.clear();
    document.callers[1].keySha256 = document.callers[0].keySha256;
    document.callers[2].databases[DatabaseId("orders-9")] = {};
    CHECK(pathsOf(validateConfiguration(document, "x"))
        == std::vector<std::string> { "callers[1].keySha256", "callers[2].databases.orders-9", "databases[0].endpoints",
            "databases[1].endpoints[0].id", "databases[1].endpoints[1].address", "databases[2].endpoints" });
}

// Guards against a joining endpoint that counts for a majority before it holds the log.
TEST_CASE("Configuration, does not count joining endpoints when it looks for a majority")
{
    auto document = parsedSample("saengchan.configuration.jsonc")->document();
    document.databases[0].endpoints[2].state = DeclaredEndpointState::Joining;
    CHECK(document.databases[0].votingCount() == 2);
    CHECK(validateConfiguration(document, "x").empty());
    document.databases[0].endpoints[1].state = DeclaredEndpointState::Leaving;
    CHECK(validateConfiguration(document, "x").size() == 1);
}

// Guards against invalid values that are accepted or reported without their path.
TEST_CASE("Configuration, reports paths when values are malformed")
{
    const auto result = parseConfiguration(R"({"version": 0, "databases": [{"id": "d", "region": "r",
        "endpoints": [{"id": "e", "address": "host:1", "dataCentre": "a", "state": "gone"}], "slots": 0,
        "connectionsPerEndpoint": 1, "objectives": {"availability": 1}}],
        "callers": [{"id": "c", "keySha256": "AB", "databases": {"d": {"maxReadAgeMs": -1}}, "kinds": ["drop"]}]})",
        "x");
    CHECK_FALSE(result.configuration);
    CHECK(pathsOf(result.problems)
        == std::vector<std::string> { "callers[0].databases.d.maxReadAgeMs", "callers[0].keySha256", "callers[0].kinds",
            "databases[0].endpoints[0].address", "databases[0].endpoints[0].state",
            "databases[0].objectives.availability", "databases[0].slots", "version" });
}

// Guards against difference lines that omit a change or name the wrong path.
TEST_CASE("Configuration, describes each change on a line of its own")
{
    const auto before = parsedSample("saengchan.configuration.jsonc")->document();
    auto after = before;
    after.version = 2;
    CHECK(describeDifference(before, after).empty());
    after.databases[0].slots = 3;
    after.databases[1].endpoints[0].state = DeclaredEndpointState::Leaving;
    after.callers[0].databases.begin()->second.maxReadAge.reset();
    after.callers.pop_back();
    CHECK(describeDifference(before, after)
        == std::vector<std::string> { "database orders-1: slots changed from 2 to 3",
            "database orders-2: endpoints orders-2-a state changed from \"active\" to \"leaving\"",
            "caller payments: databases orders-1 maxReadAgeMs removed (was 0)", "caller stock-glance: removed" });
}
