#include "cli/proxy_command.h"

#include "base/log.h"
#include "cli/command.h"
#include "cli/command_input.h"
#include "cli/exit_codes.h"
#include "edge/session_proxy.h"
#include "platform/settings_file.h"

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>

namespace endivetrestle {

namespace {

struct ProxyArguments {
    TCLAP::CmdLine line { "Serves client sessions on the users' platform until SIGTERM.", ' ', versionText };
    TCLAP::ValueArg<std::string> level { "", "log-level", "lowest level that is logged: debug, info, warning, error",
        false, "info", "LEVEL", line };
    TCLAP::SwitchArg check { "", "check", "only checks the settings", line };
    TCLAP::UnlabeledValueArg<std::string> file { "settings",
        "settings file; by default the one that ENDIVETRESTLE_CONFIG names", false, "", "FILE", line };
};

std::string settingsPath(const ProxyArguments& parsed)
{
    if (!parsed.file.getValue().empty())
        return parsed.file.getValue();
    const char* path = std::getenv(platform::settingsVariable);
    return path == nullptr ? "" : path;
}

std::optional<ProxySettings> readSettings(const std::string& path)
{
    std::ifstream file(path);
    if (!file) {
        std::cerr << (path.empty() ? "no settings file is named" : path + ": cannot be read") << "\n";
        return std::nullopt;
    }
    std::stringstream text;
    text << file.rdbuf();
    const auto result = platform::parseSettingsFile(text.str(), path);
    for (const auto& problem : result.problems)
        std::cerr << problem << "\n";
    if (!result.problems.empty())
        return std::nullopt;
    return result.settings;
}

} // namespace

int runProxy(std::vector<std::string>& arguments)
{
    ProxyArguments parsed;
    if (const auto code = parseArguments(parsed.line, arguments))
        return *code;
    const auto path = settingsPath(parsed);
    const auto settings = readSettings(path);
    if (!settings)
        return ExitUsage;
    if (parsed.check.getValue()) {
        std::cout << path << ": no problems\n";
        return ExitSuccess;
    }
    configureNonblockingLogging(parsed.level.getValue());
    try {
        SessionProxy proxy(*settings);
        return proxy.run();
    } catch (const std::system_error& error) {
        logEvent(LogLevel::Error, "start_failed", { { "error", error.what() } });
        return ExitUnreachable;
    }
}

} // namespace endivetrestle
