#include "base/byte_codec.h"
#include "base/hmac.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <thread>

using namespace endivetrestle;

namespace {

std::string hexOf(const HmacTag& tag)
{
    std::string text;
    for (const auto byte : tag) {
        text.push_back("0123456789abcdef"[byte >> 4]);
        text.push_back("0123456789abcdef"[byte & 15]);
    }
    return text;
}

} // namespace

// Guards against a reused context that keeps state of the previous text. The tag is from RFC 4231, test case 2.
TEST_CASE("HmacSha256, computes the published tag when its context is reused")
{
    const HmacSha256 hmac("Jefe");
    for (int use = 0; use < 3; ++use)
        CHECK(hexOf(hmac.sign("what do ya want ", "for nothing?"))
            == "5bdcc146bf60754e6a042426089575c75a003f089d2739839dec58b964ec3843");
}

// Guards against two threads that share a context.
TEST_CASE("HmacSha256, computes the same tag when threads sign concurrently")
{
    const HmacSha256 hmac("key");
    const auto expected = hmac.sign("text");
    std::array<int, 4> wrong {};
    std::vector<std::thread> threads;
    for (auto& count : wrong) {
        threads.emplace_back([&] {
            for (int use = 0; use < 2000; ++use)
                count += hmac.sign("text") != expected ? 1 : 0;
        });
    }
    for (auto& thread : threads)
        thread.join();
    CHECK(wrong == std::array<int, 4> {});
}

// Guards against bytes lost at the end of a group and against two accepted texts for the same bytes.
TEST_CASE("Base64Url, accepts exactly one text when bytes are arbitrary")
{
    REQUIRE(rc::check([](const std::string& bytes, const std::string& text) {
        const auto decoded = fromBase64Url(toBase64Url(bytes));
        RC_ASSERT((decoded && *decoded == bytes));
        const auto other = fromBase64Url(text);
        RC_ASSERT((!other || toBase64Url(*other) == text));
    }));
    CHECK_FALSE(fromBase64Url("AB"));
    CHECK(fromBase64Url("AA") == std::string(1, '\0'));
}

// Guards against reads past the end and against a varint of more than 64 bits.
TEST_CASE("ByteReader, reads back integers and refuses those that are too long")
{
    REQUIRE(rc::check([](std::uint64_t value) {
        std::string bytes;
        appendVarint(bytes, value);
        ByteReader reader(bytes);
        RC_ASSERT((reader.varint() == value && reader.complete()));
    }));
    ByteReader tooLarge("\xff\xff\xff\xff\xff\xff\xff\xff\xff\x02");
    CHECK_FALSE(tooLarge.varint());
    CHECK_FALSE(tooLarge.complete());
}
