#pragma once

#include "process/repeating_endpoint_test.h"

#include <array>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace endivetrestle::testing {

// What must hold between the statements of clients and their runs.
enum class Rule { Mixed, Pinned, Unasked, Twice, Refused, Stale, Status };

constexpr std::size_t ruleCount = 7;
constexpr std::array<const char*, ruleCount> ruleNames { "MIXED", "PINNED", "UNASKED", "TWICE", "REFUSED", "STALE",
    "STATUS" };

// Statement that a client has sent.
struct SentStatement {
    ScheduledStatement work;
    // Number of the client's attempt to run a transaction; 0 for a single statement.
    std::uint64_t transaction = 0;
    bool readOnlyTransaction = false;
};

// Compares the runs at all endpoints with what clients sent and with the results that they got.
class StatementAudit {
public:
    void onSent(const SentStatement& sent)
    {
        const auto& work = sent.work;
        auto& statement = this->statements[work.statement.id];
        statement.sent = sent;
        auto& attempt = this->transactions[sent.transaction];
        if (sent.transaction == 0 || work.start != TransactionStart::None)
            attempt.required = this->requiredBy(work);
        statement.required = attempt.required;
        if (work.statement.kind == StatementKind::Commit)
            attempt.commitSent = true;
    }

    void onRun(const EndpointRun& run)
    {
        this->runBySignature[run.signature] = run.command.id;
        const auto found = this->statements.find(run.command.id);
        if (found == this->statements.end()) {
            this->report(Rule::Unasked, "no client sent " + run.command.id);
            return;
        }
        const auto& statement = found->second;
        const auto& work = statement.sent.work;
        const bool changed = run.command.kind == CommandKind::Execute ? run.command.argument != work.statement.argument
                                                                      : run.command.text != work.statement.text;
        if (changed)
            this->report(Rule::Unasked, run.command.id + " ran with a changed text");
        if (run.values != work.session->values)
            this->report(Rule::Pinned, run.command.id + " ran with other session values");
        if (run.prepared != work.prepared)
            this->report(Rule::Pinned, run.command.id + " ran in another shape");
        this->checkTransaction(run, statement.sent);
        if (!work.changesData() && run.position < statement.required)
            this->report(Rule::Stale, run.command.id + " missed an acknowledged commit");
    }

    void onCommitted(const CommittedWrites& committed)
    {
        const auto commit = this->statements.find(committed.commitId);
        for (const auto& id : committed.ids) {
            const auto found = this->statements.find(id);
            if (found == this->statements.end())
                continue;
            auto& statement = found->second;
            const auto transaction = statement.sent.transaction;
            auto& attempt = this->transactions[transaction];
            const bool ownCommit = commit != this->statements.end() && commit->second.sent.transaction == transaction;
            const bool asked = transaction == 0 ? committed.commitId.empty() : attempt.commitSent && ownCommit;
            if (!asked) {
                const auto by = committed.commitId.empty() ? "a run outside its transaction" : committed.commitId;
                this->report(Rule::Unasked, id + " was committed by " + by);
            }
            if (++statement.effects > 1)
                this->report(Rule::Twice, id + " took effect twice");
            if (statement.refused || (transaction != 0 && attempt.refused))
                this->report(Rule::Refused, id + " took effect after a promise that it would not");
            statement.position = committed.position;
            if (transaction != 0)
                attempt.position = committed.position;
        }
    }

    void onResult(const std::string& id, const StatementResult& result, Time now)
    {
        ++this->results;
        auto& statement = this->statements.at(id);
        const auto transaction = statement.sent.transaction;
        auto& attempt = this->transactions[transaction];
        const auto& answer = result.answer;
        if (answer.succeeded) {
            if (!this->isOwnAnswer(id, answer))
                this->report(Rule::Mixed, id + " got " + (answer.payload.empty() ? "no rows" : answer.payload));
            const bool commits = statement.sent.work.statement.kind == StatementKind::Commit;
            const auto& position = commits ? attempt.position : statement.position;
            if (position && (commits || transaction == 0))
                this->acknowledged.emplace_back(now, *position);
            return;
        }
        if (!provesNotRun(answer.code) && answer.code != ReplyCode::Aborted)
            return;
        if (transaction == 0)
            statement.refused = true;
        else
            attempt.refused = true;
        if (transaction == 0 ? statement.effects > 0 : attempt.position.has_value())
            this->report(Rule::Refused, id + " got a promise although it had taken effect");
    }

