#include "base/outcome.h"

#include <catch2/catch.hpp>

using namespace endivetrestle;

// Guards against a code added without a stable name, which callers would see as "internal".
TEST_CASE("ErrorCode, has a distinct name for every code")
{
    for (int value = 0; value < static_cast<int>(ErrorCode::Internal); ++value) {
        CAPTURE(value);
        const auto code = static_cast<ErrorCode>(value);
        REQUIRE(errorName(code) != "internal");
        REQUIRE(errorFromName(errorName(code)) == code);
    }
}
