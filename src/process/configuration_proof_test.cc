#include "process/configuration_proof.h"

#include <catch2/catch.hpp>
#include <memory>
#include <vector>

using namespace endivetrestle;
using namespace std::chrono_literals;

namespace {

// A daemon that asks; the test answers for the prover and the store.
struct ProofFixture {
    ProofFixture()
    {
        ConfigurationProofHooks hooks;
        hooks.isNeeded = [this] { return this->needed; };
        hooks.askProver = [this](const ConfigurationQuestion& question, const auto& callback) {
            if (!this->hasProver)
                return false;
            this->questions.push_back({ question, callback });
            return true;
        };
        hooks.readStore = [this](bool patient, const auto& callback) {
            this->patient = patient;
            this->reads.push_back({ this->now, callback });
        };
        hooks.applyRow = [this](const StoreRow& row) {
            this->applied.push_back(row);
            this->proof->onRow(row, this->readable);
        };
        hooks.eraIsOlderThan = [this](Duration age) { return this->eraAge >= age; };
        hooks.recentChanged = [this](bool recent, Time) { this->changes.push_back(recent); };
        this->proof = std::make_unique<ConfigurationProof>(5s, this->timers, std::move(hooks));
        this->proof->onRow(row(7), true);
    }

    static StoreRow row(std::uint64_t number, std::uint64_t era = 1)
    {
        return { "op", "config", std::to_string(number), { era, number }, false };
    }

    void pass(Duration time)
    {
        this->now += time;
        this->timers.advance(this->now);
        this->proof->tick(this->now);
    }

    void prove() { this->proof->onReading(this->now, { 1, 40 }, this->now); }

