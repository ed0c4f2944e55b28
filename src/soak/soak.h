#pragma once

#include "soak/soak_client.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace endivetrestle::soak {

// Which faults a soak injects.
enum class SoakScenario {
    // All kinds, at random times.
    Mixed,
    // One daemon at a time is cut off from the store and all other daemons, while primaries are released.
    CutDaemon,
    // Some daemons lose the store or their watches, and then primaries are released, so that daemons have lists of
    // endpoints of different age.
    OldLists,
    // Primaries are replaced while the store loses what it has acknowledged and comes back from a copy.
    Restored,
    // Endpoints send a share of their answers twice all the while; all other kinds of faults occur less often.
    RepeatedAnswers,
    // The primary of a group with synchronous replicas is lost together with a replica, at times with all daemons, and
    // a route moves between groups whose replicas are late.
    LostHolders,
};

struct SoakSettings {
    std::uint64_t seed = 1;
    SoakScenario scenario = SoakScenario::Mixed;
    int seconds = 20;
    int daemons = 4;
    // Groups with asynchronous replicas.
    int groups = 2;
    int clients = 24;
    // Connections that an endpoint accepts. Below twice the number of daemons, statements are forwarded to owners.
    int connections = 32;
    // Directory for settings files and logs of the daemons. It must exist.
    std::string directory;
    // Program that is started as daemon; this one if empty.
    std::string daemonProgram;
};

// What a soak found. It passed if there are no violations.
struct SoakReport {
    std::uint64_t seed = 0;
    ClientCounts counts;
    std::uint64_t acknowledgedWrites = 0;
    std::uint64_t checkedReads = 0;
    std::uint64_t promotions = 0;
    // Faults that were injected, in order, with their second.
    std::vector<std::string> faults;
    // The first violations of each kind, and the number of all by kind.
    std::vector<std::string> violations;
    std::map<std::string, std::uint64_t> violationCounts;
};

// Runs real daemons as processes of their own against stand-ins of the store and of the groups, injects faults drawn
// from the seed, and checks the promises from what clients and endpoints see. Faults are signals (kill, terminate, stop
// and continue), harmed connections to the store, to endpoints and between daemons, endpoints that crash, lag, drain,
// leave, lose their log, lose answers or send them twice, and a store that is down, loses answers, forgets its history
// or comes back from an older copy. Every daemon has connections of its own to the store, to each endpoint and to each
// other daemon, so that a fault may concern some daemons only. One more group has synchronous replicas, of which no
// commit may be lost, and one route moves between the others. At the end everything is healed, and most statements must
// succeed again, in each group and for writes and reads apart, and every daemon must stop within its grace period.
SoakReport runSoak(const SoakSettings& settings);

std::string formatReport(const SoakReport& report);
std::string formatReportJson(const SoakReport& report);

} // namespace endivetrestle::soak
