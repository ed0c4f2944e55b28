#include "tool/raw_sender.h"

#include "request/execute_kind.h"

namespace endivetrestle::internal {

namespace {

CallerAnswer toAnswer(EndpointResult<ExecuteAnswer> result)
{
    if (result.error != ErrorCode::None) {
        const bool isRefused = !result.sent || result.error == ErrorCode::ConnectionLimit;
        return failedAnswer(isRefused ? OutcomeState::DidNotRun : OutcomeState::Unknown, result.error, result.detail);
    }
    CallerAnswer answer;
    const bool isDone = result.answer.code == ErrorCode::None;
    answer.status = 200;
    answer.state = isDone ? OutcomeState::Completed : OutcomeState::DidNotRun;
    answer.code = result.answer.code;
    answer.rows = std::move(result.answer.rows);
    answer.position = result.answer.position;
    answer.servedBy = result.answer.status.endpoint.value;
    answer.replica = result.answer.status.role == EndpointRole::Replica;
    answer.detail = std::move(result.answer.detail);
    return answer;
}

CallerAnswer toAnswer(const EndpointResult<ResolveAnswer>& result)
{
    if (result.error != ErrorCode::None || result.answer.code != ErrorCode::None)
        return failedAnswer(
            OutcomeState::Unknown, result.error != ErrorCode::None ? result.error : result.answer.code, result.detail);
    auto answer = failedAnswer(result.answer.ran ? OutcomeState::Completed : OutcomeState::DidNotRun,
        result.answer.ran ? ErrorCode::None : ErrorCode::RequestAborted, "");
    answer.rows = result.answer.rows;
    answer.position = result.answer.position;
    return answer;
}

} // namespace

RawSender::RawSender(kj::AsyncIoProvider& provider, std::map<DatabaseId, DaemonAddress> endpoints)
    : provider(provider)
    , endpoints(std::move(endpoints))
{
}

kj::Promise<CallerAnswer> RawSender::send(std::size_t session, CallerCall call)
{
    const Key key { session, call.database };
    const auto found = this->connections.find(key);
    if (found == this->connections.end() || !found->second->usable())
        return this->connectAndSend(key, std::move(call));
    if (call.kind == RequestKind::Resolve)
        return this->resolve(*found->second, call);
    return this->execute(*found->second, call);
}

kj::Promise<CallerAnswer> RawSender::connectAndSend(Key key, CallerCall call)
{
    const auto endpoint = this->endpoints.find(key.second);
    if (endpoint == this->endpoints.end())
        return failedAnswer(OutcomeState::DidNotRun, ErrorCode::UnknownDatabase, key.second.value);
    EndpointConnectOptions options;
    options.address = toString(endpoint->second);
    options.daemon = DaemonId("load");
    options.timeout = call.deadline;
    return connectEndpoint(this->provider.getNetwork(), this->provider.getTimer(), options)
        .then([this, key, call = std::move(call)](
                  EndpointResult<kj::Own<EndpointClient>> opened) mutable -> kj::Promise<CallerAnswer> {
            if (opened.error != ErrorCode::None)
                return failedAnswer(OutcomeState::DidNotRun, opened.error, opened.detail);
            this->connections[key] = kj::mv(opened.answer);
            return this->send(key.first, std::move(call));
        });
}

kj::Promise<CallerAnswer> RawSender::execute(EndpointClient& client, const CallerCall& call)
{
    ExecuteCall execute;
    execute.callNumber = ++this->lastCall;
    execute.requestId = call.requestId;
    execute.kind = executeKindOf(call.kind);
    execute.statement = call.statement;
    return client.execute(execute, call.deadline).then([](Result result) { return toAnswer(std::move(result)); });
}

// The term is not known without asking, and a wrong one is refused, so the endpoint's own term is used.
kj::Promise<CallerAnswer> RawSender::resolve(EndpointClient& client, const CallerCall& call)
{
    return client.status(call.deadline)
        .then([&client, call](EndpointResult<EndpointStatus> status) -> kj::Promise<CallerAnswer> {
            if (status.error != ErrorCode::None)
                return failedAnswer(OutcomeState::Unknown, status.error, status.detail);
            return client.resolve({ call.requestId, status.answer.term }, call.deadline)
                .then([](EndpointResult<ResolveAnswer> result) { return toAnswer(result); });
        });
}

} // namespace endivetrestle::internal
