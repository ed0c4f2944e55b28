#pragma once

#include <array>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace endivetrestle {

// Tag of HMAC-SHA-256.
using HmacTag = std::array<unsigned char, 32>;

// HMAC-SHA-256 under one fixed key. All functions may be called from any thread: keyed OpenSSL contexts are kept in
// free lists and each is used by one call at a time, which avoids deriving the key's inner and outer state per call.
//
// Example:
//     HmacSha256 hmac("secret");
//     auto tag = hmac.sign("text");
//     bool same = equalInConstantTime(tag, otherTag);
class HmacSha256 {
public:
    explicit HmacSha256(std::string_view key);
    ~HmacSha256();
    HmacSha256(const HmacSha256&) = delete;
    HmacSha256& operator=(const HmacSha256&) = delete;

    // Computes the tag of first followed by second. Passing two parts saves the caller a concatenation.
    [[nodiscard]] HmacTag sign(std::string_view first, std::string_view second = {}) const;

private:
    struct Context;

    // Free list shared by the threads that hash to it. With a single list, threads that sign concurrently would contend
    // for its lock.
    struct alignas(64) Shard {
        std::mutex mutex;
        std::vector<std::unique_ptr<Context>> idleContexts;
    };

    [[nodiscard]] Shard& shardOfThread() const;
    [[nodiscard]] std::unique_ptr<Context> acquireContext(Shard& shard) const;
    static void releaseContext(Shard& shard, std::unique_ptr<Context> context);

    std::string key;
    mutable std::array<Shard, 16> shards;
};

// Compares in a time that does not depend on where the values differ. Values of different length are unequal.
bool equalInConstantTime(std::string_view first, std::string_view second);

// A secret and the id by which signed texts refer to it.
struct HmacKey {
    std::uint8_t id = 0;
    // At least 16 bytes of random data.
    std::string secret;

    bool operator==(const HmacKey&) const = default;
};

// Keys of one purpose. Texts are signed with the signing key; the accepted keys verify older texts while keys are being
// replaced. Adding the signing key to the accepted keys is not necessary.
struct HmacKeys {
    HmacKey signing;
    std::vector<HmacKey> accepted;

    bool operator==(const HmacKeys&) const = default;
};

// Signs and verifies under HmacKeys. Thread-safe like HmacSha256.
class HmacKeyRing {
public:
    explicit HmacKeyRing(const HmacKeys& keys);

    [[nodiscard]] std::uint8_t signingKeyId() const { return this->signingId; }
    // HMAC of the signing key.
    [[nodiscard]] const HmacSha256& signing() const { return *this->byId[this->signingId]; }
    // HMAC of the key with the given id, or nullptr if no such key is accepted.
    [[nodiscard]] const HmacSha256* find(std::uint8_t id) const { return this->byId[id].get(); }

private:
    std::uint8_t signingId;
    std::array<std::unique_ptr<HmacSha256>, 256> byId;
};

} // namespace endivetrestle
