#include "process/store_version.h"

#include <charconv>

namespace endivetrestle {

std::string toString(const StoreVersion& version)
{
    return std::to_string(version.era) + "." + std::to_string(version.number);
}

std::optional<StoreVersion> parseStoreVersion(const std::string& text)
{
    StoreVersion version;
    const char* end = text.data() + text.size();
    const auto era = std::from_chars(text.data(), end, version.era);
    if (era.ec != std::errc() || era.ptr == end || *era.ptr != '.')
        return std::nullopt;
    const auto number = std::from_chars(era.ptr + 1, end, version.number);
    if (number.ec != std::errc() || number.ptr != end)
        return std::nullopt;
    return version;
}

} // namespace endivetrestle
