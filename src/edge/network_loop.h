#pragma once

#include <kj/async-io.h>

#include <atomic>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace endivetrestle {

// A thread with a kj event loop. Everything that belongs to the loop (RPC connections, HTTP clients) may only be used
// by tasks that run on it; post() is the way in from other threads.
//
// Example:
//     NetworkLoop loop;
//     loop.start();
//     loop.post([](kj::AsyncIoContext& io) { ... });
//     loop.stop();
class NetworkLoop {
public:
    using Task = std::function<void(kj::AsyncIoContext&)>;

    NetworkLoop() = default;
    ~NetworkLoop();
    NetworkLoop(const NetworkLoop&) = delete;
    NetworkLoop& operator=(const NetworkLoop&) = delete;

    // Starts the thread and returns when its event loop runs. The name, at most 15 bytes, is shown by the system's
    // tools.
    void start(const char* name = "network");

    // Runs a task on the loop's thread. May be called from any thread, also from the loop itself; the task never runs
    // before post() returns when called from the loop. Tasks posted after stop() are dropped.
    void post(Task task);

    // Runs a task at once if called on the loop's thread, which saves a wake-up; otherwise like post().
    void runSoon(Task task);

    // Runs a task on the loop's thread and waits for its end. Must not be called from the loop's thread.
    void run(Task task);

    // Ends the loop after the tasks posted so far and joins the thread. Promises still pending are cancelled, so
    // objects that belong to the loop must have been destroyed by a task before.
    void stop();

    // Keeps a promise alive on the loop until it is done. Must be called on the loop's thread. Failures are logged.
    void detach(kj::Promise<void> promise);

private:
    class Tasks;

    void serve();
    kj::Promise<void> nextWake();
    void runPending(kj::AsyncIoContext& io);

    std::thread thread;
    std::mutex mutex;
    std::vector<Task> pending;
    kj::Own<kj::CrossThreadPromiseFulfiller<void>> waker;
    Tasks* tasks = nullptr;
    kj::AsyncIoContext* context = nullptr;
    bool stopping = false;
    bool running = false;
};

} // namespace endivetrestle
