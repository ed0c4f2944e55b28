#include "edge/endpoint_probe.h"

namespace endivetrestle {

EndpointProbe::EndpointProbe(asio::io_context& context, TimerService& timers)
    : timers(timers)
    , transport(context, this->makeInput())
{
}

EndpointInput EndpointProbe::makeInput()
{
    EndpointInput input;
    input.opened = [this](ConnectionId id, const std::optional<Position>&) { this->end(id, true); };
    input.answered = [](ConnectionId, const EndpointAnswer&) {};
    input.closed = [this](ConnectionId id) { this->end(id, false); };
    // An endpoint that has too many sessions runs.
    input.full = [this](ConnectionId id) { this->end(id, true); };
    return input;
}

void EndpointProbe::ask(
    const DatabaseId& group, const CommitHolder& holder, Time now, std::function<void(bool alive)> callback)
{
    const auto id = ++this->lastId;
    EndpointRecord record;
    record.id = holder.id;
    record.group = group;
    record.address = holder.address;
    auto& question = this->questions[id];
    question.callback = std::move(callback);
    question.timer = this->timers.subscribeAt(now + timeout, [this, id](Time) { this->end(id, false); });
    this->transport.open(id, record, WorkspaceId());
}

void EndpointProbe::end(ConnectionId id, bool alive)
{
    const auto question = this->questions.extract(id);
    if (question.empty())
        return;
    this->timers.cancel(question.mapped().timer);
    this->transport.close(id);
    question.mapped().callback(alive);
}

} // namespace endivetrestle
