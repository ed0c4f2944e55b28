#include "standin/group_core.h"

#include <algorithm>
#include <utility>

// Replication between the cores of a group.
namespace endivetrestle::standin {

std::optional<ReplicationRequest> GroupCore::replicationRequest(const EndpointId& to, std::size_t limit)
{
    if (this->role != EndpointRole::Primary)
        return std::nullopt;
    auto& sent = this->sentIndex[to];
    sent = std::min<std::uint64_t>(sent, this->log.size());
    const auto end = std::min<std::uint64_t>(sent + limit, this->log.size());
    ReplicationRequest request { this->endpoint, this->term, this->positionAt(sent), {} };
    request.records.assign(
        this->log.begin() + static_cast<std::ptrdiff_t>(sent), this->log.begin() + static_cast<std::ptrdiff_t>(end));
    sent = end;
    return request;
}

ReplicationAnswer GroupCore::onReplication(const ReplicationRequest& request, Time now)
{
    ReplicationAnswer answer { this->endpoint, this->term, false, 0 };
    // A group has one primary per term, so records of this endpoint's own term as primary are never accepted.
    if (request.term < this->term || (request.term == this->term && this->role == EndpointRole::Primary))
        return answer;
    if (request.term > this->term)
        this->enterTerm(request.term, {}, EndpointRole::Replica);
    this->role = EndpointRole::Replica;
    this->primaryContact = now;
    answer.term = this->term;
    if (!this->logContains(request.previous)) {
        const auto previous = request.previous.index == 0 ? 0 : request.previous.index - 1;
        answer.matchIndex = std::min<std::uint64_t>(previous, this->log.size());
        return answer;
    }
    this->appendReceived(request);
    answer.accepted = true;
    answer.matchIndex = request.previous.index + request.records.size();
    return answer;
}

void GroupCore::appendReceived(const ReplicationRequest& request)
{
    auto index = request.previous.index;
    for (const auto& record : request.records) {
        ++index;
        if (this->logContains({ record.term, index }))
            continue;
        if (index <= this->log.size())
            this->truncateFrom(index);
        this->append(record);
    }
}

void GroupCore::truncateFrom(std::uint64_t index)
{
    this->log.resize(index - 1);
    if (this->appliedIndex < index)
        return;
    this->data.clear();
    this->requests.clear();
    this->appliedIndex = 0;
    this->applyUpTo(index - 1);
}

void GroupCore::onReplicationAnswer(const ReplicationAnswer& answer)
{
    if (answer.term > this->term) {
        this->enterTerm(answer.term, {}, EndpointRole::Replica);
        return;
    }
    if (this->role != EndpointRole::Primary || answer.term < this->term || answer.accepted)
        return;
    auto& sent = this->sentIndex[answer.from];
    sent = std::min(sent, answer.matchIndex);
}

} // namespace endivetrestle::standin
