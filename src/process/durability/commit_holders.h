#pragma once

#include "base/identifier.h"
#include "base/socket_address.h"
#include "process/endpoint_record.h"

#include <cstdint>
#include <optional>
#include <vector>

// Which endpoint processes may hold a commit that was acknowledged because synchronous replicas had received it. The
// list is kept in the row of the group, so that a daemon that has just started knows it
// (docs/design/commit-holders.md).
namespace endivetrestle {

// One process of an endpoint that may hold acknowledged commits. An endpoint that starts again under its id is another
// holder, because it may have lost its log.
struct CommitHolder {
    EndpointId id;
    // Start of the process as Unix time in milliseconds.
    std::int64_t processStartMs = 0;
    SocketAddress address;
    bool draining = false;

    [[nodiscard]] bool isSameProcess(const CommitHolder& other) const
    {
        return this->id == other.id && this->processStartMs == other.processStartMs;
    }

    bool operator==(const CommitHolder&) const = default;
};

// Holders in the order of their ids and starts; each process stands once.
using CommitHolders = std::vector<CommitHolder>;

CommitHolder holderOf(const EndpointRecord& record);

// Whether the list has the process, whatever its address and state.
bool contains(const CommitHolders& holders, const CommitHolder& holder);
// Whether the list has any process of the endpoint.
bool containsEndpoint(const CommitHolders& holders, const EndpointId& id);
// Whether the list has a later process of the holder's endpoint, so that the holder has ended.
bool containsLater(const CommitHolders& holders, const CommitHolder& holder);
// Returns all holders of both lists. Of a process that is in both, the entry of the second one counts.
CommitHolders merged(const CommitHolders& first, const CommitHolders& second);
// Returns the holders that are not in the second list.
CommitHolders without(const CommitHolders& holders, const CommitHolders& others);
// Returns the list of the processes that are registered now.
CommitHolders holdersOf(const std::vector<EndpointRecord>& listed);
// Whether the list has the processes of all registered endpoints, or later ones if the registry is old.
bool containsAll(const CommitHolders& holders, const std::vector<EndpointRecord>& listed);

// Returns the registered endpoint to which the platform has handed the log of a holder: the holder was draining and is
// not registered any more, and another endpoint of its group is at its address. No value if there is none.
std::optional<EndpointId> successorOf(const CommitHolder& holder, const std::vector<EndpointRecord>& listed);

} // namespace endivetrestle
