#include "base/log_limiter.h"
#include "base/nonblocking_output.h"

#include <catch2/catch.hpp>

#include <fcntl.h>
#include <unistd.h>

using namespace endivetrestle;
using namespace std::chrono_literals;

TEST_CASE("LogLimiter, passes the first lines of a second and counts the suppressed ones")
{
    LogLimiter limiter;
    const Time start { 10s };
    for (int i = 0; i < LogLimiter::linesPerSecond; ++i)
        CHECK(limiter.decide("failed", start).write);
    CHECK_FALSE(limiter.decide("failed", start).write);
    CHECK_FALSE(limiter.decide("failed", start + 500ms).write);
    // Another kind has its own limit.
    CHECK(limiter.decide("other", start).write);
    CHECK(limiter.decide("failed", start + 1s) == LogLimiter::Decision { true, 2 });
    CHECK(limiter.decide("failed", start + 1s) == LogLimiter::Decision { true, 0 });
}

namespace {

class Pipe {
public:
    Pipe() { REQUIRE(pipe2(this->ends, O_NONBLOCK) == 0); }
    ~Pipe()
    {
        close(this->ends[0]);
        close(this->ends[1]);
    }
    [[nodiscard]] int input() const { return this->ends[1]; }
    std::string drain()
    {
        std::string text(1U << 20U, '\0');
        const auto length = read(this->ends[0], text.data(), text.size());
        text.resize(length > 0 ? static_cast<std::size_t>(length) : 0);
        return text;
    }

private:
    int ends[2] = { -1, -1 };
};

} // namespace

TEST_CASE("NonblockingOutput, drops and counts whole lines when the reader is slow")
{
    // Guards against a daemon that blocks because nothing reads its log.
    Pipe pipe;
    NonblockingOutput output(pipe.input());
    const std::string line(1000, 'x');
    for (int i = 0; i < 1000; ++i)
        output.writeLine(line);
    CHECK(output.dropped() > 0);
    const auto first = pipe.drain();
    CHECK_FALSE(first.empty());
    output.writeLine("after");
    const auto second = pipe.drain();
    CHECK(second.find("after\n") != std::string::npos);
    // Every line is complete or absent.
    std::size_t begin = 0;
    const auto all = first + second;
    while (begin < all.size()) {
        const auto end = all.find('\n', begin);
        REQUIRE(end != std::string::npos);
        const auto length = end - begin;
        CHECK((length == line.size() || length == 5));
        begin = end + 1;
    }
}
