#include "request/session_token.h"

#include "base/byte_codec.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace endivetrestle;

namespace {

const HmacKey oldKey { 1, "secret of the old key" };
const HmacKey newKey { 2, "secret of the new key" };
const CallerId shop("shop");
constexpr std::int64_t noon = 1'800'000'000;

SessionToken sampleToken()
{
    return { shop, noon, { { DatabaseId("orders"), { 3, 70000 } }, { DatabaseId("stock"), { 1, 2 } } }, false };
}

ErrorCode errorOf(const DecodedToken& decoded)
{
    const auto* code = std::get_if<ErrorCode>(&decoded);
    return code ? *code : ErrorCode::None;
}

} // namespace

// Guards against values that encoding and decoding change.
TEST_CASE("SessionToken, round-trips when values are arbitrary")
{
    const SessionTokenCodec codec({ .keys = { newKey, { oldKey } } });
    REQUIRE(rc::check(
        [&](const std::string& caller, const std::map<std::string, std::pair<std::uint64_t, std::uint64_t>>& entries) {
            SessionToken token { CallerId(caller), *rc::gen::inRange<std::int64_t>(noon, noon + 200), {},
                *rc::gen::arbitrary<bool>() };
            for (const auto& [database, position] : entries) {
                if (token.positions.size() < maxTokenDatabases)
                    token.positions.push_back({ DatabaseId(database), { position.first, position.second } });
            }
            const auto decoded = codec.decode(codec.encode(token), token.caller, noon + 100);
            RC_ASSERT(errorOf(decoded) == ErrorCode::None);
            RC_ASSERT((std::get<SessionToken>(decoded) == token));
        }));
}

// Guards against a token that is accepted although a caller changed it.
TEST_CASE("SessionToken, is rejected when any byte of its text or any bit of its content differs")
{
    const SessionTokenCodec codec({ .keys = { newKey, { oldKey } } });
    const auto text = codec.encode(sampleToken());
    REQUIRE(errorOf(codec.decode(text, shop, noon)) == ErrorCode::None);
    int accepted = 0;
    for (std::size_t place = 0; place < text.size(); ++place) {
        for (int value = 0; value < 256; ++value) {
            auto changed = text;
            changed[place] = static_cast<char>(value);
            if (changed != text)
                accepted += errorOf(codec.decode(changed, shop, noon)) == ErrorCode::None ? 1 : 0;
        }
    }
    CHECK(accepted == 0);
    for (const auto& shorter : { text.substr(1), text.substr(0, text.size() - 1), text + "A" })
        CHECK(errorOf(codec.decode(shorter, shop, noon)) != ErrorCode::None);
    auto bytes = *fromBase64Url(text);
    bytes[10] = static_cast<char>(bytes[10] ^ 1);
    CHECK(errorOf(codec.decode(toBase64Url(bytes), shop, noon)) == ErrorCode::TokenForged);
}

// Guards against a crash or an accepted token when the input is untrusted.
TEST_CASE("SessionToken, is rejected when the text is arbitrary")
{
    const SessionTokenCodec codec({ .keys = { newKey, {} } });
    REQUIRE(rc::check([&](const std::string& text) {
        RC_ASSERT(errorOf(codec.decode(text, shop, noon)) != ErrorCode::None);
        const auto framed = toBase64Url("\x01\x02" + text);
        RC_ASSERT(errorOf(codec.decode(framed, shop, noon)) != ErrorCode::None);
    }));
    CHECK(errorOf(codec.decode(std::string(1 << 20, 'A'), shop, noon)) == ErrorCode::TokenMalformed);
}

// Guards against a crash in the parser, which only authenticated bytes reach, when another program has the key.
TEST_CASE("SessionToken, is rejected when authenticated content is arbitrary")
{
    const SessionTokenCodec codec({ .keys = { newKey, {} } });
    const HmacSha256 hmac(newKey.secret);
    REQUIRE(rc::check([&](const std::string& content) {
        const auto bytes = "\x01\x02" + content;
        const auto tag = hmac.sign("endivetrestle session token", bytes);
        const auto text = toBase64Url(bytes + std::string(reinterpret_cast<const char*>(tag.data()), 16));
        const auto decoded = codec.decode(text, shop, noon);
        RC_ASSERT(errorOf(decoded) != ErrorCode::None);
        RC_ASSERT(errorOf(decoded) != ErrorCode::TokenForged);
    }));
}

// Guards against error codes from which the caller cannot tell the cause.
TEST_CASE("SessionToken, gets a distinct error when it is foreign, expired, from the future or under an unknown key")
{
    const SessionTokenCodec codec({ .keys = { newKey, { oldKey } } });
    const auto text = codec.encode(sampleToken());
    CHECK(errorOf(codec.decode(text, CallerId("other"), noon)) == ErrorCode::TokenForeign);
    CHECK(errorOf(codec.decode(text, shop, noon + 24L * 3600)) == ErrorCode::None);
    CHECK(errorOf(codec.decode(text, shop, noon + 24L * 3600 + 1)) == ErrorCode::TokenExpired);
    CHECK(errorOf(codec.decode(text, shop, noon - 300)) == ErrorCode::None);
    CHECK(errorOf(codec.decode(text, shop, noon - 301)) == ErrorCode::TokenMalformed);
    CHECK(errorOf(codec.decode("", shop, noon)) == ErrorCode::TokenMalformed);
    const SessionTokenCodec earlier({ .keys = { oldKey, {} } });
    CHECK(errorOf(codec.decode(earlier.encode(sampleToken()), shop, noon)) == ErrorCode::None);
    CHECK(errorOf(earlier.decode(text, shop, noon)) == ErrorCode::TokenForged);
}

// Guards against a session that misses its own write because a late answer lowers the position (I1).
TEST_CASE("SessionToken, keeps the highest position when positions are merged in any order")
{
    REQUIRE(rc::check([](const std::vector<std::pair<std::uint8_t, std::uint8_t>>& merges) {
        SessionToken token;
        std::map<DatabaseId, Position> highest;
        for (const auto& [term, index] : merges) {
            const DatabaseId database(std::to_string(index % 3));
            token.merge(database, { term, index });
            highest[database] = std::max(highest[database], Position { term, index });
        }
        for (const auto& [database, position] : highest)
            RC_ASSERT((token.positionFor(database) == ReadBound { position, false }));
        RC_ASSERT(!token.overflow);
    }));
}

// Guards against a stale read of a database that the token had to drop (I1).
TEST_CASE("SessionToken, requires the primary for unlisted databases when it has overflowed")
{
    SessionToken token;
    for (int number = 0; number < 16; ++number)
        token.merge(DatabaseId(std::to_string(number)), { 1, 5 });
    CHECK(token.positionFor(DatabaseId("16")) == ReadBound {});
    token.merge(DatabaseId("0"), { 1, 4 });
    token.merge(DatabaseId("16"), { 1, 6 });
    CHECK(token.overflow);
    CHECK(token.positions.size() == 16);
    CHECK(token.positionFor(DatabaseId("0")) == ReadBound { { 1, 5 }, false });
    CHECK(token.positionFor(DatabaseId("1")) == ReadBound { {}, true });
}
