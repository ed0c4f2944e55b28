#include "version/plan.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace endivetrestle;
using namespace std::chrono_literals;

namespace {

DatabaseDeclaration database(const std::string& id, int net)
{
    DatabaseDeclaration declared { DatabaseId(id), Region("r"), {}, 2, 16, {} };
    for (const auto* member : { "a", "b", "c" })
        declared.endpoints.push_back({ EndpointId(id + "-" + member),
            { "10.0." + std::to_string(net) + "." + std::to_string(member[0]), 1 }, DataCentre(member) });
    return declared;
}

std::shared_ptr<const Configuration> base()
{
    ConfigurationDocument document { 5, { database("d1", 1), database("d2", 2) }, {} };
    document.callers.push_back({ CallerId("shop"), std::string(64, 'a'), { { DatabaseId("d1"), {} } }, {} });
    return std::make_shared<const Configuration>(document);
}

PlanResult planFor(const std::string& text, const std::shared_ptr<const Configuration>& on = base())
{
    const auto intent = parseIntent(text, "body");
    for (const auto& problem : intent.problems)
        UNSCOPED_INFO(toString(problem));
    REQUIRE(intent.intent);
    return makePlan(*intent.intent, { on, PlanId("p"), "operator", 1000 });
}

} // namespace

// Guards against plans that hide what a leaving endpoint interrupts.
TEST_CASE("Plan, states changes, disturbance and duration when an endpoint leaves")
{
    const auto made = planFor(R"({"intent": "leaveEndpoint", "database": "d1", "endpoint": "d1-b"})");
    REQUIRE(made.plan);
    const auto& plan = *made.plan;
    CHECK(plan.changes
        == std::vector<std::string> { "database d1: endpoints d1-b state changed from \"active\" to \"leaving\"" });
    CHECK(plan.baseVersion == 5);
    CHECK(plan.result.version == 6);
    CHECK(plan.disturbance.callers == std::vector<CallerId> { CallerId("shop") });
    CHECK(plan.disturbance.databases == std::vector<DatabaseId> { DatabaseId("d1") });
    CHECK(plan.disturbance.connections == 16);
    CHECK(plan.expectedDuration == 7s);
    CHECK(plan.expiresAtMs == 1000 + 15 * 60 * 1000);
    CHECK(parsePlan(serialisePlan(plan)) == plan);
    CHECK_FALSE(parsePlan("{}"));
}

// Guards against intents that take a majority away, name unknown things, or silently change nothing.
TEST_CASE("Plan, refuses impossible intents with reasons")
{
    const auto [text, expected] = GENERATE(table<std::string, std::string>({
        { R"({"intent": "leaveEndpoint", "database": "d9", "endpoint": "x"})", "unknown database d9" },
        { R"({"intent": "leaveEndpoint", "database": "d1", "endpoint": "x"})", "unknown endpoint x" },
        { R"({"intent": "removeEndpoint", "database": "d1", "endpoint": "d1-a"})", "let it leave first" },
        { R"({"intent": "removeDatabase", "database": "d1"})", "caller shop may still use database d1" },
        { R"({"intent": "removeCaller", "caller": "x"})", "unknown caller x" },
        { R"({"intent": "setReadAge", "caller": "shop", "database": "d2", "maxReadAgeMs": 5})", "may not use" },
        { R"({"intent": "setReadAge", "caller": "shop", "database": "d1"})", "changes nothing" },
        { R"({"intent": "setLimits", "database": "d1"})", "changes nothing" },
        { R"({"intent": "joinEndpoint", "database": "d1",
            "endpoint": {"id": "d1-a", "address": "1.1.1.1:1", "dataCentre": "a"}})",
            "already active" },
        { R"({"intent": "joinEndpoint", "database": "d1",
            "endpoint": {"id": "d2-a", "address": "1.1.1.1:1", "dataCentre": "a"}})",
            "must be unique" },
        { R"({"intent": "replaceDocument", "document": {"version": 1, "databases": [{"id": "d1", "region": "r",
            "slots": 1, "connectionsPerEndpoint": 1,
            "endpoints": [{"id": "e", "address": "1.1.1.1:1", "dataCentre": "a"}]}], "callers": []}})",
            "more than one voting endpoint" },
    }));
    CAPTURE(text);
    const auto made = planFor(text);
    CHECK_FALSE(made.plan);
    REQUIRE_FALSE(made.reasons.empty());
    CAPTURE(made.reasons);
    const auto contains
        = [&, wanted = expected](const std::string& reason) { return reason.find(wanted) != std::string::npos; };
    CHECK(std::any_of(made.reasons.begin(), made.reasons.end(), contains));
}

