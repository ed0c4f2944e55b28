#pragma once

#include "base/clock.h"
#include "base/identifier.h"
#include "version/route_table.h"

#include <cstddef>
#include <map>

namespace endivetrestle {

// Number of replicas that must receive a commit of a group before it is acknowledged, as the configuration declares it.
// After a change, commits that were acknowledged under either value may be in question, so the larger one counts for a
// while.
class SyncRequirement {
public:
    // Time for which a value counts after it was replaced. Longer than the time in which a configuration is in force
    // everywhere.
    static constexpr Duration changeWindow = std::chrono::seconds(10);

    // Takes over a configuration that has come into force. A group that it does not declare keeps its value.
    void apply(const RouteTable& routes, Time now);

    // Returns the number that counts for a group; 0 if no configuration has declared the group.
    [[nodiscard]] std::size_t of(const DatabaseId& group, Time now) const;

private:
    struct Entry {
        std::size_t current = 0;
        // Largest value that was replaced, and the time until which it counts.
        std::size_t replaced = 0;
        Time replacedUntil;
    };

    std::map<DatabaseId, Entry> entries;
};

} // namespace endivetrestle
