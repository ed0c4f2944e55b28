#include "process/seed_bootstrap.h"

#include <catch2/catch.hpp>

#include <map>

using namespace endivetrestle;
using namespace std::chrono_literals;

namespace {

const SocketAddress firstSeed { "10.0.0.1", 7440 };
const SocketAddress secondSeed { "10.0.0.2", 7440 };

struct BootstrapFixture {
    using Callback = std::function<void(const std::optional<BootstrapAnswer>&)>;

    BootstrapFixture()
        : bootstrap({ firstSeed, secondSeed }, Time(10s), this->hooks())
    {
    }

    SeedBootstrapHooks hooks()
    {
        SeedBootstrapHooks result;
        result.ask = [this](const SocketAddress& seed, StoreVersion rowVersion, Callback callback) {
            ++this->questions;
            this->askedVersion = rowVersion;
            this->pending[seed] = std::move(callback);
        };
        result.apply = [this](const BootstrapAnswer& answer) { this->applied.push_back(answer); };
        return result;
    }

    void answer(const SocketAddress& seed, const std::optional<BootstrapAnswer>& answer)
    {
        this->pending.extract(seed).mapped()(answer);
    }

    int questions = 0;
    StoreVersion askedVersion;
    std::map<SocketAddress, Callback> pending;
    std::vector<BootstrapAnswer> applied;
    SeedBootstrap bootstrap;
};

BootstrapAnswer answerWith(std::uint64_t rowVersion)
{
    BootstrapAnswer answer;
    answer.configuration = StoreRow { "op", "config", "{}", { 1, rowVersion }, false };
    return answer;
}

} // namespace

// Guards against questions at every ordinary start.
TEST_CASE("SeedBootstrap, does not ask while the store may still answer")
{
    BootstrapFixture fixture;
    fixture.bootstrap.tick({}, Time(10s));
    CHECK(fixture.questions == 0);
    fixture.bootstrap.tick({}, Time(10s) + SeedBootstrap::startDelay);
    CHECK(fixture.questions == 2);
}

// Guards against clients that are held until they give up by a daemon which the store turns away, while others serve.
TEST_CASE("SeedBootstrap, applies the answer of the seed that serves")
{
    BootstrapFixture fixture;
    fixture.bootstrap.tick({}, Time(11s));
    fixture.answer(firstSeed, std::nullopt);
    CHECK(fixture.applied.empty());
    fixture.answer(secondSeed, answerWith(7));
    CHECK(fixture.applied == std::vector<BootstrapAnswer> { answerWith(7) });
}

// Guards against a daemon that goes by its first configuration for as long as the store turns it away.
TEST_CASE("SeedBootstrap, asks again for a newer configuration, and no seed twice at a time")
{
    BootstrapFixture fixture;
    fixture.bootstrap.tick({}, Time(11s));
    fixture.bootstrap.tick({}, Time(12s));
    CHECK(fixture.questions == 2);
    fixture.answer(secondSeed, answerWith(7));
    fixture.bootstrap.tick({ 1, 7 }, Time(12s) + SeedBootstrap::searchInterval);
    CHECK(fixture.questions == 3);
    CHECK(fixture.askedVersion == StoreVersion { 1, 7 });
    fixture.answer(secondSeed, answerWith(8));
    fixture.bootstrap.tick({ 1, 8 }, Time(12s) + SeedBootstrap::refreshInterval);
    CHECK(fixture.questions == 3);
    fixture.bootstrap.tick({ 1, 8 }, Time(13s) + SeedBootstrap::refreshInterval);
    CHECK(fixture.questions == 4);
    CHECK(fixture.applied.size() == 2);
}
