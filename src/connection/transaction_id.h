#pragma once

#include "base/hmac.h"
#include "base/identifier.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace endivetrestle {

// What the text of a transaction id says.
struct TransactionIdParts {
    DatabaseId database;
    // The daemon that holds the transaction.
    DaemonId owner;
    // Number of the transaction at the owner.
    std::uint64_t number = 0;
    // Random value that tells the transactions of an owner apart from those of its earlier runs.
    std::uint64_t random = 0;

    bool operator==(const TransactionIdParts&) const = default;
};

// Builds and verifies transaction ids. The text is URL-safe and authenticated with the fleet key together with the
// caller, so that any daemon can find the owner and no caller can use another caller's transaction (I3). All functions
// may be called from any thread.
class TransactionIdCodec {
public:
    explicit TransactionIdCodec(const HmacKeys& fleetKeys);

    // Empty if the database or owner is longer than 255 bytes.
    [[nodiscard]] TransactionId build(const TransactionIdParts& parts, const CallerId& caller) const;

    // No value if the text is malformed, forged or belongs to another caller. The three are not told apart, so that a
    // caller learns nothing about other callers' transactions; the error for all is UnknownTransaction.
    [[nodiscard]] std::optional<TransactionIdParts> parse(const TransactionId& id, const CallerId& caller) const;

private:
    HmacKeyRing keyRing;
};

} // namespace endivetrestle
