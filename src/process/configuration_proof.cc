#include "process/configuration_proof.h"

#include <algorithm>
#include <utility>

namespace endivetrestle {

namespace {

Duration shareOf(Duration duration, double share)
{
    return Duration(static_cast<Duration::rep>(static_cast<double>(duration.count()) * share));
}

} // namespace

ConfigurationProof::ConfigurationProof(Duration revocationLimit, TimerService& timers, ConfigurationProofHooks hooks)
    : askAfter(shareOf(revocationLimit, askShare))
    , recentFor(shareOf(revocationLimit, recentShare))
    , timers(timers)
    , hooks(std::move(hooks))
{
}

ConfigurationProof::~ConfigurationProof() { this->timers.cancel(this->timer); }

void ConfigurationProof::onRow(const StoreRow& row, bool readable)
{
    if (!readable) {
        const bool superseded = row.version.isSet() && row.version <= this->newest.version;
        if (!superseded)
            this->unreadable = row.version;
        return;
    }
    // The same version may be read again in a form that can be decoded.
    if (this->unreadable && row.version.isSet() && row.version >= *this->unreadable)
        this->unreadable.reset();
    if (row.version >= this->newest.version)
        this->newest = row;
}

void ConfigurationProof::prove(Time upTo)
{
    if (this->unreadable || upTo < this->blockedUntil)
        return;
    this->proven = std::max(this->proven.value_or(upTo), upTo);
}

void ConfigurationProof::onReading(Time sentAt, StoreVersion version, Time now)
{
    if (this->era == 0 && version.era != 0) {
        this->era = version.era;
        this->unsettledUntil = now + eraSettleTime;
    } else if (version.era > this->era) {
        this->onEraChanged(version.era, now);
    }
    if (version.era < this->era)
        return;
    // Judged for the time at which the reading was sent: an answer that comes late tells nothing about the time since.
    if (sentAt < this->unsettledUntil && !this->hooks.eraIsOlderThan(eraSettleTime + (now - sentAt)))
        return;
    this->prove(sentAt);
    this->advisedAt.reset();
}

void ConfigurationProof::onEraChanged(std::uint64_t newEra, Time now)
{
    this->era = newEra;
    this->blockedUntil = now + eraSettleTime;
}

bool ConfigurationProof::read(Time now, std::function<void(bool, Time)> callback)
{
    const bool unsettled = now < this->unsettledUntil && !this->hooks.eraIsOlderThan(eraSettleTime);
    if (now < this->blockedUntil || unsettled || (this->lastReadFailed && now < this->readAt + failedReadInterval))
        return false;
    this->readAt = now;
    this->reading = true;
    ++this->counts.readings;
    this->hooks.readStore(this->lastReadFailed,
        [this, now, callback = std::move(callback), number = ++this->readingNumber,
            weak = std::weak_ptr<int>(this->lifetime)](bool done, Time at) {
            if (weak.expired())
                return;
            const bool worked = done && this->proven && *this->proven >= now;
            this->counts.failedReadings += worked ? 0 : 1;
            if (number == this->readingNumber) {
                this->reading = false;
                this->lastReadFailed = !worked;
            }
            callback(worked, at);
        });
    return true;
}

Time ConfigurationProof::dueAt() const
{
    const auto byAge = this->proven ? *this->proven + this->askAfter : Time::min();
    const auto due = std::max(this->advisedAt ? std::min(byAge, *this->advisedAt) : byAge, this->blockedUntil);
    if (this->askedAt == Time::min())
        return due;
    const auto retryAt = this->lastReadFailed ? std::max(this->askedAt, this->readAt) + failedReadInterval
                                              : this->askedAt + minAskInterval;
    return std::max(due, retryAt);
}

StoreVersion ConfigurationProof::rowVersion() const
{
    const bool isPresent = this->newest.version.era >= this->era;
    return isPresent ? this->newest.version : StoreVersion { this->era, 0 };
}

void ConfigurationProof::tick(Time now)
{
    if (!this->hooks.isNeeded())
        return;
    this->report(now);
    if (this->reading && now >= this->readAt + readingLostAfter) {
        this->reading = false;
        this->lastReadFailed = true;
    }
    if (this->questionSentAt && now >= *this->questionSentAt + proverTimeout)
        this->onQuestionFailed(now);
    if (!this->questionSentAt && !this->reading && now >= this->dueAt())
        this->ask(now);
    this->wakeLater(now);
}

void ConfigurationProof::ask(Time now)
{
    this->askedAt = now;
    this->advisedAt.reset();
    this->questionSentAt = now;
    const bool asked = this->hooks.askProver({ this->newest.version },
        [this, now, number = ++this->questionNumber, weak = std::weak_ptr<int>(this->lifetime)](
            const std::optional<ConfigurationAnswer>& answer, Time at) {
            if (!weak.expired())
                this->onAnswer(number, now, answer, at);
        });
    if (asked) {
        ++this->counts.questions;
        return;
    }
    this->questionSentAt.reset();
    this->read(now, [this](bool, Time at) { this->tick(at); });
}

// An answer that comes after the wait for it has ended still proves the time of its question.
void ConfigurationProof::onAnswer(
    std::uint64_t number, Time sentAt, const std::optional<ConfigurationAnswer>& answer, Time now)
{
    const bool isAwaited = this->questionSentAt && number == this->questionNumber;
    const bool taken = answer && this->takeAnswer(sentAt, *answer);
    if (taken) {
        this->advisedAt = now + answer->askAgainIn;
        if (isAwaited)
            this->questionSentAt.reset();
    } else if (isAwaited) {
        this->onQuestionFailed(now);
    }
    this->tick(now);
}

bool ConfigurationProof::takeAnswer(Time sentAt, const ConfigurationAnswer& answer)
{
    if (!answer.proven || answer.version.era < this->era)
        return false;
    if (answer.row && answer.row->version > this->newest.version)
        this->hooks.applyRow(*answer.row);
    // A row of a later era is newer, but tells nothing about the one that the answer names.
    const bool sameEra = this->newest.version.era == answer.version.era;
    const bool has = !answer.version.isSet() || (sameEra && this->newest.version >= answer.version);
    if (!has || this->unreadable || sentAt < this->blockedUntil)
        return false;
    this->prove(sentAt);
    return true;
}

void ConfigurationProof::onQuestionFailed(Time now)
{
    ++this->counts.unansweredQuestions;
    this->questionSentAt.reset();
    // The feed may have proven enough meanwhile.
    const bool enough = this->proven && now < *this->proven + this->askAfter;
    if (!enough && !this->reading)
        this->read(now, [this](bool, Time at) { this->tick(at); });
}

bool ConfigurationProof::isRecent(Time now)
{
    this->report(now);
    if (this->wasRecent)
        return true;
    ++this->counts.refusals;
    return false;
}

void ConfigurationProof::report(Time now)
{
    const bool recent = this->holds(now);
    if (std::exchange(this->wasRecent, recent) != recent && this->hooks.recentChanged)
        this->hooks.recentChanged(recent, now);
}

// Wakes at the next step, because ticks are too coarse for questions of several daemons to share a reading.
void ConfigurationProof::wakeLater(Time now)
{
    if (this->reading)
        return;
    const auto due = this->questionSentAt ? *this->questionSentAt + proverTimeout : this->dueAt();
    if (due <= now || due == this->timerDue)
        return;
    this->timers.cancel(this->timer);
    this->timerDue = due;
    this->timer = this->timers.subscribeAt(due, [this](Time at) {
        this->timerDue = Time::max();
        this->tick(at);
    });
}

} // namespace endivetrestle