    void answer(const std::optional<ConfigurationAnswer>& answer)
    {
        REQUIRE(!this->questions.empty());
        const auto callback = this->questions.front().second;
        this->questions.erase(this->questions.begin());
        callback(answer, this->now);
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
    bool needed = true;
    bool hasProver = true;
    bool readable = true;
    bool patient = false;
    Duration eraAge = 1h;
    std::vector<std::pair<ConfigurationQuestion, ConfigurationProofHooks::AnswerCallback>> questions;
    std::vector<std::pair<Time, ConfigurationProofHooks::ReadCallback>> reads;
    std::vector<StoreRow> applied;
    std::vector<bool> changes;
    std::unique_ptr<ConfigurationProof> proof;
};

ConfigurationAnswer proven(StoreVersion version) { return { true, version, std::nullopt, 1400ms }; }

} // namespace

TEST_CASE("ConfigurationProof, counts a configuration as recent for 0.9 of the limit after a proof")
{
    ProofFixture fixture;
    CHECK_FALSE(fixture.proof->isRecent(fixture.now));
    fixture.prove();
    CHECK(fixture.proof->isRecent(fixture.now + 4499ms));
    CHECK_FALSE(fixture.proof->isRecent(fixture.now + 4500ms));
    CHECK(fixture.proof->statistics().refusals == 2);
    CHECK(fixture.changes == std::vector<bool> { true, false });
}

TEST_CASE("ConfigurationProof, asks the prover when the proof is older than 0.3 of the limit")
{
    ProofFixture fixture;
    fixture.prove();
    fixture.pass(1499ms);
    CHECK(fixture.questions.empty());
    fixture.pass(1ms);
    REQUIRE(fixture.questions.size() == 1);
    CHECK(fixture.questions[0].first.known == StoreVersion { 1, 7 });
    const auto sentAt = fixture.now;
    fixture.pass(120ms);
    fixture.answer(proven({ 1, 7 }));
    CHECK(fixture.proof->provenUntil() == sentAt);
    CHECK(fixture.reads.empty());
}

// Guards against calls of a deployment that needs no proof.
TEST_CASE("ConfigurationProof, asks nobody while nothing depends on it")
{
    ProofFixture fixture;
    fixture.needed = false;
    fixture.pass(10s);
    fixture.pass(10s);
    CHECK(fixture.questions.empty());
    CHECK(fixture.reads.empty());
    CHECK(fixture.timers.nextDue() == Time::max());
}

TEST_CASE("ConfigurationProof, reads the store without other daemons")
{
    ProofFixture fixture;
    fixture.hasProver = false;
    fixture.pass(1ms);
    const auto sentAt = fixture.now;
    fixture.pass(30ms);
    fixture.answerRead(true);
    CHECK(fixture.proof->provenUntil() == sentAt);
}

// Guards against a prover that is frozen or partitioned, or whose answer is lost.
TEST_CASE("ConfigurationProof, reads the store when the prover does not answer in time")
{
    ProofFixture fixture;
    fixture.pass(1ms);
    fixture.pass(299ms);
    CHECK(fixture.reads.empty());
    fixture.pass(1ms);
    CHECK(fixture.reads.size() == 1);
    // An answer that comes after all proves the time of its question.
    fixture.pass(100ms);
    fixture.answer(proven({ 1, 7 }));
    CHECK(fixture.proof->provenUntil() == Time(100s) + 1ms);
    CHECK(fixture.proof->statistics().unansweredQuestions == 1);
}

// Guards against a prover that has just been started.
TEST_CASE("ConfigurationProof, reads the store when the prover cannot prove anything")
{
    ProofFixture fixture;
    fixture.pass(1ms);
    fixture.answer(ConfigurationAnswer {});
    CHECK(fixture.reads.size() == 1);
    CHECK_FALSE(fixture.proof->provenUntil());
}

// Guards against a load of calls on a store that is down.
TEST_CASE("ConfigurationProof, reads the store at most once a second while that fails")
{
    ProofFixture fixture;
    std::size_t reads = 0;
    for (int i = 0; i < 1000; ++i) {
        fixture.pass(10ms);
        if (!fixture.questions.empty())
            fixture.answer(std::nullopt);
        if (!fixture.reads.empty()) {
            ++reads;
            fixture.answerRead(false);
        }
    }
    CHECK(reads >= 9);
    CHECK(reads <= 10);
    CHECK(fixture.patient);
    CHECK_FALSE(fixture.proof->isRecent(fixture.now));
}

// Guards against refusals because of one answer that is lost.
TEST_CASE("ConfigurationProof, stays recent when the answers of the prover and of one reading are lost")
{
    ProofFixture fixture;
    fixture.prove();
    fixture.pass(1500ms);
    fixture.pass(300ms);
    REQUIRE(fixture.reads.size() == 1);
    fixture.pass(1s);
    fixture.answerRead(false);
    fixture.pass(1ms);
    fixture.pass(300ms);
    REQUIRE(fixture.reads.size() == 1);
    CHECK(fixture.proof->isRecent(fixture.now));
    fixture.pass(20ms);
    fixture.answerRead(true);
    CHECK(fixture.proof->isRecent(fixture.now + 4s));
    CHECK(fixture.changes == std::vector<bool> { true });
}

// Guards against a store that answers after a second: what it says was true when it was asked.
TEST_CASE("ConfigurationProof, takes a slow answer for the time at which the call was sent")
{
    ProofFixture fixture;
    fixture.hasProver = false;
    fixture.pass(1ms);
    const auto sentAt = fixture.now;
    fixture.pass(1s);
    fixture.answerRead(true);
    CHECK(fixture.proof->provenUntil() == sentAt);
    CHECK(fixture.proof->isRecent(sentAt + 4499ms));
    CHECK_FALSE(fixture.proof->isRecent(sentAt + 4500ms));
}

// Guards against a daemon that is frozen between its question and the answer.
TEST_CASE("ConfigurationProof, proves only the time of the question when the clock jumps before the answer")
{
    ProofFixture fixture;
    fixture.prove();
    fixture.pass(1500ms);
    const auto sentAt = fixture.now;
    fixture.now += 30s;
    fixture.answer(proven({ 1, 7 }));
    CHECK(fixture.proof->provenUntil() == sentAt);
    CHECK_FALSE(fixture.proof->isRecent(fixture.now));
    // It asks again at once.
    CHECK(fixture.questions.size() == 1);
}

TEST_CASE("ConfigurationProof, applies the row of an answer before the answer proves anything")
{
    ProofFixture fixture;
    fixture.pass(1ms);
    auto answer = proven({ 1, 9 });
    SECTION("with the row")
    {
        answer.row = ProofFixture::row(9);
        fixture.answer(answer);
        CHECK(fixture.applied == std::vector<StoreRow> { ProofFixture::row(9) });
        CHECK(fixture.proof->provenUntil());
    }
    SECTION("with a row that cannot be decoded")
    {
        answer.row = ProofFixture::row(9);
        fixture.readable = false;
        fixture.answer(answer);
        CHECK_FALSE(fixture.proof->provenUntil());
        CHECK(fixture.reads.size() == 1);
    }
    SECTION("without the row")
    {
        fixture.answer(answer);
        CHECK_FALSE(fixture.proof->provenUntil());
    }
}

TEST_CASE("ConfigurationProof, takes a proof for an older version of the same era only")
{
    ProofFixture fixture;
    fixture.pass(1ms);
    fixture.proof->onRow(ProofFixture::row(12), true);
    SECTION("same era")
    {
        fixture.answer(proven({ 1, 9 }));
        CHECK(fixture.proof->provenUntil());
    }
    SECTION("later era")
    {
        fixture.answer(proven({ 2, 9 }));
        CHECK_FALSE(fixture.proof->provenUntil());
    }
    SECTION("earlier era than the one that this daemon has seen")
    {
        fixture.proof->onEraChanged(2, fixture.now - 10s);
        fixture.proof->onRow(ProofFixture::row(3, 2), true);
        fixture.answer(proven({ 1, 9 }));
        CHECK_FALSE(fixture.proof->provenUntil());
    }
}

// Guards against a revocation that stands in a row which this daemon cannot read.
TEST_CASE("ConfigurationProof, proves nothing after a row that cannot be decoded until a newer one is applied")
{
    ProofFixture fixture;
    fixture.proof->onRow(ProofFixture::row(9), false);
    fixture.prove();
    CHECK_FALSE(fixture.proof->provenUntil());
    fixture.proof->onRow(ProofFixture::row(8), true);
    fixture.prove();
    CHECK_FALSE(fixture.proof->provenUntil());
    fixture.proof->onRow(ProofFixture::row(10), true);
    fixture.prove();
    CHECK(fixture.proof->provenUntil());
    // A late copy of an older row is no reason for doubt.
    fixture.proof->onRow(ProofFixture::row(9), false);
    fixture.now += 1s;
    fixture.prove();
    CHECK(fixture.proof->provenUntil() == fixture.now);
}

// Guards against a restored store that still holds a revoked key.
TEST_CASE("ConfigurationProof, proves nothing in the first 2.5 s of a new era")
{
    ProofFixture fixture;
    fixture.prove();
    const auto before = fixture.now;
    fixture.pass(1s);
    const auto restored = fixture.now;
    fixture.proof->onEraChanged(2, restored);
    fixture.proof->onRow(ProofFixture::row(5, 2), true);
    fixture.proof->onReading(restored + 2499ms, { 2, 30 }, restored + 2600ms);
    CHECK(fixture.proof->provenUntil() == before);
    fixture.pass(2499ms);
    CHECK(fixture.questions.empty());
    CHECK(fixture.reads.empty());
    CHECK(fixture.proof->isRecent(fixture.now));
    fixture.pass(1ms);
    REQUIRE(fixture.questions.size() == 1);
    fixture.answer(proven({ 2, 5 }));
    CHECK(fixture.proof->provenUntil() == restored + 2500ms);
}

// Guards against a daemon that is started after the store was restored, and has not seen the era begin.
TEST_CASE("ConfigurationProof, relies on the first era it sees once that is known to be old")
{
    ProofFixture fixture;
    fixture.eraAge = 1s;
    fixture.prove();
    CHECK_FALSE(fixture.proof->provenUntil());
    SECTION("by the fleet's record")
    {
        fixture.eraAge = 2600ms;
        fixture.proof->onReading(fixture.now - 101ms, { 1, 40 }, fixture.now);
        CHECK_FALSE(fixture.proof->provenUntil());
        fixture.prove();
        CHECK(fixture.proof->provenUntil());
    }
    SECTION("by the prover")
    {
        fixture.pass(1ms);
        fixture.answer(proven({ 1, 7 }));
        CHECK(fixture.proof->provenUntil());
    }
    SECTION("by waiting")
    {
        fixture.now += 2500ms;
        fixture.prove();
        CHECK(fixture.proof->provenUntil());
    }
}
