#pragma once

#include "base/clock.h"
#include "base/identifier.h"
#include "base/socket_address.h"

#include <cstdint>
#include <string>
#include <vector>

namespace endivetrestle {

// Settings of a session proxy: where it listens and whom it reaches. Filled by the parse function of the settings
// format in use.
struct ProxySettings {
    DaemonId daemon;
    DataCentre dataCentre;
    Region region;
    // Where clients connect.
    SocketAddress clientAddress;
    // Where the load balancer asks whether this daemon takes new connections.
    SocketAddress readinessAddress;
    // Where other daemons reach this one.
    SocketAddress peerAddress;
    // Where other daemons forward statements to this one.
    SocketAddress forwardAddress;
    // The addresses that other daemons are told, if they are not those on which this one listens.
    SocketAddress advertisedPeerAddress;
    SocketAddress advertisedForwardAddress;
    SocketAddress storeAddress;
    // Service that executes promotions.
    SocketAddress promotionAddress;
    // Peer addresses of other daemons that may be outdated.
    std::vector<SocketAddress> seeds;
    // Whether the whole fleet starts for the first time, so that no other daemon can be known yet.
    bool firstStart = false;
    // Time between the stop signal and the forced end of the process.
    Duration stopGrace = std::chrono::seconds(6);
    // Descriptors that the process may open.
    int descriptorLimit = 4096;
    int memoryLimitMb = 256;
    // Port of the metrics page on the daemon's address.
    std::uint16_t metricsPort = 9464;

    bool operator==(const ProxySettings&) const = default;
};

} // namespace endivetrestle
