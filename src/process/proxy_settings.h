#pragma once

#include "base/clock.h"
#include "base/identifier.h"
#include "base/socket_address.h"

#include <cstdint>
#include <string>
#include <vector>

namespace endivetrestle {

// Bounds that the quota of each workspace keeps over all daemons: in any window, at most
// (rate * window + burst) * (1 + overage) + slack operations run.
struct QuotaBounds {
    Duration window = std::chrono::seconds(5);
    double overage = 0;
    double slack = 0;

    bool operator==(const QuotaBounds&) const = default;
};

// Settings of a session proxy: its addresses, those of the services it uses, and its resource limits. Filled by the
// parser of the settings file format in use.
struct ProxySettings {
    DaemonId daemon;
    DataCentre dataCentre;
    Region region;
    // Address on which clients connect.
    SocketAddress clientAddress;
    // Address of the readiness check, with which the load balancer finds out whether this daemon accepts connections.
    SocketAddress readinessAddress;
    // Address for calls of other daemons.
    SocketAddress peerAddress;
    // Address to which other daemons forward statements.
    SocketAddress forwardAddress;
    // Addresses announced to other daemons, if they differ from those on which this daemon listens.
    SocketAddress advertisedPeerAddress;
    SocketAddress advertisedForwardAddress;
    SocketAddress storeAddress;
    // Address of the service that executes promotions.
    SocketAddress promotionAddress;
    // Peer addresses of other daemons. Some may be outdated.
    std::vector<SocketAddress> seeds;
    // Whether the whole fleet starts for the first time, so that no other daemon is known yet.
    bool firstStart = false;
    // Time between the stop signal and the forced termination of the process.
    Duration stopGrace = std::chrono::seconds(6);
    // Maximum number of open file descriptors of the process.
    int descriptorLimit = 4096;
    int memoryLimitMb = 256;
    // Processor share of the host in cores, and bandwidth of its network link.
    double processorShare = 1;
    double linkMbps = 1000;
    // Whether clients need a key although the configuration declares no workspaces.
    bool requiresWorkspaces = false;
    // Whether nothing that needs a key may run while the configuration is not known to be recent.
    bool failClosed = false;
    // Time after its acknowledgement from which a configuration that takes keys away must be obeyed, if failClosed is
    // set.
    Duration revocationLimit = std::chrono::seconds(5);
    QuotaBounds quotaBounds;
    // Port on the daemon's address that serves the metrics.
    std::uint16_t metricsPort = 9464;

    bool operator==(const ProxySettings&) const = default;
};

} // namespace endivetrestle
