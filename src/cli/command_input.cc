#include "cli/command_input.h"

#include "cli/exit_codes.h"

#include <fstream>
#include <iostream>
#include <sstream>

namespace endivetrestle {

std::optional<int> parseArguments(TCLAP::CmdLine& line, std::vector<std::string>& arguments)
{
    line.setExceptionHandling(false);
    try {
        line.parse(arguments);
    } catch (const TCLAP::ExitException& exit) {
        return exit.getExitStatus() == 0 ? ExitSuccess : ExitUsage;
    } catch (const TCLAP::ArgException& error) {
        std::cerr << error.error() << " " << error.argId() << "; see --help\n";
        return ExitUsage;
    }
    return std::nullopt;
}

std::optional<std::string> readKeyFile(const std::string& path)
{
    std::ifstream file(path);
    std::ostringstream content;
    content << file.rdbuf();
    auto key = content.str();
    key.erase(key.find_last_not_of(" \t\r\n") + 1);
    if (file && !key.empty())
        return key;
    std::cerr << "cannot read a key from " << path << "\n";
    return std::nullopt;
}

bool writeTextFile(const std::string& path, const std::string& text)
{
    std::ofstream file(path, std::ios::binary);
    file << text;
    file.close();
    if (!file)
        std::cerr << "cannot write " << path << "\n";
    return static_cast<bool>(file);
}

std::optional<std::vector<DaemonAddress>> parseDaemons(const std::vector<std::string>& texts)
{
    std::vector<DaemonAddress> daemons;
    for (const auto& text : texts) {
        const auto address = parseDaemonAddress(text);
        if (!address) {
            std::cerr << "not an address of the form IP:PORT: " << text << "\n";
            return std::nullopt;
        }
        daemons.push_back(*address);
    }
    if (!daemons.empty())
        return daemons;
    std::cerr << "at least one daemon is needed\n";
    return std::nullopt;
}

} // namespace endivetrestle
