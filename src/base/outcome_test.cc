#include "base/outcome.h"

#include <catch2/catch.hpp>

using namespace endivetrestle;

// Guards against a code added without a stable name, which callers would see as "internal".
TEST_CASE("ErrorCode, has a distinct stable name when listed")
{
    for (int value = 0; value < static_cast<int>(ErrorCode::Internal); ++value) {
        CAPTURE(value);
        const auto code = static_cast<ErrorCode>(value);
        REQUIRE(errorName(code) != "internal");
        REQUIRE(errorFromName(errorName(code)) == code);
    }
}
