#include "process/known_claims.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <set>
#include <vector>

using namespace endivetrestle;

TEST_CASE("KnownClaims, is complete up to a claim that follows directly")
{
    KnownClaims claims;
    claims.addAllUpTo({ 1, 10 });
    claims.add({ 1, 14 }, { 1, 10 });
    CHECK(claims.completeUpTo() == StoreVersion { 1, 14 });
    CHECK(claims.newest() == StoreVersion { 1, 14 });
}

// Guards against a daemon that takes the newest claim that it has heard of for a proof that it knows the earlier ones.
TEST_CASE("KnownClaims, is not complete beyond a missing claim")
{
    KnownClaims claims;
    claims.addAllUpTo({ 1, 10 });
    claims.add({ 1, 20 }, { 1, 14 });
    CHECK(claims.completeUpTo() == StoreVersion { 1, 10 });
    CHECK(claims.newest() == StoreVersion { 1, 20 });
    claims.add({ 1, 14 }, { 1, 10 });
    CHECK(claims.completeUpTo() == StoreVersion { 1, 20 });
}

// Guards against a claim of an earlier release, which names no epoch before it and is taken for the next one.
TEST_CASE("KnownClaims, does not take a claim for the next one when the epoch before it is the claim itself")
{
    KnownClaims claims;
    claims.addAllUpTo({ 1, 10 });
    claims.add({ 1, 14 }, { 1, 14 });
    CHECK(claims.completeUpTo() == StoreVersion { 1, 10 });
}

TEST_CASE("KnownClaims, is complete exactly up to the first claim that it has not heard of")
{
    rc::prop("any order, some claims missing", [] {
        const auto count = *rc::gen::inRange<std::size_t>(1, 12);
        std::vector<std::uint64_t> versions { 0 };
        while (versions.size() <= count)
            versions.push_back(versions.back() + *rc::gen::inRange<std::uint64_t>(1, 9));
        const auto heard = *rc::gen::container<std::vector<std::size_t>>(rc::gen::inRange<std::size_t>(1, count + 1));
        KnownClaims claims;
        claims.addAllUpTo({ 1, 0 });
        for (const auto index : heard)
            claims.add({ 1, versions[index] }, { 1, versions[index - 1] });
        const std::set<std::size_t> known(heard.begin(), heard.end());
        std::size_t complete = 0;
        while (known.count(complete + 1) != 0)
            ++complete;
        RC_ASSERT(claims.completeUpTo().number == versions[complete]);
        RC_ASSERT(claims.newest().number == (known.empty() ? 0 : versions[*known.rbegin()]));
    });
}
