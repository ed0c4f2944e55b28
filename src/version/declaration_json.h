#pragma once

#include "version/configuration.h"

#include <optional>
#include <string>
#include <vector>

namespace endivetrestle {

// JSON form of the parts of a document, shared by documents, intents and plans. The parse functions append problems to
// the given list and return what could be read.

EndpointDeclaration parseEndpoint(const nlohmann::json& value, const std::string& source, const std::string& path,
    std::vector<JsonProblem>& problems);
DatabaseDeclaration parseDatabase(const nlohmann::json& value, const std::string& source, const std::string& path,
    std::vector<JsonProblem>& problems);
CallerDeclaration parseCaller(const nlohmann::json& value, const std::string& source, const std::string& path,
    std::vector<JsonProblem>& problems);
ConfigurationDocument parseDocument(const nlohmann::json& value, const std::string& source, const std::string& path,
    std::vector<JsonProblem>& problems);

// Reads "maxReadAgeMs", 0 ms to 24 h; no value if the key is missing.
std::optional<Duration> readMaxReadAge(ObjectReader& reader);
// Allowed numbers of slots and of connections per endpoint.
inline constexpr NumberRange slotRange { 1, 10000 };
inline constexpr NumberRange connectionRange { 1, 100000 };

nlohmann::json toJson(const EndpointDeclaration& endpoint);
nlohmann::json toJson(const DatabaseDeclaration& database);
nlohmann::json toJson(const CallerDeclaration& caller);
nlohmann::json toJson(const ConfigurationDocument& document);

} // namespace endivetrestle
