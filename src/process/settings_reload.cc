#include "process/settings_reload.h"

namespace endivetrestle {

namespace {

template <typename Value>
void takeOver(SettingsReload& reload, const char* name, Value ProxySettings::*member, const ProxySettings& next)
{
    if (reload.settings.*member == next.*member)
        return;
    reload.settings.*member = next.*member;
    reload.changed.emplace_back(name);
}

template <typename Value>
void keep(SettingsReload& reload, const char* name, Value ProxySettings::*member, const ProxySettings& next)
{
    if (reload.settings.*member != next.*member)
        reload.needRestart.emplace_back(name);
}

} // namespace

SettingsReload planReload(const ProxySettings& present, const ProxySettings& next)
{
    SettingsReload reload { present, {}, {} };
    takeOver(reload, "store_address", &ProxySettings::storeAddress, next);
    takeOver(reload, "promotion_address", &ProxySettings::promotionAddress, next);
    takeOver(reload, "seeds", &ProxySettings::seeds, next);
    takeOver(reload, "stop_grace", &ProxySettings::stopGrace, next);
    takeOver(reload, "descriptor_limit", &ProxySettings::descriptorLimit, next);
    takeOver(reload, "memory_limit", &ProxySettings::memoryLimitMb, next);
    keep(reload, "daemon", &ProxySettings::daemon, next);
    keep(reload, "data_centre", &ProxySettings::dataCentre, next);
    keep(reload, "region", &ProxySettings::region, next);
    keep(reload, "client_address", &ProxySettings::clientAddress, next);
    keep(reload, "readiness_address", &ProxySettings::readinessAddress, next);
    keep(reload, "peer_address", &ProxySettings::peerAddress, next);
    keep(reload, "forward_address", &ProxySettings::forwardAddress, next);
    keep(reload, "advertised_peer_address", &ProxySettings::advertisedPeerAddress, next);
    keep(reload, "advertised_forward_address", &ProxySettings::advertisedForwardAddress, next);
    keep(reload, "metrics_port", &ProxySettings::metricsPort, next);
    return reload;
}

} // namespace endivetrestle
