// Signals, settings that change while the daemon runs, and the planned stop.
#include "edge/session_proxy.h"

#include "base/boot_clock.h"
#include "base/log.h"
#include "process/settings_reload.h"

#include <algorithm>
#include <csignal>

namespace endivetrestle {

namespace {

// Interval at which the settings file is looked at, because it may change without a signal.
constexpr Duration settingsInterval = std::chrono::seconds(2);
// Descriptors kept for files, the store, other daemons and endpoints.
constexpr int reservedDescriptors = 500;

} // namespace

void SessionProxy::waitForSignal()
{
    this->signals.async_wait([this](const asio::error_code& error, int signal) {
        if (error)
            return;
        if (signal == SIGHUP)
            this->reloadSettings("signal");
        else if (!this->stopping)
            this->beginStop();
        this->waitForSignal();
    });
}

std::size_t SessionProxy::sessionLimit() const
{
    constexpr int fewestSessions = 64;
    return static_cast<std::size_t>(std::max(fewestSessions, this->settings.descriptorLimit - reservedDescriptors));
}

void SessionProxy::reloadSettings(const std::string& cause)
{
    const auto next = this->readSettings ? this->readSettings() : std::nullopt;
    if (!next) {
        logEvent(LogLevel::Warning, "settings_kept", { { "cause", cause } });
        return;
    }
    const auto join = [](const std::vector<std::string>& names) {
        std::string text;
        for (const auto& name : names)
            text += (text.empty() ? "" : ",") + name;
        return text;
    };
    const auto reload = planReload(this->settings, *next);
    this->settings = reload.settings;
    this->storeClient.setServer(this->settings.storeAddress);
    this->promotions.setServer(this->settings.promotionAddress);
    this->sessions->setMaxSessions(this->sessionLimit());
    logEvent(LogLevel::Info, "settings_reloaded",
        { { "cause", cause }, { "changed", join(reload.changed) }, { "need_restart", join(reload.needRestart) } });
}

void SessionProxy::beginStop()
{
    const auto now = bootNow();
    this->stopping = true;
    this->stopPlan = planStop(now, this->settings.stopGrace);
    logEvent(LogLevel::Info, "stop_requested",
        { { "sessions", this->sessions->sessions() }, { "grace_ms", toMilliseconds(this->settings.stopGrace) } });
    this->links->announceLeaving();
    this->timers.subscribeAt(this->stopPlan.endSessionsAt, [this](Time) { this->sessions->closeIdleSessions(); });
    this->timers.subscribeAt(this->stopPlan.refuseTransactionsAt, [this](Time) { this->refuseTransactions(); });
    this->timers.subscribeAt(this->stopPlan.refuseStatementsAt, [this](Time) { this->refuseStatements(); });
    this->timers.subscribeAt(this->stopPlan.answerRestAt, [this](Time) { this->answerRest(); });
}

void SessionProxy::refuseTransactions()
{
    this->sessions->accept(StatementAcceptance::NoTransactions);
    this->sessions->abortTransactions("the daemon is stopping");
}

void SessionProxy::refuseStatements()
{
    this->sessions->accept(StatementAcceptance::None);
    this->sessions->abortTransactions("the daemon is stopping");
}

void SessionProxy::answerRest()
{
    this->sessions->expireStatements();
    this->links->expireStatements(bootNow());
}

// Gives up the primaries and the lease, and ends the process when the store has answered.
void SessionProxy::finishStop()
{
    this->leaseReleased = true;
    this->refuseStatements();
    this->sessions->stopAccepting();
    this->fleet->stop([this] { this->finished = true; });
    const auto storeLimit = this->stopPlan.endAt - this->stopPlan.releaseLeaseAt;
    this->timers.subscribeAt(bootNow() + storeLimit, [this](Time) { this->finished = true; });
}

// Gives up the lease when nothing is left to finish, or when the grace period is nearly over.
void SessionProxy::checkStop(Time now)
{
    if (!this->stopping || this->leaseReleased)
        return;
    const bool sessionsEnded
        = this->sessions->sessions() == 0 && this->links->idle() && now > this->stopPlan.refuseTransactionsAt;
    if (sessionsEnded || now >= this->stopPlan.releaseLeaseAt)
        this->finishStop();
}

// Looks at the settings file at intervals, because it may change without a signal.
void SessionProxy::watchSettings()
{
    this->timers.subscribeEvery(bootNow() + settingsInterval, settingsInterval, [this](Time) {
        if (this->settingsChanged && this->settingsChanged())
            this->reloadSettings("file_changed");
    });
}

} // namespace endivetrestle
