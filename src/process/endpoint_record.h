#pragma once

#include "base/identifier.h"
#include "base/socket_address.h"

#include <cstdint>

namespace endivetrestle {

// Registry entry in which an endpoint describes itself.
struct EndpointRecord {
    EndpointId id;
    DatabaseId group;
    SocketAddress address;
    DataCentre dataCentre;
    // Number of statements that the endpoint runs concurrently.
    int slots = 1;
    bool draining = false;
    // Whether the endpoint considers itself the primary. May still be set after it was replaced.
    bool claimsPrimary = false;
    // Start of the endpoint's process as Unix time in milliseconds. Distinguishes restarts under the same id.
    std::int64_t processStartMs = 0;

    bool operator==(const EndpointRecord&) const = default;
};

} // namespace endivetrestle
