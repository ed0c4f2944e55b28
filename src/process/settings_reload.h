#pragma once

#include "process/proxy_settings.h"

#include <string>
#include <vector>

namespace endivetrestle {

// Result of reloading the settings of a running daemon.
struct SettingsReload {
    // Settings in force from now on.
    ProxySettings settings;
    // Names of the settings that took effect.
    std::vector<std::string> changed;
    // Names of settings that differ and take effect only with a restart.
    std::vector<std::string> needRestart;

    bool operator==(const SettingsReload&) const = default;
};

// Decides which of the new settings a running daemon applies. Its name, its location and the addresses on which it
// listens are known to other processes and change only with a restart.
SettingsReload planReload(const ProxySettings& present, const ProxySettings& next);

} // namespace endivetrestle
