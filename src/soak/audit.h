#pragma once

#include "base/clock.h"
#include "base/position.h"
#include "request/statement.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace endivetrestle::soak {

// Kinds of broken promises.
enum class ViolationKind {
    // A client got a success that is not the answer to a run of its statement.
    WrongAnswer,
    // A statement ran in another transaction, with other session values or with another prepared shape than its
    // client's.
    WrongSession,
    // An endpoint ran or committed what no client had sent.
    NotSent,
    // A write took effect twice, after a refusal, or not at all.
    WrongEffect,
    // A read missed a write.
    StaleRead,
    // A promotion dropped an acknowledged commit of a group with synchronous replicas.
    LostCommit,
    // Promotions contradict each other.
    Promotion,
    // A client got a message that is no part of an answer.
    UnexpectedMessage,
    // A daemon ended by itself, or statements do not succeed after the faults.
    Service,
};

std::string violationKindName(ViolationKind kind);

// Shape that a client prepares under a name.
struct PreparedShape {
    bool writes = false;
    std::string text;

    bool operator==(const PreparedShape&) const = default;
};

// What a client promises itself of a statement when it sends it.
struct SentStatement {
    // Group of the client's route; empty if the route moves between groups.
    std::string group;
    std::string text;
    // Shape that the client prepared under the name that an EXECUTE gives.
    std::optional<PreparedShape> shape;
    // Transaction of the client, unique among all clients; empty outside of one.
    std::string transaction;
    bool reads = false;
    // Largest age of the data, or none if the read must see everything that was acknowledged before.
    std::optional<Duration> maxStaleness;
    // Last write in each group that the session must see.
    std::map<std::string, Position> ownWrites;
    // Session values acknowledged to the client.
    std::map<std::string, std::string> values;
};

// One run of a statement at an endpoint, and what the endpoint answers to it.
struct StatementRun {
    std::string id;
    // Text as it arrived, without a position to wait for.
    std::string text;
    std::map<std::string, std::string> values;
    // Shape that an EXECUTE ran.
    std::optional<PreparedShape> shape;
    // Transaction of one connection of one endpoint, unique among all endpoints; empty outside of one.
    std::string transaction;
    // Writes that a COMMIT commits.
    std::vector<std::string> committed;
    std::vector<std::string> rows;
    // Unique among all runs.
    std::string signature;
    // Group of the endpoint.
    std::string group;
};

// Order to promote an endpoint, as the platform receives it.
struct PromotionOrderSeen {
    std::string group;
    std::string endpoint;
    std::string holder;
    std::uint64_t token = 0;
};

// Checks the promises of the product from what clients and endpoints see. Positions name records of a group's log; a
// record that a promotion dropped counts as rolled back.
class Audit {
public:
    void onSent(const std::string& id, const SentStatement& statement, Time now);
    // An endpoint runs a statement. `contains` tells whether the log of the endpoint holds a position.
    template <typename Contains> void onRun(const StatementRun& run, const Contains& contains)
    {
        const auto* entry = this->checkRun(run);
        if (entry == nullptr || !entry->statement.reads)
            return;
        const auto found = entry->required.find(run.group);
        if (found == entry->required.end())
            return;
        for (const auto& required : found->second) {
            if (!this->isRolledBack(run.group, required) && !contains(required))
                this->violate(ViolationKind::StaleRead, "read " + run.id + " missed " + toString(required));
        }
    }
    // A client got a success for a read, a write or a commit.
    void onSuccess(const std::string& id, const std::vector<std::string>& rows, const std::string& signature);
    // A client got an error for a statement.
    void onError(const std::string& id, ReplyCode code);
    // A write took effect. `superseded`: at an endpoint that had been replaced already.
    void onCommitted(const std::string& id, const std::string& group, const Position& position, bool superseded);
    // A promotion dropped all positions of the group after the given one.
    void onRolledBack(const std::string& group, const Position& after, std::uint64_t newTerm);
    // A client got its reply. `commits`: the statement was a write or a commit; `refused`: the code promises that
    // nothing is kept. `writes` are the statements whose effect the reply decides.
    void onAcknowledged(const std::vector<std::string>& writes, Time now);
    void onRefused(const std::vector<std::string>& writes);
    // Position at which a write took effect, with its group; no value if it has not.
    [[nodiscard]] std::optional<std::pair<std::string, Position>> commitOf(const std::string& write) const;
    // The endpoints of the group acknowledge a commit only when a replica has it, so no promotion may drop it.
    void declareDurable(const std::string& group) { this->durableGroups.insert(group); }
    // A daemon orders a promotion. Tokens never decrease, no two daemons use the same one, and two daemons do not
    // replace the primary of a group in turn while all daemons are in touch with the store.
    void onPromotion(const PromotionOrderSeen& order, bool inTouch, Time now);
    void violate(ViolationKind kind, const std::string& what);

    // The first violations of each kind.
    [[nodiscard]] const std::vector<std::string>& violations() const { return this->found; }
    // Number of all violations of each kind that occurred.
    [[nodiscard]] const std::map<ViolationKind, std::uint64_t>& violationCounts() const { return this->foundCounts; }
    [[nodiscard]] std::uint64_t acknowledged() const { return this->acknowledgedCount; }
    [[nodiscard]] std::uint64_t checkedReads() const { return this->readCount; }

private:
    struct Sent {
        SentStatement statement;
        // Positions that the log of an endpoint must contain, by its group.
        std::map<std::string, std::vector<Position>> required;
    };
    // What an endpoint answered to one run.
    struct RunAnswer {
        std::string id;
        std::vector<std::string> rows;
    };
    struct Commit {
        std::string group;
        Position position;
        int count = 0;
        bool superseded = false;
    };
    struct Promoted {
        PromotionOrderSeen order;
        bool inTouch = false;
        Time at;
    };
    struct RollBack {
        Position after;
        std::uint64_t newTerm = 0;
    };

    // Compares a run with what its client sent. Returns null if no client sent it.
    const Sent* checkRun(const StatementRun& run);
    void checkTransaction(const SentStatement& statement, const StatementRun& run);
    void checkCommitted(const SentStatement& statement, const StatementRun& run);
    void checkTurns();
    void requireAcknowledged(Sent& entry, const std::string& group, Time before);
    [[nodiscard]] bool isRolledBack(const std::string& group, const Position& position) const;

    std::map<std::string, Sent> sent;
    // Answers of endpoints by their signature.
    std::map<std::string, RunAnswer> answers;
    // Transactions of clients by those of endpoints, and the other way round, as their first statement bound them.
    std::map<std::string, std::string> clientTransactions;
    std::map<std::string, std::string> endpointTransactions;
    std::map<std::string, Commit> commits;
    std::map<std::string, bool> refused;
    std::map<std::string, std::vector<RollBack>> rollBacks;
    std::set<std::string> durableGroups;
    // Acknowledged positions of each group with the time of their acknowledgement; positions rise.
    std::map<std::string, std::deque<std::pair<Time, Position>>> acknowledgements;
    // Promotion orders by their arrival; of those with one token the first one.
    std::vector<Promoted> promoted;
    std::uint64_t acknowledgedCount = 0;
    std::uint64_t readCount = 0;
    std::vector<std::string> found;
    std::map<ViolationKind, std::uint64_t> foundCounts;
};

} // namespace endivetrestle::soak
