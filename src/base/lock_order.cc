#include "base/lock_order.h"

#include <cstdio>
#include <cstdlib>
#include <vector>

namespace endivetrestle {

namespace {

#ifndef NDEBUG
thread_local std::vector<LockLevel> heldLevels;

void checkOrder(LockLevel level)
{
    if (heldLevels.empty() || heldLevels.back() < level)
        return;
    std::fprintf(stderr, "event=lock_order_violation held=%d wanted=%d\n", static_cast<int>(heldLevels.back()),
        static_cast<int>(level));
    std::abort();
}
#endif

} // namespace

void OrderedMutex::lock()
{
#ifndef NDEBUG
    checkOrder(this->level);
#endif
    this->mutex.lock();
#ifndef NDEBUG
    heldLevels.push_back(this->level);
#endif
}

void OrderedMutex::unlock()
{
#ifndef NDEBUG
    std::erase(heldLevels, this->level);
#endif
    this->mutex.unlock();
}

} // namespace endivetrestle
