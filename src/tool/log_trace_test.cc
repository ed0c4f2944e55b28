#include "base/log.h"
#include "tool/log_trace.h"

#include <catch2/catch.hpp>

#include <sstream>

using namespace endivetrestle;

TEST_CASE("parseLogLine, decodes what formatLogLine writes")
{
    const auto text
        = formatLogLine("statement_failed", { { "request", "5c0e" }, { "detail", "a \"b\" = c" }, { "reason", "" } });
    const auto line = parseLogLine("  3.4 frontend-a-1 time=2026-01-01T00:00:00.5 level=info " + text);
    REQUIRE(line);
    CHECK(line->time == "2026-01-01T00:00:00.5");
    CHECK(line->event == "statement_failed");
    CHECK(line->fields.at("request") == "5c0e");
    CHECK(line->fields.at("detail") == "a \"b\" = c");
    CHECK(line->fields.at("reason").empty());
}

TEST_CASE("parseLogLine, leaves out lines of other programs")
{
    CHECK_FALSE(parseLogLine("kernel: hello"));
    CHECK_FALSE(parseLogLine("time=1 level=info"));
    CHECK_FALSE(parseLogLine(""));
}

TEST_CASE("traceLog, shows a request with what happened to its group's primary, in order of time")
{
    std::istringstream first("time=2 level=info event=statement_failed request=r1 group=shop\n"
                             "time=4 level=info event=statement_failed request=r2 group=shop\n");
    std::istringstream second("time=1 level=info event=promotion_step group=shop step=claim\n"
                              "time=3 level=info event=promotion_step group=other step=claim\n");
    auto lines = readLog(first, "a");
    for (auto& line : readLog(second, "b"))
        lines.push_back(std::move(line));
    const auto trace = traceLog(lines, { "r1", "" });
    REQUIRE(trace.size() == 2);
    CHECK(trace[0].event == "promotion_step");
    CHECK(trace[1].fields.at("request") == "r1");
    CHECK(traceLog(lines, { "", "shop" }).size() == 3);
    CHECK(formatTrace(trace).find("2  a  statement_failed") != std::string::npos);
    CHECK(formatTraceJson(trace).find("\"step\": \"claim\"") != std::string::npos);
}