// Guards against successive plans that are harmless each but together lose the majority.
TEST_CASE("Plan, follows an endpoint from joining to removal and keeps a majority")
{
    auto current = base();
    const auto apply = [&](const std::string& text) {
        const auto made = planFor(text, current);
        CAPTURE(text, made.reasons);
        REQUIRE(made.plan);
        current = std::make_shared<const Configuration>(made.plan->result);
    };
    const std::string joining = R"({"intent": "joinEndpoint", "database": "d1",
        "endpoint": {"id": "d1-d", "address": "10.0.1.9:1", "dataCentre": "b"}})";
    apply(R"({"intent": "leaveEndpoint", "database": "d1", "endpoint": "d1-b"})");
    CHECK_FALSE(planFor(R"({"intent": "leaveEndpoint", "database": "d1", "endpoint": "d1-c"})", current).plan);
    apply(joining);
    CHECK_FALSE(planFor(R"({"intent": "leaveEndpoint", "database": "d1", "endpoint": "d1-c"})", current).plan);
    apply(joining);
    apply(R"({"intent": "removeEndpoint", "database": "d1", "endpoint": "d1-b"})");
    CHECK(current->version() == 9);
    CHECK(current->findDatabase(DatabaseId("d1"))->votingCount() == 3);
}

// Guards against intents that are parsed or applied wrongly.
TEST_CASE("Plan, applies every kind of intent")
{
    const std::string key(64, 'b');
    const auto caller = planFor(R"({"intent": "declareCaller", "caller": {"id": "c", "keySha256": ")" + key
        + R"(", "databases": {"d2": {"maxReadAgeMs": 9}}, "kinds": ["read"]}})");
    REQUIRE(caller.plan);
    CHECK(caller.plan->changes == std::vector<std::string> { "caller c: added" });
    CHECK(caller.plan->disturbance == Disturbance());
    const auto age = planFor(R"({"intent": "setReadAge", "caller": "shop", "database": "d1", "maxReadAgeMs": 0})");
    REQUIRE(age.plan);
    CHECK(age.plan->disturbance.callers.size() == 1);
    const auto limits
        = planFor(R"({"intent": "setLimits", "database": "d2", "connectionsPerEndpoint": 10, "slots": 3})");
    REQUIRE(limits.plan);
    CHECK(limits.plan->disturbance.connections == 18);
    CHECK(planFor(R"({"intent": "removeDatabase", "database": "d2"})").plan);
    CHECK(planFor(R"({"intent": "removeCaller", "caller": "shop"})").plan);
    const auto first = planFor(R"({"intent": "declareDatabase", "database": {"id": "n", "region": "r", "slots": 1,
        "connectionsPerEndpoint": 1, "endpoints": [{"id": "e", "address": "1.1.1.1:1", "dataCentre": "a"}]}})",
        nullptr);
    REQUIRE(first.plan);
    CHECK(first.plan->baseVersion == 0);
    CHECK(first.plan->result.version == 1);
}

// Guards against malformed intents, with misspelt or missing members, that are accepted.
TEST_CASE("Intent, reports problems when the text is malformed")
{
    for (const auto* text : { "", "[]", "{}", R"({"intent": "drop"})", R"({"intent": "removeCaller"})",
             R"({"intent": "removeCaller", "caller": "a", "force": true})",
             R"({"intent": "declareDatabase", "database": "d"})",
             R"({"intent": "setLimits", "database": "d", "slots": 0})" }) {
        CAPTURE(text);
        const auto result = parseIntent(text, "body");
        CHECK_FALSE(result.intent);
        CHECK_FALSE(result.problems.empty());
    }
}
