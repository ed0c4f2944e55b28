#include "process/settings_reload.h"

namespace endivetrestle {

namespace {

template <typename Value>
void applyIfChanged(SettingsReload& reload, const char* name, Value ProxySettings::*member, const ProxySettings& next)
{
    if (reload.settings.*member == next.*member)
        return;
    reload.settings.*member = next.*member;
    reload.changed.emplace_back(name);
}

template <typename Value>
void requireRestartIfChanged(
    SettingsReload& reload, const char* name, Value ProxySettings::*member, const ProxySettings& next)
{
    if (reload.settings.*member != next.*member)
        reload.needRestart.emplace_back(name);
}

} // namespace

SettingsReload planReload(const ProxySettings& present, const ProxySettings& next)
{
    SettingsReload reload { present, {}, {} };
    applyIfChanged(reload, "store_address", &ProxySettings::storeAddress, next);
    applyIfChanged(reload, "promotion_address", &ProxySettings::promotionAddress, next);
    applyIfChanged(reload, "seeds", &ProxySettings::seeds, next);
    applyIfChanged(reload, "stop_grace", &ProxySettings::stopGrace, next);
    applyIfChanged(reload, "descriptor_limit", &ProxySettings::descriptorLimit, next);
    applyIfChanged(reload, "memory_limit", &ProxySettings::memoryLimitMb, next);
    requireRestartIfChanged(reload, "daemon", &ProxySettings::daemon, next);
    requireRestartIfChanged(reload, "data_centre", &ProxySettings::dataCentre, next);
    requireRestartIfChanged(reload, "region", &ProxySettings::region, next);
    requireRestartIfChanged(reload, "client_address", &ProxySettings::clientAddress, next);
    requireRestartIfChanged(reload, "readiness_address", &ProxySettings::readinessAddress, next);
    requireRestartIfChanged(reload, "peer_address", &ProxySettings::peerAddress, next);
    requireRestartIfChanged(reload, "forward_address", &ProxySettings::forwardAddress, next);
    requireRestartIfChanged(reload, "advertised_peer_address", &ProxySettings::advertisedPeerAddress, next);
    requireRestartIfChanged(reload, "advertised_forward_address", &ProxySettings::advertisedForwardAddress, next);
    requireRestartIfChanged(reload, "metrics_port", &ProxySettings::metricsPort, next);
    return reload;
}

} // namespace endivetrestle
