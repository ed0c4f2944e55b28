#pragma once

#include "base/timer_service.h"
#include "process/configuration_proof.h"

#include <functional>
#include <memory>
#include <vector>

namespace endivetrestle {

// Answers the questions of other daemons whether their configuration is complete, with one reading of the store for
// all that arrive within a short time.
//
// A reading proves something only to the questions that arrived before it was sent. Questions that arrive later wait
// for the next one.
class ConfigurationProver {
public:
    using Callback = std::function<void(const ConfigurationAnswer&)>;

    // Longest time that a question waits for others before the reading is sent.
    static constexpr Duration window = std::chrono::milliseconds(100);

    // The proof must outlive this object.
    ConfigurationProver(ConfigurationProof& proof, TimerService& timers);
    ~ConfigurationProver();
    ConfigurationProver(const ConfigurationProver&) = delete;
    ConfigurationProver& operator=(const ConfigurationProver&) = delete;

    // Answers a question once the store has been read. The callback runs once.
    void onQuestion(const ConfigurationQuestion& question, Time now, Callback callback);

    // Questions that were answered with a proof, and those that were not.
    [[nodiscard]] std::uint64_t provenAnswers() const { return this->proven; }
    [[nodiscard]] std::uint64_t refusedAnswers() const { return this->refused; }

private:
    struct Waiting {
        ConfigurationQuestion question;
        Callback callback;
    };

    void readLater(Time now);
    void read(Time now);
    void answer(const std::vector<Waiting>& questions, bool isProven, Time now);
    [[nodiscard]] Duration untilSharedReading(Time now) const;

    ConfigurationProof& proof;
    TimerService& timers;
    std::vector<Waiting> waiting;
    // Earliest time of the next reading: the end of the window of the question that has waited longest.
    Time readDue;
    bool timerSet = false;
    std::uint64_t timer = 0;
    bool reading = false;
    // Time of the next reading that is meant for the questions of all daemons.
    Time sharedReadingAt;
    std::uint64_t proven = 0;
    std::uint64_t refused = 0;
    // Expires with this object. Callbacks hold a weak reference and do nothing once it has expired.
    std::shared_ptr<int> lifetime = std::make_shared<int>(0);
};

} // namespace endivetrestle
