#pragma once

#include "base/identifier.h"
#include "base/position.h"

#include <cstddef>
#include <memory>
#include <optional>
#include <vector>

namespace endivetrestle {

// What a read of a session must see of the session's own writes in a group.
struct OwnWrites {
    // Position that the log must contain; no value if there is none.
    std::optional<Position> position;
    // Whether the position is not known, so that only the primary can serve the read.
    bool needsPrimary = false;

    bool operator==(const OwnWrites&) const = default;
};

// Positions of the last write of a session in each group that it has written to. The route of a session may move to
// another group and back, and a position means nothing in another group.
//
// Most sessions write to one group only, and there are many of them, so only the group that was written to last is kept
// in the object itself.
class SessionWrites {
public:
    // Most groups whose positions are kept. Beyond that the one that was written to least recently is forgotten.
    static constexpr std::size_t maxGroups = 8;

    // Records an acknowledged write. Without a position, only the primary is known to have it.
    void add(const DatabaseId& group, const std::optional<Position>& position);

    [[nodiscard]] OwnWrites in(const DatabaseId& group) const;

private:
    struct Entry {
        DatabaseId group;
        std::optional<Position> position;
    };

    // Group that was written to last; its name is empty if there is none.
    Entry last;
    // The other groups, the least recent one first; null if there are none.
    std::unique_ptr<std::vector<Entry>> others;
    // Whether a group has been forgotten.
    bool incomplete = false;
};

} // namespace endivetrestle
