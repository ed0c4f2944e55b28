#include "process/durability/sync_requirement.h"

#include <catch2/catch.hpp>

using namespace endivetrestle;
using namespace std::chrono_literals;

namespace {

const Time start { 100s };
const DatabaseId shop("shop");

RouteTable tableWith(std::size_t syncReplicas)
{
    RouteTable table;
    table.groups[shop] = { shop, 16, syncReplicas };
    return table;
}

} // namespace

TEST_CASE("SyncRequirement, is what the configuration declares")
{
    SyncRequirement requirement;
    CHECK(requirement.of(shop, start) == 0);
    requirement.apply(tableWith(1), start);
    CHECK(requirement.of(shop, start) == 1);
    CHECK(requirement.of(DatabaseId("stock"), start) == 0);
}

TEST_CASE("SyncRequirement, is the larger of two values for a while after a change")
{
    // Guards against a promotion that loses commits which were acknowledged just before the requirement was lowered.
    SyncRequirement requirement;
    requirement.apply(tableWith(2), start);
    requirement.apply(tableWith(1), start + 1s);
    requirement.apply(tableWith(0), start + 2s);
    CHECK(requirement.of(shop, start + 3s) == 2);
    CHECK(requirement.of(shop, start + 2s + SyncRequirement::changeWindow) == 0);
    requirement.apply(tableWith(1), start + 20s);
    CHECK(requirement.of(shop, start + 20s) == 1);
}
