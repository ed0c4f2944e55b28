// Signals, settings that change while the daemon runs, and the planned stop.
#include "edge/session_proxy.h"

#include "base/boot_clock.h"
#include "base/log.h"
#include "process/settings_reload.h"

#include <algorithm>
#include <csignal>

namespace endivetrestle {

namespace {

// Time between SIGTERM and the first sessions that are ended. The balancer needs it to notice that this daemon is not
// ready, so that the clients reconnect to others.
constexpr Duration sessionEndDelay = std::chrono::milliseconds(2200);
// Part of the grace period that is kept for giving the lease back.
constexpr Duration stopReserve = std::chrono::milliseconds(500);
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
    this->store.setServer(this->settings.storeAddress);
    this->promotions.setServer(this->settings.promotionAddress);
    this->sessions->setMaxSessions(this->sessionLimit());
    logEvent(LogLevel::Info, "settings_reloaded",
        { { "cause", cause }, { "changed", join(reload.changed) }, { "need_restart", join(reload.needRestart) } });
}

void SessionProxy::beginStop()
{
    const auto now = bootNow();
    this->stopping = true;
    this->stopAt = now + this->settings.stopGrace - stopReserve;
    logEvent(LogLevel::Info, "stop_requested",
        { { "sessions", this->sessions->sessions() }, { "grace_ms", toMilliseconds(this->settings.stopGrace) } });
    this->links->announceLeaving();
    const auto firstEnd = std::min<Duration>(sessionEndDelay, this->settings.stopGrace / 3);
    this->timers.subscribeAt(now + firstEnd, [this](Time) { this->sessions->closeIdleSessions(); });
    this->timers.subscribeAt(now + this->settings.stopGrace / 2,
        [this](Time) { this->sessions->abortTransactions("the daemon is stopping"); });
}

void SessionProxy::finishStop()
{
    this->sessions->stopAccepting();
    constexpr Duration storeLimit = std::chrono::milliseconds(300);
    this->stopAt = Time::max();
    this->fleet->stop([this] { this->finished = true; });
    this->timers.subscribeAt(bootNow() + storeLimit, [this](Time) { this->finished = true; });
}

// Ends the process when nothing is left to finish, or when the grace period is nearly over.
void SessionProxy::checkStop(Time now)
{
    if (!this->stopping || this->stopAt == Time::max())
        return;
    const bool sessionsEnded
        = this->sessions->sessions() == 0 && this->links->idle() && now + stopReserve > this->stopAt - sessionEndDelay;
    if (sessionsEnded || now >= this->stopAt)
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
