#pragma once

#include <mutex>

namespace endivetrestle {

// Order in which a thread takes locks: from the lowest level to the highest. No other place defines it.
enum class LockLevel {
    ConfigurationVersion = 1,
    Membership = 2,
    DatabaseController = 3,
    TimerService = 4,
    Journal = 5,
    BurnRate = 6,
    Metrics = 7,
};

// Mutex with a level. In debug builds (NDEBUG not defined) locking a level that is not above every level the thread
// already holds aborts the process, because a violated lock order can deadlock.
class OrderedMutex {
public:
    explicit OrderedMutex(LockLevel level)
        : level(level)
    {
    }

    void lock();
    void unlock();

private:
    LockLevel level;
    std::mutex mutex;
};

} // namespace endivetrestle
