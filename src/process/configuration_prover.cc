#include "process/configuration_prover.h"

#include <algorithm>
#include <utility>

namespace endivetrestle {

ConfigurationProver::ConfigurationProver(ConfigurationProof& proof, TimerService& timers)
    : proof(proof)
    , timers(timers)
{
}

ConfigurationProver::~ConfigurationProver() { this->timers.cancel(this->timer); }

void ConfigurationProver::onQuestion(const ConfigurationQuestion& question, Time now, Callback callback)
{
    if (this->waiting.empty())
        this->readDue = now + window;
    this->waiting.push_back({ question, std::move(callback) });
    if (!this->reading)
        this->readLater(now);
}

void ConfigurationProver::readLater(Time now)
{
    if (this->readDue <= now) {
        this->read(now);
        return;
    }
    if (std::exchange(this->timerSet, true))
        return;
    this->timer = this->timers.subscribeAt(this->readDue, [this](Time at) {
        this->timerSet = false;
        this->read(at);
    });
}

void ConfigurationProver::read(Time now)
{
    const auto questions = std::make_shared<const std::vector<Waiting>>(std::exchange(this->waiting, {}));
    const bool sent
        = this->proof.read(now, [this, questions, weak = std::weak_ptr<int>(this->lifetime)](bool isProven, Time at) {
              if (weak.expired())
                  return;
              this->reading = false;
              this->answer(*questions, isProven, at);
              if (!this->waiting.empty())
                  this->readLater(at);
          });
    if (!sent) {
        this->answer(*questions, false, now);
        return;
    }
    this->reading = true;
    // A reading for a single daemon that asks at another time does not move the time of the others.
    const auto period = this->proof.askAge();
    if (now >= this->sharedReadingAt - window)
        this->sharedReadingAt = now + period;
}

// Advises the asking daemon to ask just before the shared reading, so that the daemons of a part come to ask together
// whenever they started.
Duration ConfigurationProver::untilSharedReading(Time now) const
{
    return std::max(Duration::zero(), this->sharedReadingAt - window - now);
}

void ConfigurationProver::answer(const std::vector<Waiting>& questions, bool isProven, Time now)
{
    ConfigurationAnswer answer;
    answer.proven = isProven;
    if (isProven) {
        answer.version = this->proof.rowVersion();
        answer.askAgainIn = this->untilSharedReading(now);
    }
    for (const auto& entry : questions) {
        answer.row.reset();
        if (isProven && entry.question.known < this->proof.newestRow().version)
            answer.row = this->proof.newestRow();
        entry.callback(answer);
    }
    (isProven ? this->proven : this->refused) += questions.size();
}

} // namespace endivetrestle
