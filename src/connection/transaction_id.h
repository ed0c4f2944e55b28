#pragma once

#include "base/hmac.h"
#include "base/identifier.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace endivetrestle {

// Values that a transaction id encodes.
struct TransactionIdParts {
    DatabaseId database;
    // The daemon that holds the transaction.
    DaemonId owner;
    // Number of the transaction at the owner.
    std::uint64_t number = 0;
    // Random value that tells the transactions of an owner from those before its last restart.
    std::uint64_t random = 0;

    bool operator==(const TransactionIdParts&) const = default;
};

// Builds and verifies transaction ids. The text is URL-safe. Its authentication tag covers the caller and is made with
// the fleet key, so that any daemon can find the owner and no caller can use another caller's transaction (I3).
// Thread-safe.
class TransactionIdCodec {
public:
    explicit TransactionIdCodec(const HmacKeys& fleetKeys);

    // Empty if the database or owner is longer than 255 bytes.
    [[nodiscard]] TransactionId build(const TransactionIdParts& parts, const CallerId& caller) const;

    // Returns no value if the text is malformed, forged or belongs to another caller. Callers get UnknownTransaction in
    // all three cases, so that they learn nothing about the transactions of others.
    [[nodiscard]] std::optional<TransactionIdParts> parse(const TransactionId& id, const CallerId& caller) const;

private:
    HmacKeyRing keyRing;
};

} // namespace endivetrestle
