// Audit: the runs of statements at endpoints, and the answers that clients got to them.
#include "soak/audit.h"

namespace endivetrestle::soak {

namespace {

// Text of an EXECUTE without the name, which the product may replace; any other text as it is.
std::string withoutPreparedName(const std::string& text)
{
    const std::string word = "EXECUTE ";
    if (text.rfind(word, 0) != 0)
        return text;
    const auto end = text.find(' ', word.size());
    return end == std::string::npos ? word : word + text.substr(end + 1);
}

std::string describe(const std::optional<PreparedShape>& shape)
{
    return shape ? (shape->writes ? "WRITE " : "READ ") + shape->text : "no shape";
}

std::string orNone(const std::string& transaction) { return transaction.empty() ? "none" : transaction; }

} // namespace

const Audit::Sent* Audit::checkRun(const StatementRun& run)
{
    this->answers[run.signature] = { run.id, run.rows };
    const auto found = this->sent.find(run.id);
    if (found == this->sent.end()) {
        this->violate(ViolationKind::NotSent, "endpoint ran statement " + run.id + " that no client sent");
        return nullptr;
    }
    const auto& statement = found->second.statement;
    if (withoutPreparedName(statement.text) != withoutPreparedName(run.text))
        this->violate(ViolationKind::NotSent,
            "statement " + run.id + " ran with the text " + run.text + " for " + statement.text);
    if (statement.values != run.values)
        this->violate(ViolationKind::WrongSession, "statement " + run.id + " ran with other session values");
    if (statement.shape != run.shape)
        this->violate(ViolationKind::WrongSession,
            "statement " + run.id + " ran " + describe(run.shape) + " for " + describe(statement.shape));
    this->checkTransaction(statement, run);
    this->checkCommitted(statement, run);
    return &found->second;
}

void Audit::checkTransaction(const SentStatement& statement, const StatementRun& run)
{
    if (statement.transaction.empty() || run.transaction.empty()) {
        if (statement.transaction != run.transaction)
            this->violate(ViolationKind::WrongSession,
                "statement " + run.id + " of the transaction " + orNone(statement.transaction)
                    + " ran in the transaction " + orNone(run.transaction));
        return;
    }
    const auto& owner = this->clientTransactions.try_emplace(run.transaction, statement.transaction).first->second;
    const auto& place = this->endpointTransactions.try_emplace(statement.transaction, run.transaction).first->second;
    if (owner != statement.transaction)
        this->violate(ViolationKind::WrongSession,
            "statement " + run.id + " of the transaction " + statement.transaction + " ran in the one of " + owner);
    else if (place != run.transaction)
        this->violate(ViolationKind::WrongSession,
            "statement " + run.id + " of the transaction " + statement.transaction + " ran in " + run.transaction
                + ", an earlier one in " + place);
}

void Audit::checkCommitted(const SentStatement& statement, const StatementRun& run)
{
    for (const auto& write : run.committed) {
        const auto found = this->sent.find(write);
        // A write that no client sent was reported when it ran.
        if (found != this->sent.end() && found->second.statement.transaction != statement.transaction)
            this->violate(ViolationKind::NotSent,
                "commit " + run.id + " of the transaction " + orNone(statement.transaction) + " committed " + write
                    + " of the transaction " + orNone(found->second.statement.transaction));
    }
}

void Audit::onError(const std::string& id, ReplyCode code)
{
    const auto found = this->sent.find(id);
    // A client executes a name only after its preparing was acknowledged.
    if (code == ReplyCode::NoStatement && found != this->sent.end() && found->second.statement.shape)
        this->violate(ViolationKind::WrongSession, "the prepared name of statement " + id + " is unknown");
}

void Audit::onSuccess(const std::string& id, const std::vector<std::string>& rows, const std::string& signature)
{
    const auto found = this->answers.find(signature);
    if (found == this->answers.end())
        this->violate(ViolationKind::WrongAnswer, "statement " + id + " got the signature " + signature + " of no run");
    else if (found->second.id != id)
        this->violate(ViolationKind::WrongAnswer, "statement " + id + " got the answer to " + found->second.id);
    else if (found->second.rows != rows)
        this->violate(ViolationKind::WrongAnswer,
            "statement " + id + " got " + std::to_string(rows.size()) + " rows that differ from the "
                + std::to_string(found->second.rows.size()) + " of its run");
}

} // namespace endivetrestle::soak
