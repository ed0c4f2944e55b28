#include "standin/group_core.h"

#include <algorithm>
#include <utility>

namespace endivetrestle::standin {

GroupCore::GroupCore(EndpointId endpoint, std::vector<EndpointId> members, Time now)
    : endpoint(std::move(endpoint))
    , members(std::move(members))
    , primaryContact(now)
{
}

Position GroupCore::positionAt(std::uint64_t index) const
{
    return index == 0 ? Position {} : Position { this->log[index - 1].term, index };
}

Position GroupCore::lastLog() const { return this->positionAt(this->log.size()); }

Position GroupCore::applied() const { return this->positionAt(this->appliedIndex); }

bool GroupCore::logContains(const Position& position) const
{
    if (position.index == 0)
        return position.term == 0;
    return position.index <= this->log.size() && this->log[position.index - 1].term == position.term;
}

EndpointStatus GroupCore::status(Time now) const
{
    EndpointStatus result;
    result.endpoint = this->endpoint;
    result.term = this->term;
    result.role = this->role;
    result.lastLog = this->lastLog();
    result.applied = this->applied();
    if (this->role != EndpointRole::Primary)
        result.primaryContactAge = std::max(Duration::zero(), now - this->primaryContact);
    return result;
}

void GroupCore::enterTerm(std::uint64_t newTerm, DaemonId claimant, EndpointRole newRole)
{
    this->term = newTerm;
    this->grantedTo = std::move(claimant);
    this->role = newRole;
    this->transactions.clear();
}

FenceAnswer GroupCore::fence(const FenceCall& call, Time now)
{
    const bool granted = !call.claimant.empty()
        && (call.term > this->term || (call.term == this->term && call.claimant == this->grantedTo));
    if (granted && call.term > this->term)
        this->enterTerm(call.term, call.claimant, EndpointRole::Fenced);
    return { granted, this->status(now) };
}

FenceAnswer GroupCore::promote(const PromoteCall& call, Time now)
{
    const bool granted = !call.claimant.empty() && call.term == this->term && call.claimant == this->grantedTo;
    if (granted && this->role != EndpointRole::Primary) {
        this->role = EndpointRole::Primary;
        this->applyUpTo(this->log.size());
        for (const auto& member : this->members)
            this->sentIndex[member] = this->log.size();
        this->append({ this->term, {}, RecordKind::Empty, {} });
        this->applyUpTo(this->log.size());
    }
    return { granted, this->status(now) };
}

ErrorCode GroupCore::checkCall(const ExecuteCall& call) const
{
    if (call.expectedTerm && *call.expectedTerm != this->term)
        return ErrorCode::WrongTerm;
    if (call.minPosition.index > this->log.size())
        return ErrorCode::PositionNotReached;
    if (call.minPosition != Position {} && !this->logContains(call.minPosition))
        return ErrorCode::PositionDiverged;
    if (call.minPosition.index > this->appliedIndex)
        return ErrorCode::PositionNotReached;
    if (call.kind != ExecuteKind::Read && this->role != EndpointRole::Primary)
        return ErrorCode::NotPrimary;
    const bool records = call.kind == ExecuteKind::Write || call.kind == ExecuteKind::Commit;
    return records && call.requestId.empty() ? ErrorCode::BadRequest : ErrorCode::None;
}

ExecuteAnswer GroupCore::execute(std::uint64_t connection, const ExecuteCall& call, Time now)
{
    ExecuteAnswer answer;
    answer.callNumber = call.callNumber;
    answer.requestId = call.requestId;
    answer.code = this->checkCall(call);
    const bool inside
        = call.kind == ExecuteKind::Statement || call.kind == ExecuteKind::Commit || call.kind == ExecuteKind::Rollback;
    if (answer.code == ErrorCode::None && inside)
        this->runInside(connection, call, answer);
    else if (answer.code == ErrorCode::None)
        this->runOutside(connection, call, answer);
    answer.status = this->status(now);
    return answer;
}

void GroupCore::runOutside(std::uint64_t connection, const ExecuteCall& call, ExecuteAnswer& answer)
{
    if (this->transactions.contains(connection)) {
        ++this->foreignStatementCount;
        answer.code = ErrorCode::BadRequest;
        answer.detail = "the connection has an open transaction";
        return;
    }
    if (call.kind == ExecuteKind::Read)
        this->read(call, answer);
    else if (call.kind == ExecuteKind::Write)
        this->write(call.requestId, call.statement, answer);
    else
        this->begin(connection, answer);
}

void GroupCore::runInside(std::uint64_t connection, const ExecuteCall& call, ExecuteAnswer& answer)
{
    if (call.kind == ExecuteKind::Commit && this->replay(call.requestId, answer)) {
        this->rollBack(connection);
        return;
    }
    if (!this->transactions.contains(connection)) {
        answer.code = ErrorCode::TransactionAborted;
        answer.detail = "the connection has no open transaction";
        return;
    }
    if (call.kind == ExecuteKind::Statement) {
        this->statement(connection, call, answer);
    } else if (call.kind == ExecuteKind::Commit) {
        this->commit(connection, call, answer);
    } else {
        this->rollBack(connection);
        answer.position = this->applied();
    }
}

void GroupCore::read(const ExecuteCall& call, ExecuteAnswer& answer) const
{
    answer.position = this->applied();
    const auto parsed = parseStatement(call.statement);
    StatementResult result { {}, "a read must not change data" };
    if (!parsed.writes) {
        Changes none;
        result = runStatement(parsed, this->data, none);
    }
    answer.rows = std::move(result.rows);
    answer.detail = std::move(result.problem);
    answer.code = answer.detail.empty() ? ErrorCode::None : ErrorCode::StatementFailed;
}

bool GroupCore::replay(const RequestId& requestId, ExecuteAnswer& answer) const
{
    const auto recorded = this->requests.find(requestId);
    if (recorded == this->requests.end())
        return false;
    answer.position = this->positionAt(recorded->second.index);
    if (recorded->second.aborted) {
        answer.code = ErrorCode::RequestAborted;
        return true;
    }
    answer.rows = recorded->second.rows;
    answer.replayed = true;
    return true;
}

void GroupCore::write(const RequestId& requestId, const std::string& statement, ExecuteAnswer& answer)
{
    if (this->replay(requestId, answer))
        return;
    Changes changes;
    auto result = runStatement(parseStatement(statement), this->data, changes);
    if (!result.problem.empty()) {
        answer.code = ErrorCode::StatementFailed;
        answer.detail = std::move(result.problem);
        answer.position = this->applied();
        return;
    }
    this->append({ this->term, requestId, RecordKind::Write, statement });
    mergeChanges(std::move(changes), this->data);
    this->appliedIndex = this->log.size();
    this->requests[requestId] = { this->appliedIndex, false, result.rows };
    answer.rows = std::move(result.rows);
    answer.position = this->lastLog();
}

void GroupCore::begin(std::uint64_t connection, ExecuteAnswer& answer)
{
    this->transactions[connection] = {};
    answer.position = this->applied();
}

void GroupCore::statement(std::uint64_t connection, const ExecuteCall& call, ExecuteAnswer& answer)
{
    auto& transaction = this->transactions[connection];
    const auto parsed = parseStatement(call.statement);
    auto result = runStatement(parsed, this->data, transaction.changes);
    answer.position = this->applied();
    answer.rows = std::move(result.rows);
    answer.detail = std::move(result.problem);
    answer.code = answer.detail.empty() ? ErrorCode::None : ErrorCode::StatementFailed;
    if (parsed.writes && answer.code == ErrorCode::None)
        transaction.writes += (transaction.writes.empty() ? "" : "; ") + call.statement;
}

void GroupCore::commit(std::uint64_t connection, const ExecuteCall& call, ExecuteAnswer& answer)
{
    const auto writes = std::move(this->transactions[connection].writes);
    this->rollBack(connection);
    this->write(call.requestId, writes, answer);
}

void GroupCore::rollBack(std::uint64_t connection) { this->transactions.erase(connection); }

ResolveAnswer GroupCore::resolve(const ResolveCall& call, Time now)
{
    ResolveAnswer answer;
    if (call.expectedTerm != this->term)
        answer.code = ErrorCode::WrongTerm;
    else if (this->role != EndpointRole::Primary)
        answer.code = ErrorCode::NotPrimary;
    else if (call.requestId.empty())
        answer.code = ErrorCode::BadRequest;
    if (answer.code == ErrorCode::None) {
        if (!this->requests.contains(call.requestId)) {
            this->append({ this->term, call.requestId, RecordKind::AbortMarker, {} });
            this->applyUpTo(this->log.size());
        }
        const auto& recorded = this->requests[call.requestId];
        answer.ran = !recorded.aborted;
        answer.rows = recorded.rows;
        answer.position = this->positionAt(recorded.index);
    }
    answer.status = this->status(now);
    return answer;
}

void GroupCore::append(LogRecord record) { this->log.push_back(std::move(record)); }

void GroupCore::applyNext()
{
    const auto& record = this->log[this->appliedIndex];
    ++this->appliedIndex;
    if (record.kind == RecordKind::Empty)
        return;
    Recorded recorded { this->appliedIndex, record.kind == RecordKind::AbortMarker, {} };
    if (record.kind == RecordKind::Write) {
        Changes changes;
        recorded.rows = runStatement(parseStatement(record.statement), this->data, changes).rows;
        mergeChanges(std::move(changes), this->data);
    }
    this->requests[record.requestId] = std::move(recorded);
}

void GroupCore::applyUpTo(std::uint64_t index)
{
    const auto end = std::min<std::uint64_t>(index, this->log.size());
    while (this->appliedIndex < end)
        this->applyNext();
}

std::vector<GroupCore> makeGroup(const std::vector<EndpointId>& members, Time now)
{
    std::vector<GroupCore> cores;
    const FenceCall claim { 1, DaemonId("bootstrap") };
    for (const auto& member : members) {
        cores.emplace_back(member, members, now);
        cores.back().fence(claim, now);
    }
    if (!cores.empty())
        cores.front().promote(claim, now);
    return cores;
}

} // namespace endivetrestle::standin
