#include "request/session_token.h"

#include "base/byte_codec.h"

#include <algorithm>
#include <limits>
#include <optional>

namespace endivetrestle {

namespace {

// Layout of the bytes: version, key id, flags, issue time, caller, number of databases, then per database its
// identifier, term and index, and at the end the tag of everything before it.
constexpr std::uint8_t formatVersion = 1;
constexpr std::uint8_t overflowFlag = 1;

// Half of HMAC-SHA-256, the shortest truncation that RFC 2104 recommends. It keeps the header short.
constexpr std::size_t tagBytes = 16;

// Largest encoding of an acceptable token: header, caller and 16 databases with identifiers of 255 bytes. Longer texts
// are refused before they are decoded.
constexpr std::size_t maxTokenBytes = 3 + 10 + 256 + 1 + maxTokenDatabases * (256 + 20) + tagBytes;
constexpr std::size_t maxTextLength = (maxTokenBytes * 4 + 2) / 3;

// Signed before the content, so that a tag made for another use of the same secret is not valid here (domain
// separation).
constexpr std::string_view purpose = "endivetrestle session token";

std::string_view textOf(const HmacTag& tag) { return { reinterpret_cast<const char*>(tag.data()), tagBytes }; }

std::optional<SessionToken> parseToken(std::string_view bytes)
{
    ByteReader reader(bytes);
    SessionToken token;
    reader.byte(); // Version, checked before.
    reader.byte(); // Key id, checked before.
    const auto flags = reader.byte();
    const auto issuedAt = reader.varint();
    const auto caller = reader.shortText();
    const auto count = reader.byte();
    if (!count || *count > maxTokenDatabases || (*flags & ~overflowFlag) != 0
        || *issuedAt > std::numeric_limits<std::int64_t>::max())
        return std::nullopt;
    token.overflow = (*flags & overflowFlag) != 0;
    token.issuedAt = static_cast<std::int64_t>(*issuedAt);
    token.caller = CallerId(std::string(*caller));
    token.positions.reserve(*count);
    for (int entry = 0; entry < *count; ++entry) {
        const auto database = reader.shortText();
        const auto term = reader.varint();
        const auto index = reader.varint();
        if (!index)
            return std::nullopt;
        token.positions.push_back({ DatabaseId(std::string(*database)), { *term, *index } });
    }
    return reader.complete() ? std::optional(std::move(token)) : std::nullopt;
}

} // namespace

void SessionToken::merge(const DatabaseId& database, const Position& position)
{
    const auto found = std::find_if(
        this->positions.begin(), this->positions.end(), [&](const auto& entry) { return entry.database == database; });
    if (found != this->positions.end()) {
        found->position = std::max(found->position, position);
        std::rotate(found, found + 1, this->positions.end());
        return;
    }
    if (this->positions.size() >= maxTokenDatabases) {
        this->positions.erase(this->positions.begin());
        this->overflow = true;
    }
    this->positions.push_back({ database, position });
}

ReadBound SessionToken::positionFor(const DatabaseId& database) const
{
    for (const auto& entry : this->positions) {
        if (entry.database == database)
            return { entry.position, false };
    }
    return { Position(), this->overflow };
}

SessionTokenCodec::SessionTokenCodec(const SessionTokenSettings& settings)
    : settings(settings)
    , keyRing(settings.keys)
{
}

std::string SessionTokenCodec::encode(const SessionToken& token) const
{
    const auto tooLong = [](const auto& identifier) { return identifier.value.size() > maxTokenIdentifierBytes; };
    if (token.positions.size() > maxTokenDatabases || token.issuedAt < 0 || tooLong(token.caller))
        return {};
    std::string bytes;
    bytes.reserve(64 + token.caller.value.size() + token.positions.size() * 32);
    bytes.push_back(static_cast<char>(formatVersion));
    bytes.push_back(static_cast<char>(this->keyRing.signingKeyId()));
    bytes.push_back(static_cast<char>(token.overflow ? overflowFlag : 0));
    appendVarint(bytes, static_cast<std::uint64_t>(token.issuedAt));
    appendShortText(bytes, token.caller.value);
    bytes.push_back(static_cast<char>(token.positions.size()));
    for (const auto& entry : token.positions) {
        if (tooLong(entry.database))
            return {};
        appendShortText(bytes, entry.database.value);
        appendVarint(bytes, entry.position.term);
        appendVarint(bytes, entry.position.index);
    }
    bytes.append(textOf(this->keyRing.signing().sign(purpose, bytes)));
    return toBase64Url(bytes);
}

DecodedToken SessionTokenCodec::decode(std::string_view text, const CallerId& caller, std::int64_t now) const
{
    if (text.size() > maxTextLength)
        return ErrorCode::TokenMalformed;
    const auto bytes = fromBase64Url(text);
    constexpr std::size_t headerBytes = 2;
    if (!bytes || bytes->size() < headerBytes + tagBytes || (*bytes)[0] != static_cast<char>(formatVersion))
        return ErrorCode::TokenMalformed;
    const auto signedPart = std::string_view(*bytes).substr(0, bytes->size() - tagBytes);
    const auto tag = std::string_view(*bytes).substr(signedPart.size());
    const auto* key = this->keyRing.find(static_cast<std::uint8_t>((*bytes)[1]));
    if (!key || !equalInConstantTime(textOf(key->sign(purpose, signedPart)), tag))
        return ErrorCode::TokenForged;
    auto token = parseToken(signedPart);
    if (!token)
        return ErrorCode::TokenMalformed;
    if (token->caller != caller)
        return ErrorCode::TokenForeign;
    // Compared as differences of non-negative values, which cannot overflow.
    if (token->issuedAt > now
        && token->issuedAt - std::max<std::int64_t>(now, 0) > this->settings.futureTolerance.count())
        return ErrorCode::TokenMalformed;
    if (now > token->issuedAt && now - token->issuedAt > this->settings.lifetime.count())
        return ErrorCode::TokenExpired;
    return std::move(*token);
}

} // namespace endivetrestle
