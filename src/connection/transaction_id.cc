#include "connection/transaction_id.h"

#include "base/byte_codec.h"

namespace endivetrestle {

namespace {

// Binary layout: version, key id, database, owner, number, random value, and a tag over the caller and all preceding
// bytes.
constexpr std::uint8_t formatVersion = 1;
constexpr std::size_t maxIdentifierBytes = 255;
// Half of HMAC-SHA-256, the shortest truncation that RFC 2104 recommends.
constexpr std::size_t tagBytes = 16;
constexpr std::size_t maxVarintBytes = 10;
constexpr std::size_t maxIdBytes = 2 + 2 * (maxIdentifierBytes + 1) + 2 * maxVarintBytes + tagBytes;
constexpr std::size_t maxTextLength = (maxIdBytes * 4 + 2) / 3;

std::string authenticationTag(const HmacSha256& key, const CallerId& caller, std::string_view bytes)
{
    // The length prefix keeps the boundary between caller and content unambiguous.
    std::string context = "endivetrestle transaction id";
    appendVarint(context, caller.value.size());
    context.append(caller.value);
    const auto tag = key.sign(context, bytes);
    return { reinterpret_cast<const char*>(tag.data()), tagBytes };
}

} // namespace

TransactionIdCodec::TransactionIdCodec(const HmacKeys& fleetKeys)
    : keyRing(fleetKeys)
{
}

TransactionId TransactionIdCodec::build(const TransactionIdParts& parts, const CallerId& caller) const
{
    if (parts.database.value.size() > maxIdentifierBytes || parts.owner.value.size() > maxIdentifierBytes)
        return {};
    std::string bytes;
    bytes.push_back(static_cast<char>(formatVersion));
    bytes.push_back(static_cast<char>(this->keyRing.signingKeyId()));
    appendShortText(bytes, parts.database.value);
    appendShortText(bytes, parts.owner.value);
    appendVarint(bytes, parts.number);
    appendVarint(bytes, parts.random);
    bytes.append(authenticationTag(this->keyRing.signing(), caller, bytes));
    return TransactionId(toBase64Url(bytes));
}

std::optional<TransactionIdParts> TransactionIdCodec::parse(const TransactionId& id, const CallerId& caller) const
{
    if (id.value.size() > maxTextLength)
        return std::nullopt;
    const auto bytes = fromBase64Url(id.value);
    if (!bytes || bytes->size() < tagBytes + 2 || (*bytes)[0] != static_cast<char>(formatVersion))
        return std::nullopt;
    const auto signedPart = std::string_view(*bytes).substr(0, bytes->size() - tagBytes);
    const auto* key = this->keyRing.find(static_cast<std::uint8_t>((*bytes)[1]));
    if (!key
        || !equalInConstantTime(
            authenticationTag(*key, caller, signedPart), std::string_view(*bytes).substr(signedPart.size())))
        return std::nullopt;
    ByteReader reader(signedPart.substr(2));
    const auto database = reader.shortText();
    const auto owner = reader.shortText();
    const auto number = reader.varint();
    const auto random = reader.varint();
    if (!random || !reader.complete())
        return std::nullopt;
    return TransactionIdParts { DatabaseId(std::string(*database)), DaemonId(std::string(*owner)), *number, *random };
}

} // namespace endivetrestle
