#pragma once

#include "base/clock.h"

#include <cstdint>

namespace endivetrestle {

// Lower and upper bound of the store's steady clock, derived from answers that contain its reading. The reading was
// taken between sending the call and receiving the answer, which bounds the store's time at any later moment.
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
    // The store's clock has reached at least this value.
    [[nodiscard]] std::int64_t lowerBoundMs(Time now) const
    {
        return this->storeMs + milliseconds(now - this->answeredAt);
    }
    // The store's clock has reached at most this value.
    [[nodiscard]] std::int64_t upperBoundMs(Time now) const
    {
        return this->storeMs + milliseconds(now - this->sentAt) + 1;
    }

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
