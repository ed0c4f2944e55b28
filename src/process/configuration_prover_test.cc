#include "process/configuration_prover.h"

#include "process/configuration_simulation_test.h"

#include <catch2/catch.hpp>

using namespace endivetrestle;
using namespace endivetrestle::testing;
using namespace std::chrono_literals;

namespace {

using Kind = ConfigurationFaultKind;

// Calls to the store in a second while a fault lasts.
double callsPerSecond(ConfigurationSimulation& simulation, Duration length)
{
    const auto before = simulation.storeCalls;
    simulation.run(length);
    return static_cast<double>(simulation.storeCalls - before) / toSeconds(length);
}

// A prover whose readings the test answers.
struct ProverFixture {
    ProverFixture()
    {
        ConfigurationProofHooks hooks;
        hooks.isNeeded = [] { return true; };
        hooks.readStore = [this](bool, const auto& callback) { this->reads.push_back({ this->now, callback }); };
        hooks.eraIsOlderThan = [](Duration) { return true; };
        this->proof = std::make_unique<ConfigurationProof>(5s, this->timers, std::move(hooks));
        this->prover = std::make_unique<ConfigurationProver>(*this->proof, this->timers);
        this->proof->onRow({ "op", "config", "text", { 1, 7 }, false }, true);
    }

    void ask(StoreVersion known = { 1, 7 })
    {
        this->prover->onQuestion(
            { known }, this->now, [this](const ConfigurationAnswer& answer) { this->answers.push_back(answer); });
    }

    void pass(Duration time)
    {
        this->now += time;
        this->timers.advance(this->now);
    }

    void answerRead(bool done)
    {
        REQUIRE(!this->reads.empty());
        const auto [sentAt, callback] = this->reads.front();
        this->reads.erase(this->reads.begin());
        if (done)
            this->proof->onReading(sentAt, { 1, 40 }, this->now);
        callback(done, this->now);
    }

    Time now { 100s };
    TimerService timers;
    std::vector<std::pair<Time, ConfigurationProofHooks::ReadCallback>> reads;
    std::vector<ConfigurationAnswer> answers;
    std::unique_ptr<ConfigurationProof> proof;
    std::unique_ptr<ConfigurationProver> prover;
};

} // namespace

TEST_CASE("ConfigurationProver, answers all questions of its window with one reading")
{
    ProverFixture fixture;
    fixture.ask();
    fixture.pass(60ms);
    fixture.ask({ 1, 3 });
    CHECK(fixture.reads.empty());
    fixture.pass(40ms);
    CHECK(fixture.reads.size() == 1);
    fixture.answerRead(true);
    REQUIRE(fixture.answers.size() == 2);
    CHECK(fixture.answers[0].proven);
    CHECK(fixture.answers[0].version == StoreVersion { 1, 7 });
    CHECK_FALSE(fixture.answers[0].row);
    REQUIRE(fixture.answers[1].row);
    CHECK(fixture.answers[1].row->value == "text");
}

// Guards against an answer from a reading that was sent before the question: it may lack what was acknowledged between.
TEST_CASE("ConfigurationProver, lets a question wait for the next reading if one is outstanding")
{
    ProverFixture fixture;
    fixture.ask();
    fixture.pass(100ms);
    fixture.ask();
    fixture.pass(200ms);
    CHECK(fixture.reads.size() == 1);
    fixture.answerRead(true);
    CHECK(fixture.answers.size() == 1);
    CHECK(fixture.reads.size() == 1);
    fixture.answerRead(true);
    CHECK(fixture.answers.size() == 2);
}

// Guards against a proof from a store that does not answer, and against a call for each question while it does not.
TEST_CASE("ConfigurationProver, proves nothing and reads once a second while its readings fail")
{
    ProverFixture fixture;
    fixture.ask();
    fixture.pass(100ms);
    fixture.answerRead(false);
    REQUIRE(fixture.answers.size() == 1);
    CHECK_FALSE(fixture.answers[0].proven);
    for (int i = 0; i < 8; ++i) {
        fixture.ask();
        fixture.pass(100ms);
    }
    CHECK(fixture.reads.empty());
    CHECK(fixture.answers.size() == 9);
    fixture.pass(100ms);
    fixture.ask();
    fixture.pass(100ms);
    CHECK(fixture.reads.size() == 1);
}

