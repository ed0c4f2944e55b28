#include "connection/session_writes.h"

#include <catch2/catch.hpp>

#include <string>

using namespace endivetrestle;

namespace {

const DatabaseId shop("shop");
const DatabaseId stock("stock");

DatabaseId numbered(std::size_t number) { return DatabaseId("g" + std::to_string(number)); }

} // namespace

TEST_CASE("SessionWrites, keeps the last position of each group")
{
    // Guards against a read that misses a write because the session has written elsewhere since (review/14).
    SessionWrites writes;
    CHECK(writes.in(shop) == OwnWrites {});
    writes.add(shop, Position { 1, 5 });
    writes.add(stock, Position { 4, 2 });
    writes.add(stock, Position { 4, 3 });
    CHECK(writes.in(shop) == OwnWrites { Position { 1, 5 }, false });
    CHECK(writes.in(stock) == OwnWrites { Position { 4, 3 }, false });
    writes.add(shop, Position { 1, 9 });
    CHECK(writes.in(shop) == OwnWrites { Position { 1, 9 }, false });
    CHECK(writes.in(stock) == OwnWrites { Position { 4, 3 }, false });
    CHECK(writes.in(numbered(1)) == OwnWrites {});
}

TEST_CASE("SessionWrites, sends reads to the primary where a position is not known")
{
    // Guards against a stale read of a group whose position was not told or has been forgotten.
    SessionWrites writes;
    writes.add(shop, std::nullopt);
    CHECK(writes.in(shop) == OwnWrites { std::nullopt, true });
    for (std::size_t i = 1; i < SessionWrites::maxGroups; ++i)
        writes.add(numbered(i), Position { 1, i });
    CHECK(writes.in(shop).needsPrimary);
    CHECK_FALSE(writes.in(stock).needsPrimary);
    writes.add(numbered(SessionWrites::maxGroups), Position { 1, 1 });
    // The first group is forgotten, and it is not known which one it was.
    CHECK(writes.in(shop).needsPrimary);
    CHECK(writes.in(stock).needsPrimary);
    CHECK(writes.in(numbered(1)) == OwnWrites { Position { 1, 1 }, false });
}
