#include "process/durability/commit_holders.h"

#include <catch2/catch.hpp>

#include <string>

using namespace endivetrestle;

namespace {

EndpointRecord record(const std::string& id, std::uint16_t port, std::int64_t start = 1, bool draining = false)
{
    EndpointRecord result;
    result.id = EndpointId(id);
    result.group = DatabaseId("shop");
    result.address = { "10.0.0.1", port };
    result.processStartMs = start;
    result.draining = draining;
    return result;
}

CommitHolder holder(const std::string& id, std::uint16_t port, std::int64_t start = 1, bool draining = false)
{
    return holderOf(record(id, port, start, draining));
}

} // namespace

TEST_CASE("CommitHolders, merges two lists without losing a process")
{
    // Guards against a list that drops the earlier process of an endpoint, which may alone have had a commit.
    const CommitHolders first { holder("a", 1), holder("b", 2) };
    const CommitHolders second { holder("a", 1, 2), holder("b", 2, 1, true), holder("c", 3) };
    const CommitHolders all { holder("a", 1), holder("a", 1, 2), holder("b", 2, 1, true), holder("c", 3) };
    CHECK(merged(first, second) == all);
    CHECK(merged({}, second) == second);
    CHECK(merged(first, {}) == first);
    CHECK(without(all, first) == CommitHolders { holder("a", 1, 2), holder("c", 3) });
}

TEST_CASE("CommitHolders, covers the registered endpoints only with their present processes")
{
    // Guards against a commit that is acknowledged although the process that has it is not recorded.
    const CommitHolders holders { holder("a", 1), holder("b", 2) };
    CHECK(containsAll(holders, { record("a", 1), record("b", 2) }));
    CHECK(containsAll(holders, { record("b", 7) }));
    CHECK(containsAll(holders, {}));
    CHECK_FALSE(containsAll(holders, { record("a", 1), record("b", 2, 2) }));
    CHECK_FALSE(containsAll(holders, { record("c", 2) }));
    CHECK(containsLater(holdersOf({ record("a", 1, 2) }), holders[0]));
    CHECK_FALSE(containsLater(holders, holders[0]));
    CHECK_FALSE(containsLater(holders, holder("a", 1, 2)));
}

TEST_CASE("CommitHolders, takes an endpoint for the successor of another one only if that one was draining")
{
    // Guards against an endpoint at the address of one that crashed, which is taken for the owner of its log
    // (review/12).
    CHECK_FALSE(successorOf(holder("a", 1), { record("b", 1) }));
    CHECK(successorOf(holder("a", 1, 1, true), { record("b", 1) }) == EndpointId("b"));
    // Its log goes to nobody elsewhere, and to nobody while it is registered itself.
    CHECK_FALSE(successorOf(holder("a", 1, 1, true), { record("b", 2) }));
    CHECK_FALSE(successorOf(holder("a", 1, 1, true), { record("a", 2, 2), record("b", 1) }));
}
