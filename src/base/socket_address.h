#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace endivetrestle {

// IP address and TCP port. Names are never resolved.
struct SocketAddress {
    // IPv4 or IPv6 address without brackets.
    std::string ip;
    std::uint16_t port = 0;

    // clang-tidy 14 takes the zero in the code that the compiler generates for a null pointer.
    auto operator<=>(const SocketAddress&) const = default; // NOLINT(modernize-use-nullptr)
};

// Whether the text is an IPv4 or IPv6 address.
bool isIpAddress(const std::string& text);

// Parses "10.0.0.1:7000" or "[::1]:7000". Returns no value for names, missing ports and port 0.
std::optional<SocketAddress> parseSocketAddress(std::string_view text);

// Inverse of parseSocketAddress().
std::string toString(const SocketAddress& address);

} // namespace endivetrestle
