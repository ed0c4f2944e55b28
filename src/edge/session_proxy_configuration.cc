// Proof that the configuration in force is recent: what it asks of the store and of other daemons.
#include "edge/session_proxy.h"

#include "base/boot_clock.h"
#include "base/log.h"

#include <algorithm>

namespace endivetrestle {

bool SessionProxy::needsConfigurationProof() const
{
    return this->settings.failClosed && this->routes && this->routes->workspacesInUse;
}

bool SessionProxy::configurationIsRecent(Time now)
{
    return !this->needsConfigurationProof() || this->configurationProof->isRecent(now);
}

void SessionProxy::makeConfigurationProof()
{
    ConfigurationProofHooks hooks;
    hooks.isNeeded = [this] { return this->needsConfigurationProof(); };
    hooks.askProver
        = [this](const ConfigurationQuestion& question, const ConfigurationProofHooks::AnswerCallback& callback) {
              return this->askProver(question, callback);
          };
    hooks.readStore = [this](bool patient, ConfigurationProofHooks::ReadCallback callback) {
        auto ended = [callback = std::move(callback)](bool done) { callback(done, bootNow()); };
        if (patient)
            this->configurationFeed->readOnce(std::move(ended));
        else
            this->configurationFeed->catchUp(std::move(ended));
    };
    hooks.applyRow = [this](const StoreRow& row) { this->onConfigurationRows({ row }); };
    hooks.eraIsOlderThan = [this](Duration age) { return this->fleet->eraIsOlderThan(age); };
    hooks.recentChanged = [this](bool recent, Time now) { this->logConfigurationRecency(recent, now); };
    this->configurationProof
        = std::make_unique<ConfigurationProof>(this->settings.revocationLimit, this->timers, std::move(hooks));
    this->configurationProver = std::make_unique<ConfigurationProver>(*this->configurationProof, this->timers);
}

// The prover is the daemon that renews leases for this part of the fleet. A daemon that is the prover itself shares its
// reading with the daemons that ask it.
bool SessionProxy::askProver(
    const ConfigurationQuestion& question, const ConfigurationProofHooks::AnswerCallback& callback)
{
    const auto prover = this->fleet->firstOfPart();
    if (!prover)
        return false;
    if (*prover == this->settings.daemon) {
        this->configurationProver->onQuestion(
            question, bootNow(), [callback](const ConfigurationAnswer& answer) { callback(answer, bootNow()); });
        return true;
    }
    const auto lease = std::find_if(
        this->otherLeases.begin(), this->otherLeases.end(), [&](const LeaseRow& row) { return row.daemon == *prover; });
    if (lease == this->otherLeases.end())
        return false;
    this->peers.askConfiguration(lease->address, question,
        [callback](const std::optional<ConfigurationAnswer>& answer) { callback(answer, bootNow()); });
    return true;
}

void SessionProxy::answerConfigurationQuestion(const ConfigurationQuestion& question, HttpServer::Answer answer)
{
    this->configurationProver->onQuestion(
        question, bootNow(), [answer = std::move(answer)](const ConfigurationAnswer& proof) {
            answer(HttpResponse { 200, "application/json", encodeMessage(proof) });
        });
}

void SessionProxy::logConfigurationRecency(bool recent, Time now)
{
    const auto decision = this->logLimiter.decide(recent ? "configuration_recent" : "configuration_not_recent", now);
    if (!decision.write)
        return;
    const auto state = this->configurationProofState(now);
    const auto prover = this->fleet->firstOfPart();
    logEvent(recent ? LogLevel::Info : LogLevel::Warning, recent ? "configuration_recent" : "configuration_not_recent",
        { { "proof_age_ms", state.ageSeconds * 1000 }, { "limit_ms", toMilliseconds(this->settings.revocationLimit) },
            { "configuration", this->routes ? this->routes->version : 0 },
            { "row_version", toString(this->configurationProof->newestRow().version) },
            { "prover", prover ? prover->value : "" }, { "questions", state.statistics.questions },
            { "unanswered", state.statistics.unansweredQuestions }, { "readings", state.statistics.readings },
            { "readings_failed", state.statistics.failedReadings }, { "refusals", state.statistics.refusals },
            { "left_out", decision.suppressed } });
}

ConfigurationProofState SessionProxy::configurationProofState(Time now) const
{
    ConfigurationProofState state;
    state.needed = this->needsConfigurationProof();
    if (const auto until = this->configurationProof->provenUntil())
        state.ageSeconds = toSeconds(now - *until);
    state.statistics = this->configurationProof->statistics();
    state.provenAnswers = this->configurationProver->provenAnswers();
    state.refusedAnswers = this->configurationProver->refusedAnswers();
    return state;
}

} // namespace endivetrestle
