#include "process/store_version.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

using namespace endivetrestle;

// Guards against a version of before the store was restored that counts as newer because its number is higher.
TEST_CASE("StoreVersion, is newer in a later era whatever its number")
{
    CHECK(StoreVersion { 2, 1 } > StoreVersion { 1, 900 });
    CHECK(StoreVersion { 2, 8 } > StoreVersion { 2, 7 });
    CHECK_FALSE(StoreVersion { 2, 0 }.isSet());
}

TEST_CASE("parseStoreVersion, restores what toString() returns")
{
    rc::prop("any version", [](std::uint64_t era, std::uint64_t number) {
        const StoreVersion version { era, number };
        RC_ASSERT(parseStoreVersion(toString(version)) == version);
    });
}

TEST_CASE("parseStoreVersion, finds no version in any other text")
{
    for (const char* text : { "", "7", ".", "7.", ".7", "7.1x", "7.1.2", "-1.2", "7 .1", "99999999999999999999.1" }) {
        CAPTURE(text);
        CHECK_FALSE(parseStoreVersion(text));
    }
}
