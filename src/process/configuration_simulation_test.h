#pragma once

#include "process/configuration_prover.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace endivetrestle::testing {

// What disturbs a simulated fleet.
enum class ConfigurationFaultKind { StoreDown, StoreSlow, LoseAnswers, LoseMessages, Freeze, Restart, Restore };

struct ConfigurationFault {
    int atMs = 0;
    ConfigurationFaultKind kind = ConfigurationFaultKind::StoreDown;
    int daemon = 0;
    int lengthMs = 0;
};

// Daemons of one part of a fleet on virtual time, with a store that holds one configuration row. The first daemon is
// the prover. Every daemon keeps the newest configuration that it was told; violations lists each moment at which a
// daemon counted its configuration as recent, or as complete up to a time, without a version acknowledged before.
class ConfigurationSimulation {
public:
    static constexpr Duration limit = std::chrono::seconds(5);
    static constexpr Duration step = std::chrono::milliseconds(10);
    static constexpr Duration tickInterval = std::chrono::milliseconds(100);
    static constexpr Duration callTimeout = std::chrono::milliseconds(1000);
    // Time within which the operators write again what the store has lost.
    static constexpr Duration rewriteTime = std::chrono::milliseconds(2400);

    ConfigurationSimulation(std::size_t size, std::uint64_t seed)
        : random(seed)
        , daemons(size)
    {
        this->changeConfiguration();
        for (std::size_t i = 0; i < size; ++i)
            this->start(i);
    }

    void run(Duration length, const std::vector<ConfigurationFault>& faults = {})
    {
        for (const auto end = this->now + length; this->now < end; this->now += step) {
            for (const auto& fault : faults) {
                if (this->startedAt + std::chrono::milliseconds(fault.atMs / 10 * 10) == this->now)
                    this->begin(fault);
            }
            if (this->now >= this->rewriteAt) {
                this->rewriteAt = Time::max();
                this->write(this->newestConfiguration);
            }
            if (this->changing && this->pick(0, 99) == 0)
                this->changeConfiguration();
            for (auto& daemon : this->daemons)
                this->runDaemon(daemon);
        }
    }

    void begin(const ConfigurationFault& fault)
    {
        const auto end = this->now + std::chrono::milliseconds(fault.lengthMs);
        const auto index = static_cast<std::size_t>(fault.daemon) % this->daemons.size();
        switch (fault.kind) {
        case ConfigurationFaultKind::StoreDown:
            this->storeDownUntil = end;
            return;
        case ConfigurationFaultKind::StoreSlow:
            this->storeSlowUntil = end;
            return;
        case ConfigurationFaultKind::LoseAnswers:
            this->answersLostUntil = end;
            return;
        case ConfigurationFaultKind::LoseMessages:
            this->daemons[index].cutOffUntil = end;
            return;
        case ConfigurationFaultKind::Freeze:
            this->daemons[index].frozenUntil = end;
            return;
        case ConfigurationFaultKind::Restart:
            this->start(index);
            return;
        case ConfigurationFaultKind::Restore:
            this->restore();
        }
    }

    void changeConfiguration()
    {
        // While the operators write again what was lost, they write nothing else.
        if (this->rewriteAt != Time::max())
            return;
        this->write(++this->newestConfiguration);
        this->acknowledged.emplace_back(this->now, this->newestConfiguration);
    }

    [[nodiscard]] bool isRecent(std::size_t index) { return this->daemons[index].proof->isRecent(this->now); }
    [[nodiscard]] std::size_t recentDaemons()
    {
        std::size_t count = 0;
        for (std::size_t i = 0; i < this->daemons.size(); ++i)
            count += this->isRecent(i) ? 1 : 0;
        return count;
    }
    [[nodiscard]] const ConfigurationProofStatistics& statistics(std::size_t index) const
    {
        return this->daemons[index].proof->statistics();
    }
    [[nodiscard]] std::uint64_t configurationOf(std::size_t index) const { return this->daemons[index].configuration; }

    Time now { std::chrono::seconds(100) };
    bool changing = false;
    std::size_t storeCalls = 0;
    std::vector<std::string> violations;

private:
    struct Event {
        Time at;
        std::function<void()> run;
    };
    struct Daemon {
        TimerService timers;
        std::unique_ptr<ConfigurationProof> proof;
        std::unique_ptr<ConfigurationProver> prover;
        std::vector<Event> inbox;
        std::uint64_t generation = 0;
        std::uint64_t configuration = 0;
        std::uint64_t era = 0;
        Time frozenUntil;
        Time cutOffUntil;
        Time nextTick;
    };

    int pick(int low, int high) { return std::uniform_int_distribution<int>(low, high)(this->random); }
    Duration delay() { return std::chrono::milliseconds(this->pick(1, this->pick(0, 9) == 0 ? 60 : 15)); }

    void write(std::uint64_t configuration)
    {
        this->row = { "op", "config", std::to_string(configuration), { this->era, ++this->number }, false };
        this->history.push_back(this->row);
    }

    // Brings back a copy that lacks up to three changes.
    void restore()
    {
        if (this->rewriteAt != Time::max())
            return;
        const auto lost = std::min<std::size_t>(this->history.size() - 1, static_cast<std::size_t>(this->pick(1, 3)));
        this->history.resize(this->history.size() - lost);
        ++this->era;
        for (auto& kept : this->history)
            kept.version.era = this->era;
        this->row = this->history.back();
        this->number = this->row.version.number;
        this->restoredAt = this->now;
        this->rewriteAt = this->now + rewriteTime;
    }

