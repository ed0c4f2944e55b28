#pragma once

#include "process/group_scheduler.h"

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace endivetrestle {

// A scheduler for a group of three endpoints, with e1 as the primary, and a fake transport that records commands.
class SchedulerFixture {
public:
    struct Sent {
        ConnectionId connection;
        EndpointCommand command;
    };

    SchedulerFixture()
    {
        SchedulerHooks hooks;
        hooks.nextConnectionId = [this] { return ++this->lastConnection; };
        hooks.open = [this](ConnectionId id, const EndpointRecord& record, const WorkspaceId& workspace) {
            this->opening.emplace_back(id, record.id);
            this->workspaceOf[id] = workspace;
        };
        hooks.send = [this](ConnectionId id, const EndpointCommand& command) { this->sent.push_back({ id, command }); };
        hooks.close = [this](ConnectionId id) { this->closed.push_back(id); };
        hooks.leaseValid = [this](Time) { return this->lease; };
        hooks.holdersRecorded = [this] { return this->holdersRecorded; };
        this->scheduler = std::make_unique<GroupScheduler>(
            DatabaseId("shop"), DataCentre("a"), this->timers, std::move(hooks), this->now);
        this->scheduler->setConnectionShare(this->connectionShare);
        this->setEndpoints({});
        this->scheduler->setPrimary(EndpointId("e1"), 1, this->now);
        this->scheduler->tick(this->now);
        this->completeOpens();
    }

    void setEndpoints(const std::vector<std::string>& draining)
    {
        std::vector<EndpointRecord> records;
        for (const char* name : { "e1", "e2", "e3" }) {
            EndpointRecord record;
            record.id = EndpointId(name);
            record.group = DatabaseId("shop");
            record.dataCentre = DataCentre(name == std::string("e2") ? "a" : "b");
            record.slots = 2;
            for (const auto& other : draining)
                record.draining = record.draining || other == name;
            records.push_back(record);
        }
        this->scheduler->setEndpoints(records, this->now);
    }

    // Reports all connections that are being opened as open.
    void completeOpens()
    {
        for (const auto& [id, endpoint] : std::exchange(this->opening, {})) {
            this->endpointOf[id] = endpoint;
            this->scheduler->onOpened(id, this->positionAtStart, this->now);
        }
    }

    // Reports the connections that are being opened to the endpoint as refused by its connection limit.
    void refuseOpens(const std::string& endpoint)
    {
        const auto attempts = std::exchange(this->opening, {});
        for (const auto& [id, target] : attempts) {
            if (target.value == endpoint)
                this->scheduler->onConnectionLimit(id, this->now);
            else
                this->opening.emplace_back(id, target);
        }
    }

    // Reports all open connections to the endpoint as lost.
    void loseConnectionsTo(const std::string& endpoint)
    {
        for (const auto& [id, target] : this->endpointOf) {
            if (target.value == endpoint)
                this->scheduler->onClosed(id, this->now);
        }
    }

    void advance(Duration duration)
    {
        const auto end = this->now + duration;
        while (this->timers.nextDue() <= end) {
            this->now = std::max(this->now, this->timers.nextDue());
            this->timers.advance(this->now);
        }
        this->now = end;
    }

    ExecutionPtr submit(ScheduledStatement work)
    {
        auto execution = this->makeExecution(std::move(work));
        this->scheduler->submit(execution, this->now);
        return execution;
    }

    ExecutionPtr makeExecution(ScheduledStatement work)
    {
        auto execution = std::make_shared<Execution>();
        work.arrivedAt = this->now;
        if (work.expiresAt == Time())
            work.expiresAt = this->now + std::chrono::milliseconds(800);
        if (!work.session)
            work.session = std::make_shared<SessionState>();
        execution->work = std::move(work);
        execution->callback = [this](const StatementResult& result) { this->results.push_back(result); };
        return execution;
    }

    static ScheduledStatement read(bool needsPrimary)
    {
        ScheduledStatement work;
        work.statement = { StatementKind::Read, "id", "READ 1" };
        work.needsPrimary = needsPrimary;
        work.maxStaleness = std::chrono::milliseconds(1500);
        work.objective = std::chrono::milliseconds(200);
        return work;
    }

    static ScheduledStatement write()
    {
        auto work = read(true);
        work.statement = { StatementKind::Write, "id", "WRITE 1 x" };
        return work;
    }

    static ScheduledStatement commit()
    {
        auto work = read(true);
        work.statement = { StatementKind::Commit, "id", "COMMIT" };
        return work;
    }

    // Removes and returns the oldest recorded command; its connection is 0 if there is none.
    Sent take()
    {
        if (this->sent.empty())
            return {};
        const auto first = this->sent.front();
        this->sent.erase(this->sent.begin());
        return first;
    }

    [[nodiscard]] std::string endpointName(ConnectionId id) const
    {
        const auto found = this->endpointOf.find(id);
        return found == this->endpointOf.end() ? "" : found->second.value;
    }

    // Answers the command with success: a forwarded statement with rows and a signature of its own, a status command
    // with a row. Returns the answer, so that it can be sent again.
    EndpointAnswer succeed(const Sent& command, SessionPhase phase = SessionPhase::Idle, Position position = { 1, 10 })
    {
        EndpointAnswer answer;
        answer.succeeded = true;
        answer.phase = phase;
        answer.position = position;
        const auto kind = command.command.kind;
        if (kind == CommandKind::Forward || kind == CommandKind::Execute) {
            answer.signature = "signature-" + std::to_string(++this->lastSignature);
            answer.payload = "rows";
        } else if (kind == CommandKind::Status)
            answer.firstRow = "row " + std::to_string(++this->lastRow);
        this->answerAgain(command, answer);
        return answer;
    }

    EndpointAnswer fail(const Sent& command, ReplyCode code, SessionPhase phase = SessionPhase::Idle)
    {
        EndpointAnswer answer;
        answer.code = code;
        answer.phase = phase;
        answer.position = Position { 1, 5 };
        this->answerAgain(command, answer);
        return answer;
    }

    // Delivers an answer on the connection of the command, whatever is outstanding there.
    void answerAgain(const Sent& command, const EndpointAnswer& answer)
    {
        this->scheduler->onAnswer(command.connection, answer, this->now);
    }

    // Makes the primary report a position, so that replicas may serve reads with a staleness bound.
    void reportPosition()
    {
        this->submit(read(true));
        this->succeed(this->take());
        this->results.clear();
    }

    Time now { std::chrono::seconds(1000) };
    TimerService timers;
    bool lease = true;
    bool holdersRecorded = true;
    int connectionShare = 4;
    // Position that endpoints report when a session starts.
    std::optional<Position> positionAtStart;
    ConnectionId lastConnection = 0;
    std::uint64_t lastSignature = 0;
    std::uint64_t lastRow = 0;
    std::vector<std::pair<ConnectionId, EndpointId>> opening;
    std::map<ConnectionId, EndpointId> endpointOf;
    // Workspace in whose name each connection was opened.
    std::map<ConnectionId, WorkspaceId> workspaceOf;
    std::vector<Sent> sent;
    std::vector<ConnectionId> closed;
    std::vector<StatementResult> results;
    std::unique_ptr<GroupScheduler> scheduler;
};

} // namespace endivetrestle
