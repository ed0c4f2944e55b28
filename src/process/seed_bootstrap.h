#pragma once

#include "base/socket_address.h"
#include "process/fleet_rows.h"
#include "process/table_store.h"

#include <functional>
#include <optional>
#include <set>
#include <vector>

namespace endivetrestle {

// What a daemon that serves tells one that the store does not answer.
struct BootstrapAnswer {
    // Row of the newest configuration; no value if the asking daemon has it already.
    std::optional<StoreRow> configuration;
    // Leases of the daemons that are alive, that of the answering one included.
    std::vector<LeaseRow> leases;

    bool operator==(const BootstrapAnswer&) const = default;
};

// Callbacks through which a SeedBootstrap reaches other daemons.
struct SeedBootstrapHooks {
    // Asks the daemon at the address for a configuration above the given row version. The callback runs once, without a
    // value if the daemon does not answer or does not serve itself, and never from inside the call.
    std::function<void(const SocketAddress&, StoreVersion, std::function<void(const std::optional<BootstrapAnswer>&)>)>
        ask;
    // Called for each answer.
    std::function<void(const BootstrapAnswer&)> apply;
};

// Obtains the configuration and the list of daemons from the daemons that the settings name as seeds, for a daemon that
// has started while the store does not answer it. With these it forwards the statements of its clients to daemons that
// have a lease. Without them it could only hold the clients until they give up: the load balancer sends clients to it
// for seconds after its start, and also sends their retries to it.
//
// A daemon answers only while it serves itself, so that what it tells is as fresh as what it goes by. The asking daemon
// repeats the question until its own feed delivers the configuration, because the configuration may change meanwhile.
//
// Example:
//     SeedBootstrap bootstrap(settings.seeds, startedAt, hooks);
//     // At every tick until the store has answered:
//     bootstrap.tick(configurationVersion, now);
class SeedBootstrap {
public:
    // Time after the start of the daemon before the seeds are asked. A store that is available answers within it.
    static constexpr Duration startDelay = std::chrono::milliseconds(50);
    // Interval between questions while no seed has answered.
    static constexpr Duration searchInterval = std::chrono::milliseconds(200);
    // Interval between questions after an answer. It bounds the age of the configuration.
    static constexpr Duration refreshInterval = std::chrono::milliseconds(1000);

    SeedBootstrap(std::vector<SocketAddress> seeds, Time startedAt, SeedBootstrapHooks hooks);

    // Asks the seeds if it is time to. `rowVersion` is that of the configuration in force; not set if there is none.
    void tick(StoreVersion rowVersion, Time now);

private:
    void onAnswer(const SocketAddress& seed, const std::optional<BootstrapAnswer>& answer);

    std::vector<SocketAddress> seeds;
    SeedBootstrapHooks hooks;
    Time nextQuestion;
    bool answered = false;
    // Seeds that were asked and have not answered yet.
    std::set<SocketAddress> asked;
};

} // namespace endivetrestle
