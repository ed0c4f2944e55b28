#include "base/strict_json.h"

#include <catch2/catch.hpp>

using namespace endivetrestle;
using namespace std::chrono_literals;

// Guards against the second of two equal keys silently replacing the first.
TEST_CASE("StrictJson, reports a duplicate key when one object names it twice")
{
    const auto document = parseStrictJson(R"({"a": 1, /* note */ "b": {"a": 2}, "a": 3})", "x.json");
    REQUIRE(document.problems.size() == 1);
    CHECK(document.problems[0].path == "a");
}

// Guards against a syntax error that is reported without its line.
TEST_CASE("StrictJson, reports the line when the text is not JSON")
{
    const auto document = parseStrictJson("{\n \"a\": 1,\n \"b\" 2\n}", "x.json");
    REQUIRE(document.problems.size() == 1);
    CHECK(document.problems[0].line == 3);
}

// Guards against reports that stop at the first problem.
TEST_CASE("ObjectReader, reports every problem when several keys are wrong")
{
    const auto document = parseStrictJson(R"({"port": 70000, "name": "", "colour": 1})", "x.json");
    std::vector<JsonProblem> problems;
    ObjectReader reader(document.value, "x.json", "", problems);
    reader.integer("port", { 1, 65535 });
    reader.text("name");
    reader.text("zone");
    CHECK(reader.milliseconds("waitMs", { 1, 10 }, 5ms) == 5ms);
    reader.reportUnknownKeys();
    REQUIRE(problems.size() == 4);
    CHECK(problems[0].path == "port");
    CHECK(problems[1].path == "name");
    CHECK(problems[2].path == "zone");
    CHECK(problems[3].path == "colour");
}
