#include "base/log.h"

#include <catch2/catch.hpp>

using namespace endivetrestle;

// Guards against values that split a log line or that cannot be told from the next key.
TEST_CASE("Log, quotes a value when it holds separators")
{
    const auto line = formatLogLine("request_failed", { { "detail", "a \"b\"\nc=d" }, { "count", 3 } });
    CHECK(line == R"(event=request_failed detail="a \"b\" c=d" count=3)");
}
