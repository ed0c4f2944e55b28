#pragma once

#include "request/endpoint_call.h"
#include "standin/statement.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace endivetrestle::standin {

// Kind of a log record. Empty records start a term; abort markers refuse late arrivals of a request id.
enum class RecordKind { Empty, Write, AbortMarker };

// One record of an endpoint's log. Its index is its place in the log, counted from 1.
struct LogRecord {
    std::uint64_t term = 0;
    RequestId requestId;
    RecordKind kind = RecordKind::Empty;
    std::string statement;

    bool operator==(const LogRecord&) const = default;
};

// Records that a primary sends to another endpoint. Without records it is a sign of life.
struct ReplicationRequest {
    EndpointId from;
    std::uint64_t term = 0;
    // Position of the record before the first one sent.
    Position previous;
    std::vector<LogRecord> records;
};

// Answer to a ReplicationRequest.
struct ReplicationAnswer {
    EndpointId from;
    std::uint64_t term = 0;
    // False if the term was too low or the previous position did not match.
    bool accepted = false;
    // If accepted, the index up to which the logs agree; else the highest index at which they may agree.
    std::uint64_t matchIndex = 0;
};

// State and rules of one endpoint of a database group, without input or output. Whoever owns the cores carries
// replication requests between them, in any order, with losses, and as late as wanted. All calls are deterministic.
//
// Example:
//     auto cores = makeGroup({ EndpointId("a"), EndpointId("b"), EndpointId("c") }, now); // a is primary of term 1
//     auto answer = cores[0].execute(1, writeCall, now);
//     auto request = cores[0].replicationRequest(EndpointId("b"));
//     cores[0].onReplicationAnswer(cores[1].onReplication(*request, now));
//     cores[1].applyUpTo(answer.position.index);
class GroupCore {
public:
    // An endpoint with an empty log in term 0. `members` are all endpoints of the group, this one included.
    GroupCore(EndpointId endpoint, std::vector<EndpointId> members, Time now);

    // Runs one call that arrived on the numbered connection. Refusals, in this order of checks: WrongTerm if
    // expectedTerm differs; PositionNotReached or PositionDiverged if minPosition is set; NotPrimary for all kinds but
    // Read; RequestAborted for an aborted request id; BadRequest for a write or commit without a request id, and for a
    // Read, Write or Begin on a connection with an open transaction; TransactionAborted for a Statement, Commit or
    // Rollback without one. A recorded request id yields the first result with replayed set.
    ExecuteAnswer execute(std::uint64_t connection, const ExecuteCall& call, Time now);

    // Drops the connection's open transaction. Called when the connection is closed or reset.
    void rollBack(std::uint64_t connection);

    [[nodiscard]] EndpointStatus status(Time now) const;
    FenceAnswer fence(const FenceCall& call, Time now);
    FenceAnswer promote(const PromoteCall& call, Time now);
    ResolveAnswer resolve(const ResolveCall& call, Time now);

    // Records that `to` has not been sent yet, at most `limit` of them; empty if it has been sent all. They count as
    // sent from now on; a refused answer moves the mark back. No value unless this endpoint is primary.
    std::optional<ReplicationRequest> replicationRequest(const EndpointId& to, std::size_t limit = 4096);

    // Receives records of another endpoint. Accepted only if the sender's term is not lower than this endpoint's and
    // the previous position is in this log. A divergent suffix is removed and the data rebuilt without it. A higher
    // term makes this endpoint a replica of that term.
    ReplicationAnswer onReplication(const ReplicationRequest& request, Time now);

    // Receives the answer to a replication request of this endpoint. A higher term ends its primacy.
    void onReplicationAnswer(const ReplicationAnswer& answer);

    // Applies records to the data, up to the index or the end of the log.
    void applyUpTo(std::uint64_t index);

    // Whether the log holds the record at the position. The position before the first record is always held.
    [[nodiscard]] bool logContains(const Position& position) const;

    [[nodiscard]] Position lastLog() const;
    [[nodiscard]] Position applied() const;
    [[nodiscard]] const EndpointId& id() const { return this->endpoint; }
    [[nodiscard]] std::uint64_t currentTerm() const { return this->term; }
    [[nodiscard]] const DaemonId& grantee() const { return this->grantedTo; }
    [[nodiscard]] EndpointRole currentRole() const { return this->role; }
    [[nodiscard]] const std::vector<LogRecord>& records() const { return this->log; }
    [[nodiscard]] const Table& table() const { return this->data; }
    [[nodiscard]] bool hasTransaction(std::uint64_t connection) const
    {
        return this->transactions.contains(connection);
    }

    // Number of calls that were refused because they arrived on a connection with another open transaction. Any value
    // but 0 shows that the proxy handed out a pinned connection.
    [[nodiscard]] std::uint64_t foreignStatements() const { return this->foreignStatementCount; }

private:
    struct Recorded {
        std::uint64_t index = 0;
        bool aborted = false;
        std::string rows;
    };
    struct Transaction {
        Changes changes;
        // Text of the statements that change data.
        std::string writes;
    };

    [[nodiscard]] ErrorCode checkCall(const ExecuteCall& call) const;
    [[nodiscard]] Position positionAt(std::uint64_t index) const;
    void read(const ExecuteCall& call, ExecuteAnswer& answer) const;
    void write(const RequestId& requestId, const std::string& statement, ExecuteAnswer& answer);
    bool replay(const RequestId& requestId, ExecuteAnswer& answer) const;
    void begin(std::uint64_t connection, ExecuteAnswer& answer);
    void statement(std::uint64_t connection, const ExecuteCall& call, ExecuteAnswer& answer);
    void commit(std::uint64_t connection, const ExecuteCall& call, ExecuteAnswer& answer);
    void runOutside(std::uint64_t connection, const ExecuteCall& call, ExecuteAnswer& answer);
    void runInside(std::uint64_t connection, const ExecuteCall& call, ExecuteAnswer& answer);
    void append(LogRecord record);
    void applyNext();
    void truncateFrom(std::uint64_t index);
    void appendReceived(const ReplicationRequest& request);
    void enterTerm(std::uint64_t newTerm, DaemonId claimant, EndpointRole newRole);

    EndpointId endpoint;
    std::vector<EndpointId> members;
    std::uint64_t term = 0;
    DaemonId grantedTo;
    EndpointRole role = EndpointRole::Replica;
    Time primaryContact;
    std::vector<LogRecord> log;
    std::uint64_t appliedIndex = 0;
    Table data;
    std::unordered_map<RequestId, Recorded> requests;
    std::map<std::uint64_t, Transaction> transactions;
    // Highest index sent to each other endpoint. Used by a primary only.
    std::map<EndpointId, std::uint64_t> sentIndex;
    std::uint64_t foreignStatementCount = 0;
};

// Cores of a group whose first endpoint is the primary of term 1, as claimed by the daemon "bootstrap".
std::vector<GroupCore> makeGroup(const std::vector<EndpointId>& members, Time now);

} // namespace endivetrestle::standin
