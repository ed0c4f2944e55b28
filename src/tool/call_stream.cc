#include "tool/call_stream.h"

#include "base/log.h"
#include "tool/caller_client.h"
#include "tool/raw_sender.h"

#include <kj/async-io.h>

namespace endivetrestle {

namespace {

class Stream : private kj::TaskSet::ErrorHandler {
public:
    Stream(kj::AsyncIoContext& io, const StreamTarget& target, StreamMode mode, const StreamHooks& hooks)
        : io(io)
        , timer(io.provider->getTimer())
        , mode(mode)
        , hooks(hooks)
        , client(*io.provider, target.daemons, target.callerKey)
        , raw(*io.provider, target.rawEndpoints)
        , tasks(*this)
    {
    }

    void run(std::size_t lanes)
    {
        for (std::size_t lane = 0; lane < lanes; ++lane)
            this->tasks.add(kj::evalLater([this, lane] { return this->runLane(lane); }));
        this->tasks.onEmpty().wait(this->io.waitScope);
    }

private:
    kj::Promise<void> runLane(std::size_t lane)
    {
        auto next = this->hooks.next(lane);
        if (!next)
            return kj::READY_NOW;
        next->lane = lane;
        const auto wait = next->at - MonotonicClock::now();
        auto due
            = wait > Duration::zero() ? this->timer.afterDelay(wait.count() * kj::MICROSECONDS) : kj::evalLater([] {});
        return due.then([this, lane, call = std::move(*next)]() mutable -> kj::Promise<void> {
            auto done = this->send(std::move(call));
            if (this->mode == StreamMode::Closed)
                return done.then([this, lane] { return this->runLane(lane); });
            this->tasks.add(kj::mv(done));
            return this->runLane(lane);
        });
    }

    kj::Promise<void> send(StreamCall call)
    {
        const auto sentAt = MonotonicClock::now();
        auto answered = call.daemon ? this->client.send(*call.daemon, call.call) : this->raw.send(call.lane, call.call);
        return answered.then([this, sentAt, call = std::move(call)](const CallerAnswer& answer) {
            this->hooks.answered(call, answer, sentAt, MonotonicClock::now());
        });
    }

    void taskFailed(kj::Exception&& exception) override
    {
        logEvent(LogLevel::Error, "call_stream_failed", { { "detail", kj::str(exception.getDescription()).cStr() } });
    }

    kj::AsyncIoContext& io;
    kj::Timer& timer;
    StreamMode mode;
    const StreamHooks& hooks;
    CallerClient client;
    internal::RawSender raw;
    // Ends before the members that the tasks use.
    kj::TaskSet tasks;
};

} // namespace

void runCallStream(const StreamTarget& target, std::size_t lanes, StreamMode mode, const StreamHooks& hooks)
{
    auto io = kj::setupAsyncIo();
    Stream stream(io, target, mode, hooks);
    stream.run(lanes);
}

} // namespace endivetrestle
