#pragma once

#include "base/clock.h"
#include "base/hmac.h"
#include "base/identifier.h"
#include "base/outcome.h"
#include "base/position.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace endivetrestle {

// Largest number of databases in a token.
constexpr std::size_t maxTokenDatabases = 16;

// Largest length of a caller or database identifier in a token, in bytes.
constexpr std::size_t maxTokenIdentifierBytes = 255;

// Position of one database that the reads of the session must include.
struct TokenPosition {
    DatabaseId database;
    Position position;

    bool operator==(const TokenPosition&) const = default;
};

// Lower bound for a read of one database.
struct ReadBound {
    Position position;
    // True if the token overflowed and does not list the database: the read must run at a confirmed primary.
    bool requiresPrimary = false;

    bool operator==(const ReadBound&) const = default;
};

// State of a caller's session. The caller passes it from request to request; daemons store no session state.
struct SessionToken {
    CallerId caller;
    // Wall-clock time of the issue in seconds since the epoch. The daemon that answers a request sets it to the current
    // time before encoding, so that a session in use does not expire.
    std::int64_t issuedAt = 0;
    // At most maxTokenDatabases entries, the least recently merged first.
    std::vector<TokenPosition> positions;
    // Whether a database has been dropped. Once set, it stays set for the rest of the session.
    bool overflow = false;

    // Raises the position of a database; a lower position than the listed one changes nothing but the order of use. A
    // new database beyond maxTokenDatabases drops the least recently merged one and sets overflow.
    void merge(const DatabaseId& database, const Position& position);

    // Lower bound for a read of the database.
    [[nodiscard]] ReadBound positionFor(const DatabaseId& database) const;

    bool operator==(const SessionToken&) const = default;
};

// Keys and validity times of session tokens.
struct SessionTokenSettings {
    HmacKeys keys;
    // Seconds after the issue for which a token is accepted.
    std::chrono::seconds lifetime { 24 * 3600 };
    // Seconds by which the issue time may lie in the future, to tolerate clock skew between daemons.
    std::chrono::seconds futureTolerance { 300 };
};

// A token, or the reason for its rejection: TokenMalformed, TokenForged, TokenExpired or TokenForeign.
using DecodedToken = std::variant<SessionToken, ErrorCode>;

// Converts tokens to authenticated URL-safe text and back. All functions may be called from any thread.
//
// Example:
//     SessionTokenCodec codec(settings);
//     auto decoded = codec.decode(header, caller, wallClockSeconds);
//     auto token = std::get<SessionToken>(decoded);
//     token.merge(database, outcome.position);
//     token.issuedAt = wallClockSeconds;
//     auto text = codec.encode(token);
class SessionTokenCodec {
public:
    explicit SessionTokenCodec(const SessionTokenSettings& settings);

    // Text of a token, signed with the signing key. Returns an empty text for a token that cannot be represented: more
    // than maxTokenDatabases databases, an identifier above maxTokenIdentifierBytes or a negative issue time.
    [[nodiscard]] std::string encode(const SessionToken& token) const;

    // Checks, in this order: the format (TokenMalformed), the key and the tag (TokenForged), the caller (TokenForeign),
    // an issue too far in the future (TokenMalformed) and the age (TokenExpired). now is in seconds since the epoch.
    [[nodiscard]] DecodedToken decode(std::string_view text, const CallerId& caller, std::int64_t now) const;

private:
    SessionTokenSettings settings;
    HmacKeyRing keyRing;
};

} // namespace endivetrestle
