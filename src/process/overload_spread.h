#pragma once

#include "base/clock.h"

namespace endivetrestle {

// Decides whether statements that usually go to a first owner go to a second one as well, because the first one is
// overloaded. While that is so, they alternate. Alternating ends after a while, or early if the second owner is
// overloaded too: then the endpoints are the limit, and a second owner would only open more connections to them.
class OverloadSpread {
public:
    // Number of overloaded results in excess of the others from which the owner counts as overloaded. A single slow
    // statement must not open a connection at a second owner, which costs a slot of the endpoint.
    static constexpr int overloadThreshold = 5;
    // Results older than this say nothing about the present load.
    static constexpr Duration resultRetention = std::chrono::seconds(2);
    // Time for which statements alternate before the first owner is tried alone again.
    static constexpr Duration spreadPeriod = std::chrono::seconds(10);
    // Time without alternating after it did not help.
    static constexpr Duration retryPause = std::chrono::seconds(30);

    // Whether the next statement goes to the second owner.
    bool useSecond(Time now);
    // Records how a statement went at the first or the second owner. Returns whether alternating begins.
    bool report(bool second, bool overloaded, Time now);
    [[nodiscard]] bool active(Time now) const { return now < this->activeUntil; }

private:
    struct Excess {
        int overloaded = 0;
        Time lastResult;

        bool add(bool isOverloaded, Time now);
    };

    Excess first;
    Excess second;
    Time activeUntil;
    Time pausedUntil;
    bool lastWasSecond = false;
};

} // namespace endivetrestle
