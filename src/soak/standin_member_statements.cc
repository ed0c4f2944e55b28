// Statements and commands of a stand-in member.
#include "base/boot_clock.h"
#include "platform/line_codec.h"
#include "soak/standin_group.h"
#include "soak/standin_member.h"

namespace endivetrestle::soak {

namespace {

const std::string emptySuccess = "COMPLETE -\r\n";

} // namespace

std::string StandinMember::answer(Connection& connection, const std::string& queryId, std::string text, bool& ran)
{
    auto rest = text;
    if (takeWord(rest) == "WAITLSN") {
        const auto wanted = platform::parsePosition(takeWord(rest));
        if (!wanted || (wanted->index > 0 && !this->contains(*wanted)))
            return "ERROR LAGGING behind\r\n";
        text = rest;
    }
    if (const auto result = this->answerStateCommand(connection, text))
        return *result;
    if (const auto result = this->answerControl(text))
        return *result;
    if (const auto result = this->answerTransactionCommand(connection, text))
        return *result;
    return this->answerStatement(connection, queryId, text, ran);
}

std::optional<std::string> StandinMember::answerStateCommand(Connection& connection, const std::string& text)
{
    auto rest = text;
    const auto word = takeWord(rest);
    if (word != "RESET" && word != "SET" && word != "PREPARE")
        return std::nullopt;
    const bool fails = this->happens(this->failCommands);
    const auto result = fails ? std::string("ERROR FAILED by chance\r\n") : emptySuccess;
    if (fails && this->happens(0.5))
        return result;
    if (word == "RESET") {
        connection.values.clear();
        connection.prepared.clear();
    } else if (word == "SET") {
        const auto name = takeWord(rest);
        connection.values[name] = rest;
    } else {
        const auto name = takeWord(rest);
        const bool writes = takeWord(rest) == "WRITE";
        connection.prepared[name] = { writes, rest };
    }
    return result;
}

std::string StandinMember::statusAnswer() const
{
    return std::string("DATAROW ") + (this->primary ? "primary " : "replica ") + std::to_string(this->term) + " "
        + toDotted(this->received()) + " 0 0 0 " + std::to_string(this->connections.size()) + "\r\n" + emptySuccess;
}

std::optional<std::string> StandinMember::answerControl(const std::string& text)
{
    auto rest = text;
    const auto word = takeWord(rest);
    if (word == "DEMOTE" && this->term < std::stoull(rest))
        this->primary = false;
    if (word == "STATUS" || word == "DEMOTE")
        return this->statusAnswer();
    return std::nullopt;
}

std::optional<std::string> StandinMember::answerTransactionCommand(Connection& connection, const std::string& text)
{
    auto rest = text;
    const auto word = takeWord(rest);
    if (word == "ROLLBACK") {
        connection.transaction.clear();
        connection.writes.clear();
        return emptySuccess;
    }
    if (word != "BEGIN")
        return std::nullopt;
    if (!connection.transaction.empty())
        return "ERROR MALFORMED a transaction is open\r\n";
    if (rest != "READ" && !this->primary)
        return "ERROR READONLY replica\r\n";
    connection.transaction = this->id + "/" + std::to_string(++this->lastTransaction);
    connection.plain = rest != "READ";
    return emptySuccess;
}

std::string StandinMember::answerStatement(
    Connection& connection, const std::string& queryId, const std::string& text, bool& ran)
{
    auto rest = text;
    const auto word = takeWord(rest);
    if (word == "COMMIT")
        return this->commit(connection, queryId, ran);
    StatementRun run { queryId, text };
    bool writes = word == "WRITE";
    if (word == "EXECUTE") {
        const auto prepared = connection.prepared.find(takeWord(rest));
        if (prepared == connection.prepared.end())
            return "ERROR NOSTMT unknown\r\n";
        run.shape = prepared->second;
        writes = prepared->second.writes;
    }
    const bool inTransaction = !connection.transaction.empty();
    if (!this->primary && (writes || (inTransaction && connection.plain)))
        return "ERROR READONLY replica\r\n";
    constexpr int busyOneIn = 100;
    if (this->group.random() % busyOneIn == 0)
        return "ERROR BUSY full\r\n";
    ran = true;
    if (writes && inTransaction)
        connection.writes.push_back(queryId);
    else if (writes)
        this->append({ queryId });
    return this->recordRun(connection, std::move(run));
}

std::string StandinMember::commit(Connection& connection, const std::string& queryId, bool& ran)
{
    if (connection.plain && !this->primary && !connection.writes.empty()) {
        connection.transaction.clear();
        connection.writes.clear();
        return "ERROR READONLY replica\r\n";
    }
    ran = true;
    StatementRun run { queryId, "COMMIT" };
    run.committed = connection.writes;
    const auto result = this->recordRun(connection, std::move(run));
    if (!connection.writes.empty())
        this->append(connection.writes);
    connection.transaction.clear();
    connection.writes.clear();
    return result;
}

// Reports a run to the audit and returns the answer to it.
std::string StandinMember::recordRun(const Connection& connection, StatementRun run)
{
    run.group = this->group.name;
    run.values = connection.values;
    run.transaction = connection.transaction;
    run.signature = this->id + "." + std::to_string(++this->lastRun) + "." + run.id;
    if (run.text != "COMMIT")
        run.rows = this->makeRows(run.signature);
    this->group.audit.onRun(run, [this](const Position& position) { return this->contains(position); });
    std::string result;
    for (const auto& row : run.rows)
        result += "DATAROW " + row + "\r\n";
    return result + "COMPLETE " + run.signature + "\r\n";
}

// Up to two rows that no other run has. The first one contains a line feed, behind which it looks like the end of an
// answer.
std::vector<std::string> StandinMember::makeRows(const std::string& signature)
{
    constexpr int maxRows = 2;
    std::vector<std::string> rows;
    const auto count = this->group.random() % (maxRows + 1);
    if (count > 0)
        rows.push_back("row-" + signature + "\nCOMPLETE forged");
    if (count > 1)
        rows.push_back("second row-" + signature);
    return rows;
}

void StandinMember::append(const std::vector<std::string>& writes)
{
    const Position position { this->term, this->received().index + 1 };
    this->log.push_back({ position, writes, bootNow() });
    this->appliedCount = this->log.size();
    const bool superseded = this->group.leader() != this;
    for (const auto& id : writes)
        this->group.audit.onCommitted(id, this->group.name, position, superseded);
}

} // namespace endivetrestle::soak