    void start(std::size_t index)
    {
        auto& daemon = this->daemons[index];
        ++daemon.generation;
        daemon.prover.reset();
        daemon.proof.reset();
        daemon.inbox.clear();
        daemon.configuration = 0;
        daemon.era = 0;
        daemon.nextTick = this->now + std::chrono::milliseconds(this->pick(0, 1500));
        ConfigurationProofHooks hooks;
        hooks.isNeeded = [] { return true; };
        hooks.askProver = [this, index](const ConfigurationQuestion& question, const auto& callback) {
            this->askProver(index, question, callback);
            return true;
        };
        hooks.readStore = [this, index](bool, const auto& callback) { this->readStore(index, callback); };
        hooks.applyRow = [this, index](const StoreRow& applied) { this->apply(index, applied); };
        hooks.eraIsOlderThan = [this](Duration age) { return this->era == 1 || this->now >= this->restoredAt + age; };
        daemon.proof = std::make_unique<ConfigurationProof>(limit, daemon.timers, std::move(hooks));
        daemon.prover = std::make_unique<ConfigurationProver>(*daemon.proof, daemon.timers);
    }

    void apply(std::size_t index, const StoreRow& applied)
    {
        auto& daemon = this->daemons[index];
        daemon.configuration = std::max<std::uint64_t>(daemon.configuration, std::stoull(applied.value));
        daemon.proof->onRow(applied, true);
    }

    // Runs at the daemon, unless it has been started again since.
    void post(std::size_t index, Time at, std::function<void()> run)
    {
        auto& daemon = this->daemons[index];
        daemon.inbox.push_back({ at, [&daemon, generation = daemon.generation, run = std::move(run)] {
                                    if (daemon.generation == generation)
                                        run();
                                } });
    }

    void send(std::size_t from, std::size_t to, std::function<void()> run)
    {
        if (from == to || std::max(this->daemons[from].cutOffUntil, this->daemons[to].cutOffUntil) <= this->now)
            this->post(to, this->now + (from == to ? step : this->delay()), std::move(run));
    }

    void askProver(std::size_t index, const ConfigurationQuestion& question,
        const ConfigurationProofHooks::AnswerCallback& callback)
    {
        const auto generation = this->daemons[index].generation;
        this->send(index, 0, [this, index, question, callback, generation] {
            const auto answered = [this, index, callback, generation](const ConfigurationAnswer& answer) {
                if (this->daemons[index].generation == generation)
                    this->send(0, index, [this, callback, answer] { callback(answer, this->now); });
            };
            this->daemons[0].prover->onQuestion(question, this->now, answered);
        });
    }

    void readStore(std::size_t index, const ConfigurationProofHooks::ReadCallback& callback)
    {
        ++this->storeCalls;
        const auto sentAt = this->now;
        const bool lost = this->now < this->answersLostUntil && this->pick(0, 1) == 0;
        const auto wait = this->now < this->storeSlowUntil ? Duration(std::chrono::milliseconds(this->pick(100, 990)))
                                                           : this->delay();
        if (lost || this->now < this->storeDownUntil || this->now < this->daemons[index].cutOffUntil) {
            this->post(index, this->now + callTimeout, [this, callback] { callback(false, this->now); });
            return;
        }
        // The store reads the row the moment that it is asked; the answer takes its time.
        const auto read = this->row;
        this->post(index, this->now + wait, [this, index, callback, read, sentAt] {
            auto& daemon = this->daemons[index];
            if (read.version.era < daemon.era) {
                callback(false, this->now);
                return;
            }
            if (daemon.era != 0 && read.version.era > daemon.era)
                daemon.proof->onEraChanged(read.version.era, this->now);
            daemon.era = read.version.era;
            this->apply(index, read);
            daemon.proof->onReading(sentAt, read.version, this->now);
            callback(true, this->now);
        });
    }

    void runDaemon(Daemon& daemon)
    {
        if (this->now < daemon.frozenUntil)
            return;
        auto due = std::stable_partition(
            daemon.inbox.begin(), daemon.inbox.end(), [this](const Event& event) { return event.at > this->now; });
        const std::vector<Event> events(due, daemon.inbox.end());
        daemon.inbox.erase(due, daemon.inbox.end());
        for (const auto& event : events)
            event.run();
        daemon.timers.advance(this->now);
        if (this->now >= daemon.nextTick) {
            daemon.nextTick = this->now + tickInterval;
            daemon.proof->tick(this->now);
        }
        this->check(daemon);
    }

    void check(Daemon& daemon)
    {
        const auto needed = [this](Time before) {
            std::uint64_t newest = 0;
            for (const auto& [at, configuration] : this->acknowledged)
                newest = at < before ? configuration : newest;
            return newest;
        };
        const auto proven = daemon.proof->provenUntil();
        if (proven && daemon.configuration < needed(*proven))
            this->violations.push_back("proof at " + std::to_string(this->now.time_since_epoch().count()));
        if (daemon.proof->isRecent(this->now) && daemon.configuration < needed(this->now - limit))
            this->violations.push_back("recent at " + std::to_string(this->now.time_since_epoch().count()));
    }

    std::mt19937_64 random;
    Time startedAt = this->now;
    std::deque<Daemon> daemons;
    StoreRow row;
    std::vector<StoreRow> history;
    std::uint64_t era = 1;
    std::uint64_t number = 0;
    std::uint64_t newestConfiguration = 0;
    // Times of acknowledgement and what was acknowledged.
    std::vector<std::pair<Time, std::uint64_t>> acknowledged;
    Time restoredAt;
    Time rewriteAt = Time::max();
    Time storeDownUntil;
    Time storeSlowUntil;
    Time answersLostUntil;
};

} // namespace endivetrestle::testing