    // Answer to a STATUS of the proxy at the endpoint.
    void onStatus(bool primary, const EndpointAnswer& answer)
    {
        const std::string role = primary ? "primary " : "replica ";
        if (answer.succeeded && answer.firstRow.rfind(role, 0) != 0)
            this->report(Rule::Status, "a STATUS got " + (answer.payload.empty() ? "no row" : answer.payload));
    }

    // Whether the answer is that of a run of the statement.
    [[nodiscard]] bool isOwnAnswer(const std::string& id, const EndpointAnswer& answer) const
    {
        const auto found = this->runBySignature.find(answer.signature);
        return found != this->runBySignature.end() && found->second == id
            && answer.payload == "rows " + answer.signature;
    }

    [[nodiscard]] std::size_t count(Rule rule) const { return this->counts.at(static_cast<std::size_t>(rule)); }
    // First violation of the rule; empty if there is none.
    [[nodiscard]] const std::string& example(Rule rule) const
    {
        return this->examples.at(static_cast<std::size_t>(rule));
    }
    // Number of statements of which the client got a result.
    [[nodiscard]] std::size_t resultCount() const { return this->results; }

private:
    struct AuditedStatement {
        SentStatement sent;
        // Newest commit that it must see if it reads.
        Position required;
        int effects = 0;
        // Whether its client was promised that it has no effect.
        bool refused = false;
        std::optional<Position> position;
    };

    // Client's attempt to run a transaction.
    struct Attempt {
        bool commitSent = false;
        bool refused = false;
        // Newest commit that its reads must see.
        Position required;
        std::optional<Position> position;
        // Where its first statement ran: endpoint, and number of the transaction there.
        std::optional<std::pair<std::string, std::uint64_t>> place;
    };

    void report(Rule rule, const std::string& text)
    {
        const auto index = static_cast<std::size_t>(rule);
        if (this->counts.at(index)++ == 0)
            this->examples.at(index) = text;
    }

    [[nodiscard]] Position requiredBy(const ScheduledStatement& work) const
    {
        const auto bound = work.needsPrimary ? Duration::zero() : work.maxStaleness;
        Position required;
        for (const auto& [at, position] : this->acknowledged) {
            if (at < work.arrivedAt - bound)
                required = std::max(required, position);
        }
        return required;
    }

    void checkTransaction(const EndpointRun& run, const SentStatement& sent)
    {
        const auto& id = run.command.id;
        if (sent.transaction == 0) {
            if (run.transaction != 0)
                this->report(Rule::Pinned, id + " ran in a transaction");
            return;
        }
        if (run.transaction == 0 || run.readOnlyTransaction != sent.readOnlyTransaction) {
            this->report(Rule::Pinned, id + " ran outside its transaction");
            return;
        }
        const std::pair place { run.endpoint, run.transaction };
        auto& attempt = this->transactions[sent.transaction];
        if (!attempt.place)
            attempt.place = place;
        const auto owner = this->owners.emplace(place, sent.transaction).first->second;
        if (owner != sent.transaction || *attempt.place != place)
            this->report(Rule::Pinned, id + " ran in another transaction");
    }

    std::map<std::string, AuditedStatement> statements;
    std::map<std::uint64_t, Attempt> transactions;
    // Attempt whose statement ran first in a transaction of an endpoint.
    std::map<std::pair<std::string, std::uint64_t>, std::uint64_t> owners;
    std::map<std::string, std::string> runBySignature;
    // Acknowledged commits with the time at which their client was told.
    std::vector<std::pair<Time, Position>> acknowledged;
    std::array<std::size_t, ruleCount> counts {};
    std::array<std::string, ruleCount> examples;
    std::size_t results = 0;
};

} // namespace endivetrestle::testing
