#include "edge/daemon.h"

#include <fstream>
#include <sstream>

namespace endivetrestle {

namespace {

constexpr std::size_t shortestKey = 16;

std::optional<std::string> readKeyFile(const std::string& path)
{
    std::ifstream file(path);
    if (!file)
        return std::nullopt;
    std::stringstream buffer;
    buffer << file.rdbuf();
    auto text = buffer.str();
    const auto begin = text.find_first_not_of(" \t\r\n");
    if (begin == std::string::npos)
        return std::string();
    return text.substr(begin, text.find_last_not_of(" \t\r\n") - begin + 1);
}

std::string readKey(
    const std::string& path, const std::string& key, const std::string& source, std::vector<JsonProblem>& problems)
{
    auto text = readKeyFile(path);
    if (!text)
        problems.push_back({ source, 0, "secrets." + key, "cannot read the file " + path });
    else if (text->size() < shortestKey)
        problems.push_back({ source, 0, "secrets." + key, "a key needs at least 16 bytes: " + path });
    return text.value_or("");
}

} // namespace

SecretsResult readSecrets(const SecretFiles& files, const std::string& source)
{
    SecretsResult result;
    result.secrets.fleetKey = readKey(files.fleetKeyFile, "fleetKeyFile", source, result.problems);
    result.secrets.operatorKey = readKey(files.operatorKeyFile, "operatorKeyFile", source, result.problems);
    for (const auto& file : files.tokenKeyFiles)
        result.secrets.tokenKeys.push_back(readKey(file, "tokenKeyFiles", source, result.problems));
    return result;
}

} // namespace endivetrestle
