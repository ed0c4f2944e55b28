#include "connection/transaction_id.h"

#include "base/byte_codec.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace endivetrestle;

namespace {

const HmacKeys fleetKeys { { 7, "secret of the fleet" }, {} };
const CallerId shop("shop");
const TransactionIdParts sample { DatabaseId("orders"), DaemonId("daemon-1"), 42, 0xfedcba9876543210 };

} // namespace

// Guards against ids that name another owner or transaction than they were built for.
TEST_CASE("TransactionId, round-trips when values are arbitrary")
{
    const TransactionIdCodec codec(fleetKeys);
    REQUIRE(rc::check([&](const std::string& database, const std::string& owner, std::uint64_t number,
                          std::uint64_t random, const std::string& caller) {
        const TransactionIdParts parts { DatabaseId(database), DaemonId(owner), number, random };
        RC_ASSERT((codec.parse(codec.build(parts, CallerId(caller)), CallerId(caller)) == parts));
    }));
}

// Guards against a caller that uses or invents another caller's transaction (I3).
TEST_CASE("TransactionId, is not accepted when it is another caller's, changed or under another key")
{
    const TransactionIdCodec codec(fleetKeys);
    const auto id = codec.build(sample, shop);
    CHECK(codec.parse(id, shop) == sample);
    CHECK_FALSE(codec.parse(id, CallerId("other")));
    CHECK_FALSE(codec.parse(id, CallerId("shop\x01")));
    int accepted = 0;
    for (std::size_t place = 0; place < id.value.size(); ++place) {
        for (int value = 0; value < 256; ++value) {
            auto changed = id;
            changed.value[place] = static_cast<char>(value);
            accepted += changed != id && codec.parse(changed, shop) ? 1 : 0;
        }
    }
    CHECK(accepted == 0);
    const HmacKey next { 8, "next secret of the fleet" };
    CHECK(TransactionIdCodec({ next, { fleetKeys.signing } }).parse(id, shop) == sample);
    CHECK_FALSE(TransactionIdCodec({ next, {} }).parse(id, shop));
}

// Guards against a crash on input from outside.
TEST_CASE("TransactionId, is not accepted when the text is arbitrary")
{
    const TransactionIdCodec codec(fleetKeys);
    REQUIRE(rc::check([&](const std::string& text) {
        RC_ASSERT((!codec.parse(TransactionId(text), shop)));
        RC_ASSERT((!codec.parse(TransactionId(toBase64Url("\x01\x07" + text)), shop)));
    }));
}
