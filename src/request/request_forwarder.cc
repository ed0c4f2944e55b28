#include "request/request_forwarder.h"

namespace endivetrestle {

namespace {

bool hasEffect(RequestKind kind)
{
    return kind == RequestKind::Write || kind == RequestKind::Commit || kind == RequestKind::Resolve;
}

// Whether another owner may accept a request that was refused with this outcome.
bool anotherOwnerMayServe(const Outcome& outcome)
{
    return outcome.code == ErrorCode::NotOwner || outcome.code == ErrorCode::EndpointUnreachable
        || outcome.code == ErrorCode::ShuttingDown;
}

// Whether forwarding failed after the request was sent, so that the owner has not reported an outcome.
bool forwardFailed(const Outcome& outcome)
{
    return outcome.state == OutcomeState::Unknown
        && (outcome.code == ErrorCode::EndpointUnreachable || outcome.code == ErrorCode::AnswerMismatch);
}

} // namespace

Forwarder::Forwarder(Request request, DaemonId self, DaemonId transactionHolder, ForwarderSettings settings)
    : request(std::move(request))
    , self(std::move(self))
    , transactionHolder(std::move(transactionHolder))
    , settings(settings)
    // A refused resolve tells nothing about the outcome of the original request.
    , mayHaveRun(this->request.kind == RequestKind::Resolve)
{
}

ForwardStep Forwarder::sendTo(const DaemonId& daemon)
{
    ++this->attempts;
    this->lastTarget = daemon;
    if (daemon == this->self)
        return RunLocally { this->request };
    return ForwardTo { daemon, this->request };
}

ForwardStep Forwarder::start(const std::vector<DaemonId>& owners, Time now)
{
    if (!this->transactionHolder.empty())
        return this->sendTo(this->transactionHolder);
    if (this->mayHaveRun)
        return this->resolveAtNext(
            owners, now, unknownOutcome(ErrorCode::NotOwner, "no live owner of the database is known"));
    return this->sendToNext(owners, now, didNotRun(ErrorCode::NotOwner, "no live owner of the database is known"));
}

ForwardStep Forwarder::sendToNext(const std::vector<DaemonId>& owners, Time now, Outcome fallback)
{
    if (now >= this->request.deadline || this->attempts >= this->settings.maxAttempts)
        return AnswerCaller { std::move(fallback) };
    for (const auto& owner : owners) {
        if (!this->failedOwners.contains(owner))
            return this->sendTo(owner);
    }
    return AnswerCaller { std::move(fallback) };
}

ForwardStep Forwarder::resolveAtNext(const std::vector<DaemonId>& owners, Time now, const Outcome& fallback)
{
    this->mayHaveRun = true;
    this->request.kind = RequestKind::Resolve;
    this->request.transaction = {};
    this->transactionHolder = {};
    if (now >= this->request.deadline || owners.empty() || this->attempts >= this->settings.maxAttempts)
        return AnswerCaller { fallback };
    for (const auto& owner : owners) {
        if (!this->failedOwners.contains(owner))
            return this->sendTo(owner);
    }
    return this->sendTo(owners.front());
}

ForwardStep Forwarder::onOutcome(const Outcome& outcome, const std::vector<DaemonId>& owners, Time now)
{
    if (forwardFailed(outcome)) {
        this->failedOwners.insert(this->lastTarget);
        if (hasEffect(this->request.kind))
            return this->resolveAtNext(owners, now, outcome);
        if (!this->transactionHolder.empty() || this->request.kind == RequestKind::Begin)
            return AnswerCaller { didNotRun(
                ErrorCode::TransactionAborted, "the daemon that held the transaction is unreachable") };
        return this->sendToNext(owners, now, didNotRun(ErrorCode::EndpointUnreachable, "no owner answered"));
    }
    if (outcome.state != OutcomeState::DidNotRun || !anotherOwnerMayServe(outcome))
        return AnswerCaller { outcome };
    this->failedOwners.insert(this->lastTarget);
    if (this->mayHaveRun)
        return this->resolveAtNext(
            owners, now, unknownOutcome(ErrorCode::EndpointUnreachable, "no owner could determine the outcome"));
    if (this->transactionHolder.empty())
        return this->sendToNext(owners, now, outcome);
    if (this->request.kind == RequestKind::Commit) {
        // An earlier copy of this commit may have been sent to the endpoint before the daemon failed.
        return this->resolveAtNext(owners, now,
            unknownOutcome(ErrorCode::EndpointUnreachable, "the daemon that held the transaction is unreachable"));
    }
    return AnswerCaller { didNotRun(
        ErrorCode::TransactionAborted, "the daemon that held the transaction is unreachable") };
}

} // namespace endivetrestle
