#include "edge/batching_stream.h"

#include <kj/debug.h>
#include <kj/vector.h>

#include <sys/socket.h>

#include <utility>

namespace endivetrestle::internal {

namespace {

// A writer waits for the socket once this number of bytes is pending.
constexpr std::size_t pendingLimit = std::size_t { 256 } << 10;

class BatchingStream final : public kj::AsyncIoStream, private kj::TaskSet::ErrorHandler {
public:
    explicit BatchingStream(kj::Own<kj::AsyncIoStream> inner)
        : inner(kj::mv(inner))
        , tasks(*this)
    {
    }

    // Hands over what is pending if the socket takes it at once, so that a last answer is not lost.
    ~BatchingStream() noexcept(false)
    {
        if (this->pending.empty() || this->flushing || this->failure != nullptr)
            return;
        KJ_IF_MAYBE (descriptor, this->inner->getFd())
            (void)::send(*descriptor, this->pending.data(), this->pending.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    }

    kj::Promise<std::size_t> tryRead(void* buffer, std::size_t minBytes, std::size_t maxBytes) override
    {
        return this->inner->tryRead(buffer, minBytes, maxBytes);
    }

    kj::Promise<void> write(const void* buffer, std::size_t size) override
    {
        KJ_IF_MAYBE (exception, this->failure)
            return kj::cp(*exception);
        this->pending.append(static_cast<const char*>(buffer), size);
        this->scheduleFlush();
        return this->whenSmall();
    }

    kj::Promise<void> write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) override
    {
        KJ_IF_MAYBE (exception, this->failure)
            return kj::cp(*exception);
        for (const auto& piece : pieces)
            this->pending.append(piece.asChars().begin(), piece.size());
        this->scheduleFlush();
        return this->whenSmall();
    }

    kj::Promise<void> whenWriteDisconnected() override { return this->inner->whenWriteDisconnected(); }

    void shutdownWrite() override
    {
        if (this->pending.empty() && !this->flushing) {
            this->inner->shutdownWrite();
            return;
        }
        this->shutdownRequested = true;
    }

    void abortRead() override { this->inner->abortRead(); }
    void getsockopt(int level, int option, void* value, unsigned* length) override
    {
        this->inner->getsockopt(level, option, value, length);
    }
    void setsockopt(int level, int option, const void* value, unsigned length) override
    {
        this->inner->setsockopt(level, option, value, length);
    }
    void getsockname(sockaddr* address, unsigned* length) override { this->inner->getsockname(address, length); }
    void getpeername(sockaddr* address, unsigned* length) override { this->inner->getpeername(address, length); }
    [[nodiscard]] kj::Maybe<int> getFd() const override { return std::as_const(*this->inner).getFd(); }

private:
    kj::Promise<void> whenSmall()
    {
        if (this->pending.size() < pendingLimit)
            return kj::READY_NOW;
        auto pair = kj::newPromiseAndFulfiller<void>();
        this->waiters.add(kj::mv(pair.fulfiller));
        return kj::mv(pair.promise);
    }

    void scheduleFlush()
    {
        if (this->flushScheduled || this->flushing)
            return;
        this->flushScheduled = true;
        this->tasks.add(kj::evalLast([this] {
            this->flushScheduled = false;
            return this->flush();
        }));
    }

    kj::Promise<void> flush()
    {
        this->flushing = true;
        this->inFlight.clear();
        std::swap(this->inFlight, this->pending);
        return this->inner->write(this->inFlight.data(), this->inFlight.size()).then([this]() -> kj::Promise<void> {
            this->flushing = false;
            auto ready = kj::mv(this->waiters);
            for (auto& waiter : ready)
                waiter->fulfill();
            if (!this->pending.empty())
                return this->flush();
            if (this->shutdownRequested)
                this->inner->shutdownWrite();
            return kj::READY_NOW;
        });
    }

    void taskFailed(kj::Exception&& exception) override
    {
        auto rejected = kj::mv(this->waiters);
        for (auto& waiter : rejected)
            waiter->reject(kj::cp(exception));
        this->failure = kj::mv(exception);
    }

    kj::Own<kj::AsyncIoStream> inner;
    std::string pending;
    std::string inFlight;
    bool flushScheduled = false;
    bool flushing = false;
    bool shutdownRequested = false;
    kj::Maybe<kj::Exception> failure;
    kj::Vector<kj::Own<kj::PromiseFulfiller<void>>> waiters;
    kj::TaskSet tasks;
};

} // namespace

kj::Own<kj::AsyncIoStream> batchWrites(kj::Own<kj::AsyncIoStream> stream)
{
    return kj::heap<BatchingStream>(kj::mv(stream));
}

} // namespace endivetrestle::internal
