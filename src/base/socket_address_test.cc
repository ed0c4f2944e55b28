#include "base/socket_address.h"

#include <catch2/catch.hpp>

using namespace endivetrestle;

// Guards against host names, which would need a resolver, and against ports that wrap around.
TEST_CASE("SocketAddress, rejects text when it is not an IP address with a port")
{
    for (const auto* text : { "", "1.2.3.4", "1.2.3.4:", "1.2.3.4:0", "1.2.3.4:65536", "localhost:80", "1.2.3:80",
             "::1:80", "[1.2.3.4]:80", "1.2.3.4:80x", "[::1]", "1.2.3.4:-1", ":80" }) {
        CAPTURE(text);
        CHECK_FALSE(parseSocketAddress(text));
    }
}

// Guards against IPv6 addresses that cannot be parsed back.
TEST_CASE("SocketAddress, parses its own text form")
{
    for (const auto* text : { "10.0.0.1:7000", "[::1]:65535" }) {
        CAPTURE(text);
        REQUIRE(parseSocketAddress(text));
        CHECK(toString(*parseSocketAddress(text)) == text);
    }
}
