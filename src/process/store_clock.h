#pragma once

#include "base/clock.h"

#include <cstdint>

namespace endivetrestle {

// Bounds on the store's steady clock, derived from answers that carry its reading. An answer was produced between the
// sending of the call and its arrival, which bounds the store's time at any later moment from both sides.
class StoreClock {
public:
    void onAnswer(Time sentAt, Time answeredAt, std::int64_t storeMs)
    {
        this->sentAt = sentAt;
        this->answeredAt = answeredAt;
        this->storeMs = storeMs;
        this->known = true;
    }

    [[nodiscard]] bool isKnown() const { return this->known; }
    // The store's clock shows at least this much.
    [[nodiscard]] std::int64_t earliestMs(Time now) const
    {
        return this->storeMs + milliseconds(now - this->answeredAt);
    }
    // The store's clock shows at most this much.
    [[nodiscard]] std::int64_t latestMs(Time now) const { return this->storeMs + milliseconds(now - this->sentAt) + 1; }

private:
    static std::int64_t milliseconds(Duration duration)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
    }

    Time sentAt;
    Time answeredAt;
    std::int64_t storeMs = 0;
    bool known = false;
};

} // namespace endivetrestle
