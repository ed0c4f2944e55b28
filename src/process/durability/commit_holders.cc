#include "process/durability/commit_holders.h"

#include <algorithm>
#include <tuple>

namespace endivetrestle {

namespace {

bool isBefore(const CommitHolder& left, const CommitHolder& right)
{
    return std::tie(left.id, left.processStartMs) < std::tie(right.id, right.processStartMs);
}

} // namespace

CommitHolder holderOf(const EndpointRecord& record)
{
    return { record.id, record.processStartMs, record.address, record.draining };
}

bool contains(const CommitHolders& holders, const CommitHolder& holder)
{
    return std::any_of(
        holders.begin(), holders.end(), [&](const CommitHolder& other) { return other.isSameProcess(holder); });
}

bool containsEndpoint(const CommitHolders& holders, const EndpointId& id)
{
    return std::any_of(holders.begin(), holders.end(), [&](const CommitHolder& holder) { return holder.id == id; });
}

bool containsLater(const CommitHolders& holders, const CommitHolder& holder)
{
    return std::any_of(holders.begin(), holders.end(), [&](const CommitHolder& other) {
        return other.id == holder.id && other.processStartMs > holder.processStartMs;
    });
}

CommitHolders merged(const CommitHolders& first, const CommitHolders& second)
{
    auto result = second;
    for (const auto& holder : first) {
        if (!contains(result, holder))
            result.push_back(holder);
    }
    std::sort(result.begin(), result.end(), isBefore);
    return result;
}

CommitHolders without(const CommitHolders& holders, const CommitHolders& others)
{
    CommitHolders result;
    std::copy_if(holders.begin(), holders.end(), std::back_inserter(result),
        [&](const CommitHolder& holder) { return !contains(others, holder); });
    return result;
}

CommitHolders holdersOf(const std::vector<EndpointRecord>& listed)
{
    CommitHolders result;
    for (const auto& record : listed)
        result.push_back(holderOf(record));
    std::sort(result.begin(), result.end(), isBefore);
    return result;
}

bool containsAll(const CommitHolders& holders, const std::vector<EndpointRecord>& listed)
{
    return std::all_of(listed.begin(), listed.end(), [&](const EndpointRecord& record) {
        const auto holder = holderOf(record);
        return contains(holders, holder) || containsLater(holders, holder);
    });
}

std::optional<EndpointId> successorOf(const CommitHolder& holder, const std::vector<EndpointRecord>& listed)
{
    if (!holder.draining)
        return std::nullopt;
    std::optional<EndpointId> successor;
    for (const auto& record : listed) {
        if (record.id == holder.id)
            return std::nullopt;
        if (record.address == holder.address)
            successor = record.id;
    }
    return successor;
}

} // namespace endivetrestle
