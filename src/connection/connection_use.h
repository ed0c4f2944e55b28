#pragma once

#include "base/identifier.h"

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>

namespace endivetrestle {

// Identifies a connection of an EndpointPool to an endpoint. A pool never reuses a number.
struct PoolConnectionId {
    std::uint64_t value = 0;

    auto operator<=>(const PoolConnectionId&) const = default;
};

inline std::ostream& operator<<(std::ostream& stream, const PoolConnectionId& connection)
{
    return stream << connection.value;
}

// One use of a connection: a checkout, a pin or one statement on a pinned connection. Any two uses of a connection have
// different generations, so that a late answer to an earlier use is never accepted for a later one.
struct ConnectionUse {
    PoolConnectionId connection;
    std::uint64_t generation = 0;
    EndpointId endpoint;

    auto operator<=>(const ConnectionUse&) const = default;
};

} // namespace endivetrestle

template <> struct std::hash<endivetrestle::PoolConnectionId> {
    std::size_t operator()(const endivetrestle::PoolConnectionId& connection) const noexcept
    {
        return std::hash<std::uint64_t>()(connection.value);
    }
};
