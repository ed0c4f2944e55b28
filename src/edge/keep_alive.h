#pragma once

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace endivetrestle {

// Probes an idle connection, so that one that went silent without a reset is noticed within four seconds. A failing
// option leaves the kernel's default, with which only the detection is slower.
inline void enableKeepAlive(int socket)
{
    constexpr int on = 1;
    constexpr int idleSeconds = 2;
    constexpr int intervalSeconds = 1;
    constexpr int probes = 2;
    setsockopt(socket, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(int));
    setsockopt(socket, IPPROTO_TCP, TCP_KEEPIDLE, &idleSeconds, sizeof(int));
    setsockopt(socket, IPPROTO_TCP, TCP_KEEPINTVL, &intervalSeconds, sizeof(int));
    setsockopt(socket, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(int));
}

} // namespace endivetrestle
