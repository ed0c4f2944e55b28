#include "base/hmac.h"

#include <openssl/core_names.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/params.h>

#include <cstdlib>
#include <functional>
#include <thread>
#include <utility>

namespace endivetrestle {

namespace {

// A failure of HMAC-SHA-256 means that the library is unusable. Continuing would accept or issue unauthenticated texts.
void abortUnless(bool succeeded)
{
    if (!succeeded)
        std::abort();
}

const unsigned char* bytesOf(std::string_view text) { return reinterpret_cast<const unsigned char*>(text.data()); }

} // namespace

struct HmacSha256::Context {
    explicit Context(std::string_view key)
    {
        auto* algorithm = EVP_MAC_fetch(nullptr, OSSL_MAC_NAME_HMAC, nullptr);
        abortUnless(algorithm);
        this->context = EVP_MAC_CTX_new(algorithm);
        EVP_MAC_free(algorithm);
        abortUnless(this->context);
        std::string digest = "SHA256";
        const std::array parameters { OSSL_PARAM_construct_utf8_string(OSSL_MAC_PARAM_DIGEST, digest.data(), 0),
            OSSL_PARAM_construct_end() };
        // An empty key must still be passed as a key: a null pointer would keep the previous key.
        abortUnless(EVP_MAC_init(this->context, bytesOf(key.empty() ? "" : key), key.size(), parameters.data()) == 1);
    }
    ~Context() { EVP_MAC_CTX_free(this->context); }
    Context(const Context&) = delete;
    Context& operator=(const Context&) = delete;

    EVP_MAC_CTX* context = nullptr;
    // Whether the context is in the state derived from the key, without any text added.
    bool keyStateReady = true;
};

HmacSha256::HmacSha256(std::string_view key)
    : key(key)
{
}

HmacSha256::~HmacSha256() = default;

HmacSha256::Shard& HmacSha256::shardOfThread() const
{
    static thread_local const auto hash = std::hash<std::thread::id>()(std::this_thread::get_id());
    return this->shards[hash % this->shards.size()];
}

std::unique_ptr<HmacSha256::Context> HmacSha256::acquireContext(Shard& shard) const
{
    {
        std::lock_guard lock(shard.mutex);
        if (!shard.idleContexts.empty()) {
            auto context = std::move(shard.idleContexts.back());
            shard.idleContexts.pop_back();
            return context;
        }
    }
    return std::make_unique<Context>(this->key);
}

void HmacSha256::releaseContext(Shard& shard, std::unique_ptr<Context> context)
{
    std::lock_guard lock(shard.mutex);
    shard.idleContexts.push_back(std::move(context));
}

HmacTag HmacSha256::sign(std::string_view first, std::string_view second) const
{
    auto& shard = this->shardOfThread();
    auto context = this->acquireContext(shard);
    // Initialising without a key returns to the state that was derived from the key.
    if (!std::exchange(context->keyStateReady, false))
        abortUnless(EVP_MAC_init(context->context, nullptr, 0, nullptr) == 1);
    HmacTag tag;
    std::size_t length = 0;
    abortUnless(EVP_MAC_update(context->context, bytesOf(first), first.size()) == 1);
    abortUnless(EVP_MAC_update(context->context, bytesOf(second), second.size()) == 1);
    abortUnless(EVP_MAC_final(context->context, tag.data(), &length, tag.size()) == 1 && length == tag.size());
    releaseContext(shard, std::move(context));
    return tag;
}

bool equalInConstantTime(std::string_view first, std::string_view second)
{
    return first.size() == second.size() && CRYPTO_memcmp(first.data(), second.data(), first.size()) == 0;
}

HmacKeyRing::HmacKeyRing(const HmacKeys& keys)
    : signingId(keys.signing.id)
{
    for (const auto& key : keys.accepted)
        this->byId[key.id] = std::make_unique<HmacSha256>(key.secret);
    this->byId[keys.signing.id] = std::make_unique<HmacSha256>(keys.signing.secret);
}

} // namespace endivetrestle
