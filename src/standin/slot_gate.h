#pragma once

#include <kj/async.h>

#include <deque>
#include <utility>

namespace endivetrestle::standin {

// Lets a limited number of statements run at once; others wait in order of arrival. The gate must outlive its slots.
class SlotGate {
public:
    // Right to run; given back when destroyed.
    class Slot {
    public:
        explicit Slot(SlotGate& gate)
            : gate(&gate)
        {
        }
        Slot(Slot&& other) noexcept
            : gate(std::exchange(other.gate, nullptr))
        {
        }
        Slot(const Slot&) = delete;
        Slot& operator=(const Slot&) = delete;
        Slot& operator=(Slot&&) = delete;
        ~Slot()
        {
            if (this->gate)
                this->gate->release();
        }

    private:
        SlotGate* gate;
    };

    void setLimit(int newLimit)
    {
        this->limit = newLimit;
        this->admit();
    }

    [[nodiscard]] int running() const { return this->runningCount; }
    [[nodiscard]] std::size_t waiting() const { return this->waiters.size(); }
    [[nodiscard]] bool isFree() const { return this->runningCount < this->limit && this->waiters.empty(); }

    kj::Promise<Slot> acquire()
    {
        if (this->isFree()) {
            ++this->runningCount;
            return Slot(*this);
        }
        auto pair = kj::newPromiseAndFulfiller<Slot>();
        this->waiters.push_back(kj::mv(pair.fulfiller));
        return kj::mv(pair.promise);
    }

private:
    void release()
    {
        --this->runningCount;
        this->admit();
    }

    void admit()
    {
        while (this->runningCount < this->limit && !this->waiters.empty()) {
            auto next = kj::mv(this->waiters.front());
            this->waiters.pop_front();
            if (!next->isWaiting())
                continue;
            ++this->runningCount;
            next->fulfill(Slot(*this));
        }
    }

    int limit = 1;
    int runningCount = 0;
    std::deque<kj::Own<kj::PromiseFulfiller<Slot>>> waiters;
};

} // namespace endivetrestle::standin
