#pragma once

#include "edge/endpoint_client.h"
#include "tool/caller_message.h"

#include <kj/async-io.h>

#include <map>
#include <string>
#include <utility>

namespace endivetrestle::internal {

// Sends calls directly to the primary endpoints of databases, over one connection per session and database. It is the
// baseline against which the latency that the proxy adds is measured. Reads run at the primary, and an answer counts
// as completed when the primary has it, without waiting for a majority. Used on one event loop.
class RawSender {
public:
    RawSender(kj::AsyncIoProvider& provider, std::map<DatabaseId, DaemonAddress> endpoints);

    // Sends a call for a session, one at a time per session. Never fails. Begin opens the transaction of the session's
    // connection. Unknown databases give unknown_database.
    kj::Promise<CallerAnswer> send(std::size_t session, CallerCall call);

private:
    using Key = std::pair<std::size_t, DatabaseId>;
    using Result = EndpointResult<ExecuteAnswer>;

    kj::Promise<CallerAnswer> connectAndSend(Key key, CallerCall call);
    kj::Promise<CallerAnswer> execute(EndpointClient& client, const CallerCall& call);
    kj::Promise<CallerAnswer> resolve(EndpointClient& client, const CallerCall& call);

    kj::AsyncIoProvider& provider;
    std::map<DatabaseId, DaemonAddress> endpoints;
    std::map<Key, kj::Own<EndpointClient>> connections;
    std::uint64_t lastCall = 0;
};

} // namespace endivetrestle::internal