// Guards against a restored store that still holds a revoked key.
TEST_CASE("ConfigurationProver, proves nothing before a new era of the store has settled")
{
    ProverFixture fixture;
    fixture.proof->onReading(fixture.now, { 1, 40 }, fixture.now);
    fixture.proof->onEraChanged(2, fixture.now);
    fixture.ask();
    fixture.pass(100ms);
    REQUIRE(fixture.answers.size() == 1);
    CHECK_FALSE(fixture.answers[0].proven);
    CHECK(fixture.reads.empty());
}

// Guards against more calls than the store is paid for: at most 2 a second for 26 daemons, without faults.
TEST_CASE("ConfigurationProver, keeps 26 daemons within the budget of calls to the store")
{
    for (const std::uint64_t seed : { 1, 2, 3 }) {
        ConfigurationSimulation simulation(26, seed);
        simulation.changing = true;
        simulation.run(10s);
        const auto rate = callsPerSecond(simulation, 60s);
        CAPTURE(seed, rate);
        CHECK(rate <= 2);
        CHECK(simulation.recentDaemons() == 26);
        CHECK(simulation.violations.empty());
        for (std::size_t i = 0; i < 26; ++i)
            CHECK(simulation.statistics(i).refusals < 200);
    }
}

TEST_CASE("ConfigurationProver, leaves each daemon one call a second while the store is down")
{
    ConfigurationSimulation simulation(26, 1);
    simulation.run(5s);
    simulation.begin({ 0, Kind::StoreDown, 0, 60000 });
    simulation.run(3s);
    CHECK(callsPerSecond(simulation, 20s) <= 26);
    CHECK(simulation.recentDaemons() == 0);
    simulation.run(40s);
    CHECK(simulation.recentDaemons() == 26);
}

// Guards against refusals because of a single fault that leaves the daemons a way to a proof.
TEST_CASE("ConfigurationProver, lets no daemon refuse because of a single fault that can be bypassed")
{
    const auto kind = GENERATE(Kind::StoreSlow, Kind::Freeze, Kind::LoseMessages);
    ConfigurationSimulation simulation(5, 7);
    simulation.run(5s);
    CAPTURE(static_cast<int>(kind));
    // The prover is frozen, or cut off from the daemons and the store, or the store takes up to a second.
    simulation.begin({ 0, kind, 0, 20000 });
    for (int i = 0; i < 190; ++i) {
        simulation.run(100ms);
        for (std::size_t daemon = 1; daemon < 5; ++daemon)
            REQUIRE(simulation.isRecent(daemon));
    }
    CHECK(simulation.violations.empty());
}

TEST_CASE("ConfigurationProver, lets no daemon refuse while the prover restarts")
{
    ConfigurationSimulation simulation(5, 7);
    simulation.run(5s);
    simulation.begin({ 0, Kind::Restart, 0, 0 });
    for (int i = 0; i < 50; ++i) {
        simulation.run(100ms);
        for (std::size_t daemon = 1; daemon < 5; ++daemon)
            REQUIRE(simulation.isRecent(daemon));
    }
}

TEST_CASE("ConfigurationProver, counts nothing as recent at a daemon that is cut off from everything")
{
    ConfigurationSimulation simulation(5, 7);
    simulation.changing = true;
    simulation.run(5s);
    simulation.begin({ 0, Kind::LoseMessages, 3, 20000 });
    simulation.run(5s);
    CHECK_FALSE(simulation.isRecent(3));
    CHECK(simulation.isRecent(2));
    simulation.run(18s);
    CHECK(simulation.isRecent(3));
    CHECK(simulation.violations.empty());
}
