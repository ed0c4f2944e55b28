#pragma once

#include <kj/async.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace endivetrestle::standin {

// Wakes everything that waits for a condition to change. Waiters check the condition again themselves.
class Signal {
public:
    kj::Promise<void> wait()
    {
        std::erase_if(this->waiters, [](auto& waiter) { return !waiter->isWaiting(); });
        auto pair = kj::newPromiseAndFulfiller<void>();
        this->waiters.push_back(kj::mv(pair.fulfiller));
        return kj::mv(pair.promise);
    }

    void raise()
    {
        for (auto& waiter : std::exchange(this->waiters, {}))
            waiter->fulfill();
    }

private:
    std::vector<kj::Own<kj::PromiseFulfiller<void>>> waiters;
};

} // namespace endivetrestle::standin
