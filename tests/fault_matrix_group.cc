#include "fault_matrix_world.h"

// Replication between the endpoints, and rules of the group that a mutation breaks.
namespace endivetrestle::testing::matrix {

using namespace std::chrono_literals;

void World::hold(int endpoint, const Position& after, Duration wait, std::function<void()> answer)
{
    const auto once = std::make_shared<std::function<void()>>(std::move(answer));
    this->endpoints[endpoint].watchers.push_back({ after, once });
    this->at(wait, [once] {
        if (const auto work = std::exchange(*once, nullptr))
            work();
    });
}

// Answers watch calls and sends new records after a change of the log.
void World::notify(int endpoint)
{
    auto& changed = this->endpoints[endpoint];
    const std::pair state { changed.core->lastLog(), changed.core->currentTerm() };
    if (std::exchange(changed.notified, state) == state)
        return;
    std::vector<Watcher> waiting;
    for (auto& watcher : std::exchange(changed.watchers, {})) {
        if (!*watcher.answer)
            continue;
        if (state.first <= watcher.after) {
            waiting.push_back(watcher);
            continue;
        }
        const auto work = std::exchange(*watcher.answer, nullptr);
        this->at(Duration::zero(), work);
    }
    changed.watchers = std::move(waiting);
    for (int to = 0; to < static_cast<int>(this->endpoints.size()); ++to) {
        if (to != endpoint)
            this->ship(endpoint, to);
    }
}

void World::ship(int from, int to)
{
    auto& source = this->endpoints[from];
    const auto names = [this](int one, int other) {
        return this->isCut(this->endpoints[one].core->id().value, this->endpoints[other].core->id().value);
    };
    if (source.down || this->endpoints[to].down || names(from, to))
        return;
    const auto request = source.core->replicationRequest(this->endpoints[to].core->id());
    if (!request)
        return;
    const auto faults = request->records.empty() ? Disruption {} : this->hit(Step::Replicate, { -1, to });
    if (faults.has(Fault::CallLost))
        return;
    const auto late = faults.has(Fault::CallLate) ? this->oneOf({ 100, 900 }) : Duration::zero();
    const auto deliver = [this, from, to, request = *request, faults, names] {
        auto& target = this->endpoints[to];
        if (target.down || names(from, to))
            return;
        const auto answer = target.core->onReplication(request, this->now);
        const auto length = target.core->lastLog().index;
        this->at(target.applyLag, [this, to, length] { this->endpoints[to].core->applyUpTo(length); });
        this->notify(to);
        for (const auto fault : faults.after)
            this->inject(fault, { -1, to });
        const auto back = faults.has(Fault::AnswerLate) ? this->oneOf({ 100, 900 }) : Duration::zero();
        if (faults.has(Fault::AnswerLost))
            return;
        this->at(this->latency() + back, [this, from, to, answer, names] {
            auto& receiver = this->endpoints[from];
            if (receiver.down || names(from, to))
                return;
            const auto term = receiver.core->currentTerm();
            receiver.core->onReplicationAnswer(answer);
            if (!answer.accepted && answer.term == term)
                this->ship(from, to);
        });
    };
    this->at(this->latency() + this->endpoints[to].shipDelay + late, deliver);
    if (faults.has(Fault::AnswerTwice))
        this->at(this->latency() + this->endpoints[to].shipDelay + 30ms, deliver);
}

void World::heartbeat()
{
    for (int from = 0; from < static_cast<int>(this->endpoints.size()); ++from) {
        for (int to = 0; to < static_cast<int>(this->endpoints.size()); ++to) {
            if (from != to)
                this->ship(from, to);
        }
    }
    this->at(50ms, [this] { this->heartbeat(); });
}

// A group has at most one primary in a term.
void World::notePromotion(int endpoint)
{
    const auto& core = *this->endpoints[endpoint].core;
    if (core.currentRole() != EndpointRole::Primary)
        return;
    for (const auto& known : this->promotions) {
        if (known.term != core.currentTerm())
            continue;
        if (known.endpoint != endpoint)
            this->fail("two primaries in term " + std::to_string(known.term));
        return;
    }
    this->promotions.push_back({ core.currentTerm(), endpoint, this->now });
    HistoryEvent event;
    event.type = HistoryEventType::TermStarted;
    event.database = DatabaseId("db");
    event.number = core.currentTerm();
    this->addEvent(event);
}

// Endpoint that is primary in the highest term.
int World::primary() const
{
    int result = 0;
    for (int index = 0; index < static_cast<int>(this->endpoints.size()); ++index) {
        const auto& core = *this->endpoints[index].core;
        const auto& best = *this->endpoints[result].core;
        const bool better = best.currentRole() != EndpointRole::Primary || core.currentTerm() > best.currentTerm();
        if (core.currentRole() == EndpointRole::Primary && better)
            result = index;
    }
    return result;
}

// With AcknowledgeOneHolder a replica claims the primary's records that it has not received, so that the primary is
// the only real holder of what is acknowledged.
EndpointStatus World::mutated(EndpointStatus status) const
{
    if (this->mutation != Mutation::AcknowledgeOneHolder)
        return status;
    for (const auto& other : this->endpoints) {
        if (other.core->currentRole() == EndpointRole::Primary && other.core->currentTerm() == status.term)
            status.lastLog = std::max(status.lastLog, other.core->lastLog());
    }
    return status;
}

ExecuteAnswer World::runCall(const Link& link, ExecuteCall call)
{
    if (this->mutation == Mutation::SkipMinPosition)
        call.minPosition = {};
    const auto id = call.requestId;
    // A write that a daemon sends again runs twice only if the group does not recognise its id.
    if (this->resent.contains(id) && call.kind == ExecuteKind::Write)
        call.requestId = RequestId(id.value + "~" + std::to_string(call.callNumber));
    auto answer = this->endpoints[link.endpoint].core->execute(link.number, call, this->now);
    answer.requestId = id;
    return answer;
}

// With SkipAbortMarker the answer "did not run" leaves nothing that refuses a late arrival.
ResolveAnswer World::runResolve(int endpoint, const ResolveCall& call)
{
    auto& core = *this->endpoints[endpoint].core;
    const auto& records = core.records();
    const bool known = std::any_of(
        records.begin(), records.end(), [&](const auto& record) { return record.requestId == call.requestId; });
    const bool serves = core.currentRole() == EndpointRole::Primary && core.currentTerm() == call.expectedTerm;
    if (this->mutation != Mutation::SkipAbortMarker || known || !serves)
        return core.resolve(call, this->now);
    ResolveAnswer answer;
    answer.position = core.lastLog();
    answer.status = core.status(this->now);
    return answer;
}

} // namespace endivetrestle::testing::matrix
