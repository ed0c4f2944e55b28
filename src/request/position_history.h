#pragma once

#include "base/clock.h"
#include "base/position.h"

#include <deque>
#include <optional>

namespace endivetrestle {

// Log positions that a group's primary reported, with the time at which the statement that reported them was sent. Such
// a position covers every commit that was acknowledged anywhere before that time, because only the primary acknowledges
// commits. It determines the position that a replica must have reached to serve a read with an age bound.
//
// Example:
//     history.add(sentAt, position);
//     auto minimum = history.minimumFor(now - bound); // position that makes a read at most `bound` old
class PositionHistory {
public:
    // Samples closer together than this are merged, which bounds memory use.
    static constexpr Duration resolution = std::chrono::milliseconds(20);
    // Age after which a sample is dropped. It is longer than the age bounds of reads.
    static constexpr Duration retention = std::chrono::seconds(15);

    // Adds a position reported by the primary for a statement sent at the given time. A position of a higher term drops
    // all samples of lower terms, since a promotion may have rolled them back; one of a lower term is ignored.
    void add(Time sentAt, const Position& position);

    // Smallest known position that covers every commit acknowledged before the given time. No value if none is known.
    [[nodiscard]] std::optional<Position> minimumFor(Time coveredUntil) const;

    // Earliest time at which the position is known to have been reached by the primary; no value if it is newer than
    // every sample.
    [[nodiscard]] std::optional<Time> reachedAt(const Position& position) const;

    // First position known of the current term. A session whose last write is of an earlier term uses it, because
    // positions of earlier terms may not exist in any log.
    [[nodiscard]] std::optional<Position> firstOfTerm() const { return this->termStart; }
    [[nodiscard]] std::uint64_t term() const { return this->currentTerm; }

    // Drops all samples of terms before the given one.
    void startTerm(std::uint64_t term);

private:
    struct Sample {
        Time sentAt;
        Position position;
    };

    std::uint64_t currentTerm = 0;
    std::optional<Position> termStart;
    // Ordered by time; positions never decrease.
    std::deque<Sample> samples;
};

} // namespace endivetrestle
