#include "base/socket_address.h"

#include <arpa/inet.h>

#include <array>
#include <charconv>

namespace endivetrestle {

namespace {

bool isIpOf(int family, const std::string& text)
{
    std::array<unsigned char, sizeof(in6_addr)> bytes {};
    return inet_pton(family, text.c_str(), bytes.data()) == 1;
}

} // namespace

bool isIpAddress(const std::string& text)
{
    if (text.find('\0') != std::string::npos)
        return false;
    return isIpOf(AF_INET, text) || isIpOf(AF_INET6, text);
}

std::optional<SocketAddress> parseSocketAddress(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    auto host = text.substr(0, colon);
    const auto digits = text.substr(colon + 1);
    const bool bracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (bracketed)
        host = host.substr(1, host.size() - 2);
    SocketAddress address { std::string(host), 0 };
    const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), address.port);
    const bool wholePort = parsed.ec == std::errc() && parsed.ptr == digits.data() + digits.size();
    const bool isVersion6 = address.ip.find(':') != std::string::npos;
    if (!wholePort || address.port == 0 || bracketed != isVersion6 || !isIpAddress(address.ip))
        return std::nullopt;
    return address;
}

std::string toString(const SocketAddress& address)
{
    const bool isVersion6 = address.ip.find(':') != std::string::npos;
    const auto host = isVersion6 ? "[" + address.ip + "]" : address.ip;
    return host + ":" + std::to_string(address.port);
}

} // namespace endivetrestle
