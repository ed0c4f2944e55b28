#pragma once

#include "base/clock.h"
#include "edge/json_http.h"
#include "request/endpoint_call.h"

#include <kj/async-io.h>
#include <kj/timer.h>

#include <string>

namespace endivetrestle {

// Answer of one call to an endpoint, or the reason for which there is none.
template <typename Answer> struct EndpointResult {
    // None: the answer is valid and belongs to the call. EndpointUnreachable: the connection failed or was refused.
    // DeadlineExceeded: no answer within the timeout. AnswerMismatch: malformed, or belongs to another call.
    // ConnectionLimit and other codes: the endpoint refused the call as a whole and nothing ran.
    ErrorCode error = ErrorCode::None;
    Answer answer {};
    std::string detail;
    // False only if it is certain that no part of the call was handed to the socket, so that it did not run.
    bool sent = true;
};

// The narrow interface that the proxy assumes of a member of a database group, for one connection. The promises never
// fail. After EndpointUnreachable, DeadlineExceeded or AnswerMismatch the connection must not be used again: usable()
// is false and every call returns at once with sent == false. Make one call at a time on a connection that carries
// statements; a watch holds up later answers on its connection. The client may be destroyed while calls are in flight.
class EndpointClient {
public:
    virtual ~EndpointClient() noexcept(false) = default;

    // Runs one statement. The caller chooses callNumber so that it is unique in the process.
    virtual kj::Promise<EndpointResult<ExecuteAnswer>> execute(const ExecuteCall& call, Duration timeout) = 0;

    // Reports the endpoint's state.
    virtual kj::Promise<EndpointResult<EndpointStatus>> status(Duration timeout) = 0;

    // Answers with the state when the endpoint's last log position is above `after`, or when `wait` is over.
    virtual kj::Promise<EndpointResult<EndpointStatus>> watch(Position after, Duration wait, Duration timeout) = 0;

    virtual kj::Promise<EndpointResult<FenceAnswer>> fence(const FenceCall& call, Duration timeout) = 0;
    virtual kj::Promise<EndpointResult<FenceAnswer>> promote(const PromoteCall& call, Duration timeout) = 0;
    virtual kj::Promise<EndpointResult<ResolveAnswer>> resolve(const ResolveCall& call, Duration timeout) = 0;

    // Rolls back the connection's open transaction, if there is one, so that another caller may use the connection.
    virtual kj::Promise<EndpointResult<EndpointStatus>> reset(Duration timeout) = 0;

    // Whether another call may be made.
    [[nodiscard]] virtual bool usable() const = 0;
};

struct EndpointConnectOptions {
    // Numeric "address:port".
    std::string address;
    // If set, an answer whose status names another endpoint is an AnswerMismatch.
    EndpointId endpoint;
    DaemonId daemon;
    DataCentre dataCentre;
    // A control connection carries no statements and does not count towards the endpoint's connection limit.
    bool control = false;
    // Time for the TCP connection and the endpoint's answer to the opening call together.
    Duration timeout = std::chrono::seconds(1);
    std::size_t bodyLimit = defaultBodyLimit;
};

// Opens one connection. The result's answer is null if error is set. The promise never fails.
//
// Example:
//     return connectEndpoint(network, timer, options).then([](auto opened) {
//         if (opened.error != ErrorCode::None)
//             return report(opened.error);
//         return use(kj::mv(opened.answer));
//     });
kj::Promise<EndpointResult<kj::Own<EndpointClient>>> connectEndpoint(
    kj::Network& network, kj::Timer& timer, EndpointConnectOptions options);

} // namespace endivetrestle
