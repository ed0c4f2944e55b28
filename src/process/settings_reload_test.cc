#include "process/settings_reload.h"

#include <catch2/catch.hpp>

using namespace endivetrestle;

namespace {

ProxySettings sample()
{
    ProxySettings settings;
    settings.daemon = DaemonId("d1");
    settings.storeAddress = { "10.0.0.1", 80 };
    settings.clientAddress = { "10.0.0.2", 81 };
    return settings;
}

} // namespace

TEST_CASE("planReload, applies settings that may change while the daemon runs")
{
    auto next = sample();
    next.storeAddress = { "10.0.0.9", 80 };
    next.stopGrace = std::chrono::seconds(20);
    const auto reload = planReload(sample(), next);
    CHECK(reload.settings == next);
    CHECK(reload.changed == std::vector<std::string> { "store_address", "stop_grace" });
    CHECK(reload.needRestart.empty());
}

// Guards against a daemon that uses another name than the one in its lease.
TEST_CASE("planReload, keeps settings that other processes know and reports that they need a restart")
{
    auto next = sample();
    next.daemon = DaemonId("d2");
    next.clientAddress = { "10.0.0.3", 81 };
    const auto reload = planReload(sample(), next);
    CHECK(reload.settings == sample());
    CHECK(reload.changed.empty());
    CHECK(reload.needRestart == std::vector<std::string> { "daemon", "client_address" });
}

TEST_CASE("planReload, changes nothing when the file is the same")
{
    CHECK(planReload(sample(), sample()) == SettingsReload { sample(), {}, {} });
}
