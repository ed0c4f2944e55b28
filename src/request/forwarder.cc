#include "request/forwarder.h"

namespace endivetrestle {

namespace {

bool hasEffect(RequestKind kind)
{
    return kind == RequestKind::Write || kind == RequestKind::Commit || kind == RequestKind::Resolve;
}

// Refusals that another owner may not share.
bool anotherOwnerMayServe(const Outcome& outcome)
{
    return outcome.code == ErrorCode::NotOwner || outcome.code == ErrorCode::EndpointUnreachable
        || outcome.code == ErrorCode::ShuttingDown;
}

// The forward itself failed after the request had been sent; the owner has not said what became of it.
bool forwardFailed(const Outcome& outcome)
{
    return outcome.state == OutcomeState::Unknown
        && (outcome.code == ErrorCode::EndpointUnreachable || outcome.code == ErrorCode::AnswerMismatch);
}

} // namespace

Forwarder::Forwarder(Request request, DaemonId self, DaemonId holder, ForwarderSettings settings)
    : request(std::move(request))
    , self(std::move(self))
    , holder(std::move(holder))
    , settings(settings)
    // A refusal of a resolve says nothing about the request that it asks for.
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
    if (!this->holder.empty())
        return this->sendTo(this->holder);
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
        if (!this->failed.contains(owner))
            return this->sendTo(owner);
    }
    return AnswerCaller { std::move(fallback) };
}

ForwardStep Forwarder::resolveAtNext(const std::vector<DaemonId>& owners, Time now, const Outcome& fallback)
{
    this->mayHaveRun = true;
    this->request.kind = RequestKind::Resolve;
    this->request.transaction = {};
    this->holder = {};
    if (now >= this->request.deadline || owners.empty() || this->attempts >= this->settings.maxAttempts)
        return AnswerCaller { fallback };
    for (const auto& owner : owners) {
        if (!this->failed.contains(owner))
            return this->sendTo(owner);
    }
    return this->sendTo(owners.front());
}

ForwardStep Forwarder::onOutcome(const Outcome& outcome, const std::vector<DaemonId>& owners, Time now)
{
    if (forwardFailed(outcome)) {
        this->failed.insert(this->lastTarget);
        if (hasEffect(this->request.kind))
            return this->resolveAtNext(owners, now, outcome);
        if (!this->holder.empty() || this->request.kind == RequestKind::Begin)
            return AnswerCaller { didNotRun(
                ErrorCode::TransactionAborted, "the daemon that held the transaction is gone") };
        return this->sendToNext(owners, now, didNotRun(ErrorCode::EndpointUnreachable, "no owner answered"));
    }
    if (outcome.state != OutcomeState::DidNotRun || !anotherOwnerMayServe(outcome))
        return AnswerCaller { outcome };
    this->failed.insert(this->lastTarget);
    if (this->mayHaveRun)
        return this->resolveAtNext(
            owners, now, unknownOutcome(ErrorCode::EndpointUnreachable, "no owner could tell the outcome"));
    if (this->holder.empty())
        return this->sendToNext(owners, now, outcome);
    if (this->request.kind == RequestKind::Commit) {
        // An earlier arrival of this commit may have been sent to the endpoint before its daemon died.
        return this->resolveAtNext(owners, now,
            unknownOutcome(ErrorCode::EndpointUnreachable, "the daemon that held the transaction is gone"));
    }
    return AnswerCaller { didNotRun(ErrorCode::TransactionAborted, "the daemon that held the transaction is gone") };
}

} // namespace endivetrestle
