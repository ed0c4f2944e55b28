#include "process/settings.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <fstream>
#include <sstream>

using namespace endivetrestle;
using namespace std::chrono_literals;

namespace {

std::string fileText(const std::string& name)
{
    std::ifstream file(std::string(ENDIVETRESTLE_SAMPLES "/") + name);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

const std::string required = R"(
    "daemon": {"id": "d-1", "host": "h1", "dataCentre": "a", "region": "r"},
    "listen": {"callers": {"address": "127.0.0.1", "port": 0}, "peers": {"address": "::1", "port": 1},
               "operators": {"address": "127.0.0.1", "port": 65535}},
    "platform": {"tableService": "10.0.0.1:1", "objectStore": "10.0.0.1:2", "liveList": "10.0.0.1:3"},
    "secrets": {"fleetKeyFile": "f", "tokenKeyFiles": ["t"], "operatorKeyFile": "o"})";

std::vector<std::string> pathsOf(const std::vector<JsonProblem>& problems)
{
    std::vector<std::string> paths;
    for (const auto& problem : problems)
        paths.push_back(problem.path);
    std::sort(paths.begin(), paths.end());
    return paths;
}

} // namespace

// Guards against optional sections that are required by accident, and against lost defaults.
TEST_CASE("Settings, uses defaults when only the required sections are given")
{
    const auto result = parseSettings("{" + required + "}", "x.jsonc");
    for (const auto& problem : result.problems)
        UNSCOPED_INFO(toString(problem));
    REQUIRE(result.problems.empty());
    CHECK(result.settings.listen.callers.port == 0);
    CHECK(result.settings.endpoints == EndpointPolicy());
    CHECK(result.settings.limits.tokenLifetime == 24h);
}

// Guards against reports that stop at the first section, miss a nested path or accept a misspelt key.
TEST_CASE("Settings, reports every problem with its path when several sections are wrong")
{
    const auto result = parseSettings("{" + required + R"(,
        "limits": {"bodyBytes": 1, "queuePerCaller": 10, "queuePerDatabase": 5, "defaultDeadlineMs": 70000},
        "endpoints": {"suspectAfterMs": 200, "probeIntervalMs": 150, "ownersPerDatabase": 0},
        "reads": {"replicaPreference": "cheapest"}, "gossip": {"fanOut": 2}, "poll": {"jitter": 0.6},
        "workers": 0, "logLevel": "verbose"})",
        "x.jsonc");
    CHECK(pathsOf(result.problems)
        == std::vector<std::string> { "endpoints.ownersPerDatabase", "endpoints.suspectAfterMs", "gossip.fanOut",
            "limits.bodyBytes", "limits.defaultDeadlineMs", "limits.queuePerCaller", "logLevel", "poll.jitter",
            "reads.replicaPreference", "workers" });
}

// Guards against settings that start with an empty identity, a host name as address, or a secret in the file.
TEST_CASE("Settings, reports missing and malformed required values")
{
    const auto result = parseSettings(R"({"daemon": {"id": "a b", "host": "h", "dataCentre": "a"},
        "listen": {"callers": {"address": "localhost", "port": 1}, "peers": {"address": "::1", "port": 65536}},
        "platform": {"tableService": "table:80", "objectStore": "10.0.0.1:0"},
        "secrets": {"fleetKey": "abc", "fleetKeyFile": "f", "tokenKeyFiles": [], "operatorKeyFile": ""}})",
        "x.jsonc");
    CHECK(pathsOf(result.problems)
        == std::vector<std::string> { "daemon.id", "daemon.region", "listen.callers.address", "listen.operators",
            "listen.peers.port", "platform.liveList", "platform.objectStore", "platform.tableService",
            "secrets.fleetKey", "secrets.operatorKeyFile", "secrets.tokenKeyFiles" });
}

// Guards against a crash on text that is not an object.
TEST_CASE("Settings, reports a problem when the text is not an object")
{
    for (const auto* text : { "", "null", "[]", "7", "{" }) {
        CAPTURE(text);
        CHECK_FALSE(parseSettings(text, "x.jsonc").problems.empty());
    }
}

// Guards against samples that no longer match the parser.
TEST_CASE("Settings, parses the samples of both deployments")
{
    for (const auto* name : { "saengchan.daemon.jsonc", "prism.daemon.jsonc" }) {
        const auto result = parseSettings(fileText(name), name);
        for (const auto& problem : result.problems)
            UNSCOPED_INFO(toString(problem));
        CHECK(result.problems.empty());
    }
}
