#include "edge/network_loop.h"

#include "base/log.h"

#include <pthread.h>

#include <future>

namespace endivetrestle {

// Logs failures of detached promises; a failure there is a fault of the code that detached it.
class NetworkLoop::Tasks : public kj::TaskSet::ErrorHandler {
public:
    Tasks()
        : set(*this)
    {
    }
    void taskFailed(kj::Exception&& exception) override
    {
        logEvent(
            LogLevel::Warning, "network_task_failed", { { "detail", kj::str(exception.getDescription()).cStr() } });
    }

    kj::TaskSet set;
};

NetworkLoop::~NetworkLoop() { this->stop(); }

void NetworkLoop::start(const char* name)
{
    std::promise<void> ready;
    auto started = ready.get_future();
    this->running = true;
    this->thread = std::thread([this] { this->serve(); });
    pthread_setname_np(this->thread.native_handle(), name);
    this->post([&](kj::AsyncIoContext&) { ready.set_value(); });
    started.wait();
}

void NetworkLoop::post(Task task)
{
    std::lock_guard lock(this->mutex);
    if (this->stopping)
        return;
    this->pending.push_back(std::move(task));
    if (this->waker.get() == nullptr)
        return;
    this->waker->fulfill();
    this->waker = nullptr;
}

void NetworkLoop::runSoon(Task task)
{
    if (std::this_thread::get_id() == this->thread.get_id() && this->context != nullptr)
        task(*this->context);
    else
        this->post(std::move(task));
}

void NetworkLoop::run(Task task)
{
    std::promise<void> done;
    auto finished = done.get_future();
    this->post([&](kj::AsyncIoContext& io) {
        task(io);
        done.set_value();
    });
    finished.wait();
}

void NetworkLoop::stop()
{
    if (!this->running)
        return;
    this->run([](kj::AsyncIoContext&) {});
    {
        std::lock_guard lock(this->mutex);
        this->stopping = true;
        if (this->waker.get() != nullptr)
            this->waker->fulfill();
        this->waker = nullptr;
    }
    this->thread.join();
    this->running = false;
}

void NetworkLoop::detach(kj::Promise<void> promise) { this->tasks->set.add(kj::mv(promise)); }

kj::Promise<void> NetworkLoop::nextWake()
{
    std::lock_guard lock(this->mutex);
    if (!this->pending.empty() || this->stopping)
        return kj::READY_NOW;
    auto pair = kj::newPromiseAndCrossThreadFulfiller<void>();
    this->waker = kj::mv(pair.fulfiller);
    return kj::mv(pair.promise);
}

void NetworkLoop::runPending(kj::AsyncIoContext& io)
{
    std::vector<Task> batch;
    {
        std::lock_guard lock(this->mutex);
        batch.swap(this->pending);
    }
    for (auto& task : batch)
        task(io);
}

void NetworkLoop::serve()
{
    auto io = kj::setupAsyncIo();
    Tasks loopTasks;
    this->tasks = &loopTasks;
    this->context = &io;
    while (true) {
        this->nextWake().wait(io.waitScope);
        this->runPending(io);
        std::lock_guard lock(this->mutex);
        if (this->stopping && this->pending.empty())
            break;
    }
    this->context = nullptr;
    this->tasks = nullptr;
}

} // namespace endivetrestle
