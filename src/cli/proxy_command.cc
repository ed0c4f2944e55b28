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
#include <optional>
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

// The settings file of a running daemon, with the text that was read last.
class SettingsFile {
public:
    explicit SettingsFile(std::string path)
        : path(std::move(path))
    {
    }

    // Parses the file; no value if there are problems, which are returned as lines.
    std::optional<ProxySettings> read(std::vector<std::string>& problems)
    {
        auto present = this->text();
        if (!present) {
            problems.push_back(this->path.empty() ? "no settings file is named" : this->path + ": cannot be read");
            return std::nullopt;
        }
        this->lastText = std::move(*present);
        auto result = platform::parseSettingsFile(this->lastText, this->path);
        problems = std::move(result.problems);
        return problems.empty() ? std::optional(std::move(result.settings)) : std::nullopt;
    }

    // Reads the file again and logs all problems in one line.
    std::optional<ProxySettings> readAgain()
    {
        std::vector<std::string> problems;
        auto settings = this->read(problems);
        std::string text;
        for (const auto& problem : problems)
            text += (text.empty() ? "" : "; ") + problem;
        if (!problems.empty())
            logEvent(LogLevel::Error, "settings_unusable", { { "problems", text } });
        return settings;
    }

    [[nodiscard]] bool hasChanged() const
    {
        const auto present = this->text();
        return present && *present != this->lastText;
    }

private:
    [[nodiscard]] std::optional<std::string> text() const
    {
        std::ifstream file(this->path);
        if (!file)
            return std::nullopt;
        std::stringstream content;
        content << file.rdbuf();
        return content.str();
    }

    std::string path;
    std::string lastText;
};

} // namespace

int runProxy(std::vector<std::string>& arguments)
{
    ProxyArguments parsed;
    if (const auto code = parseArguments(parsed.line, arguments))
        return *code;
    const auto path = settingsPath(parsed);
    SettingsFile file(path);
    std::vector<std::string> problems;
    const auto settings = file.read(problems);
    for (const auto& problem : problems)
        std::cerr << problem << "\n";
    if (!settings)
        return ExitUsage;
    if (parsed.check.getValue()) {
        std::cout << path << ": no problems\n";
        return ExitSuccess;
    }
    configureNonblockingLogging(parsed.level.getValue());
    try {
        SessionProxy proxy(*settings);
        proxy.readSettings = [&file] { return file.readAgain(); };
        proxy.settingsChanged = [&file] { return file.hasChanged(); };
        return proxy.run();
    } catch (const std::system_error& error) {
        logEvent(LogLevel::Error, "start_failed", { { "error", error.what() } });
        return ExitUnreachable;
    }
}

} // namespace endivetrestle
