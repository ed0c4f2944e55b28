#pragma once

#include "base/timer_service.h"
#include "process/table_store.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

namespace endivetrestle {

// What a daemon asks the prover: has the configuration changed after the row version that it has?
struct ConfigurationQuestion {
    StoreVersion known;

    bool operator==(const ConfigurationQuestion&) const = default;
};

// Answer of the prover, from a reading of the store that was sent after the question had arrived.
struct ConfigurationAnswer {
    // False if the reading failed or proves nothing; the other fields mean nothing then.
    bool proven = false;
    // Version of the configuration row as of the reading. Its number is 0 if the present era has no such row.
    StoreVersion version;
    // The row, if it is newer than the one that the question names.
    std::optional<StoreRow> row;
    // Time after which a further question shares a reading with those of other daemons.
    Duration askAgainIn {};

    bool operator==(const ConfigurationAnswer&) const = default;
};

// Callbacks of a ConfigurationProof. Calls are never answered from inside the call.
struct ConfigurationProofHooks {
    using AnswerCallback = std::function<void(const std::optional<ConfigurationAnswer>&, Time now)>;
    using ReadCallback = std::function<void(bool done, Time now)>;

    // Whether anything depends on the proof. Nothing is asked otherwise.
    std::function<bool()> isNeeded;
    // Asks the prover. No answer may come. Returns false if there is no other daemon to ask.
    std::function<bool(const ConfigurationQuestion&, AnswerCallback)> askProver;
    // Reads the configuration from the store. What it proves is reported to onReading() before the callback runs. A
    // patient reading waits longer for an answer.
    std::function<void(bool patient, ReadCallback)> readStore;
    // Applies a row that came with an answer, as if it had been read. It is reported to onRow().
    std::function<void(const StoreRow&)> applyRow;
    // Whether the store's era was known to be at least this old.
    std::function<bool(Duration age)> eraIsOlderThan;
    // The configuration has become recent, or is not recent any more. May be null.
    std::function<void(bool recent, Time now)> recentChanged;
};

// Counts since the start.
struct ConfigurationProofStatistics {
    std::uint64_t questions = 0;
    std::uint64_t unansweredQuestions = 0;
    std::uint64_t readings = 0;
    std::uint64_t failedReadings = 0;
    // Permissions that were refused because the configuration was not known to be recent.
    std::uint64_t refusals = 0;

    bool operator==(const ConfigurationProofStatistics&) const = default;
};

// Keeps the time up to which the configuration in force is proven to contain every version that the store had
// acknowledged, and asks for further proofs.
//
// A proof is worth the time at which the call or the question was sent, however late its answer arrives. So neither a
// delay, nor a process or a prover that was frozen in between, makes a configuration look more recent than it is.
//
// Example:
//     ConfigurationProof proof(std::chrono::seconds(5), timers, hooks);
//     proof.onRow(row, true);
//     proof.onReading(result.sentAt, result.version, now);
//     proof.tick(now); // asks the prover or the store if the proof is old
//     if (proof.isRecent(now)) ...
class ConfigurationProof {
public:
    // Parts of the revocation limit after which a further proof is asked for, and after which the configuration does
    // not count as recent. The rest is for the statement that was permitted last to be refused or to run.
    static constexpr double askShare = 0.3;
    static constexpr double recentShare = 0.9;
    // Longest wait for the prover.
    static constexpr Duration proverTimeout = std::chrono::milliseconds(300);
    // Shortest time between two questions, and between the starts of two readings of which the first has failed.
    static constexpr Duration minAskInterval = std::chrono::milliseconds(200);
    static constexpr Duration failedReadInterval = std::chrono::seconds(1);
    // Time in a new era of the store for which a reading proves nothing, because the operators have not written again
    // what was lost.
    static constexpr Duration eraSettleTime = std::chrono::milliseconds(2500);
    // Time after which a reading counts as lost. Every call to the store ends earlier.
    static constexpr Duration readingLostAfter = std::chrono::seconds(5);

    ConfigurationProof(Duration revocationLimit, TimerService& timers, ConfigurationProofHooks hooks);
    ~ConfigurationProof();
    ConfigurationProof(const ConfigurationProof&) = delete;
    ConfigurationProof& operator=(const ConfigurationProof&) = delete;

    // Notes a configuration row that was applied, whoever has told it, or one that could not be decoded.
    void onRow(const StoreRow& row, bool readable);
    // Notes a reading of the table whose rows have been applied.
    void onReading(Time sentAt, StoreVersion version, Time now);
    // The store has come back from a copy.
    void onEraChanged(std::uint64_t newEra, Time now);
    // Asks if it is time to. Must be called several times a second.
    void tick(Time now);
    // Reads the store. The callback tells whether the reading has proven the time at which this was called. Returns
    // false, and does nothing, if a reading failed less than a second ago or can prove nothing yet.
    bool read(Time now, std::function<void(bool proven, Time now)> callback);

    // Whether the configuration in force may be relied on. Counts refusals.
    bool isRecent(Time now);
    // Time up to which the configuration is proven to be complete; no value without any proof.
    [[nodiscard]] std::optional<Time> provenUntil() const { return this->proven; }
    // Newest row that was applied; its version is not set before the first one.
    [[nodiscard]] const StoreRow& newestRow() const { return this->newest; }
    // Version of the row in the newest era that was seen; its number is 0 if no row of that era was applied.
    [[nodiscard]] StoreVersion rowVersion() const;
    [[nodiscard]] const ConfigurationProofStatistics& statistics() const { return this->counts; }
    // Time after which a further proof is asked for.
    [[nodiscard]] Duration askAge() const { return this->askAfter; }

private:
    [[nodiscard]] bool holds(Time now) const { return this->proven && now < *this->proven + this->recentFor; }
    [[nodiscard]] Time dueAt() const;
    void prove(Time upTo);
    void ask(Time now);
    void onAnswer(std::uint64_t number, Time sentAt, const std::optional<ConfigurationAnswer>& answer, Time now);
    [[nodiscard]] bool takeAnswer(Time sentAt, const ConfigurationAnswer& answer);
    void onQuestionFailed(Time now);
    void report(Time now);
    void wakeLater(Time now);

    Duration askAfter;
    Duration recentFor;
    TimerService& timers;
    ConfigurationProofHooks hooks;
    std::optional<Time> proven;
    StoreRow newest;
    // Version of a row that could not be decoded. While it is here, nothing more is proven.
    std::optional<StoreVersion> unreadable;
    std::uint64_t era = 0;
    // Nothing that was sent before proves anything, because the store has come back from a copy.
    Time blockedUntil = Time::min();
    // Readings that were sent before prove only what the age of the era allows: this daemon has not seen it begin.
    Time unsettledUntil = Time::min();
    // Number and time of the outstanding question; no time if there is none.
    std::uint64_t questionNumber = 0;
    std::optional<Time> questionSentAt;
    Time askedAt = Time::min();
    // Time of the next question by the prover's advice; no value without an answer since the last own reading.
    std::optional<Time> advisedAt;
    // Time of the latest reading, and whether it is outstanding or has failed.
    Time readAt = Time::min();
    std::uint64_t readingNumber = 0;
    bool reading = false;
    bool lastReadFailed = false;
    bool wasRecent = false;
    std::uint64_t timer = 0;
    Time timerDue = Time::max();
    ConfigurationProofStatistics counts;
    // Expires with this object. Callbacks hold a weak reference and do nothing once it has expired.
    std::shared_ptr<int> lifetime = std::make_shared<int>(0);
};

} // namespace endivetrestle
