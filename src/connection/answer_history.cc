#include "connection/answer_history.h"

#include <algorithm>
#include <functional>
#include <string>

namespace endivetrestle {

namespace {

bool isForwarded(const EndpointCommand& command)
{
    return command.kind == CommandKind::Forward || command.kind == CommandKind::Execute;
}

// Transaction state in which a success of one of the proxy's own commands leaves the connection.
SessionPhase phaseAfter(const EndpointCommand& command, bool inTransaction)
{
    if (command.kind == CommandKind::Begin || command.kind == CommandKind::BeginRead)
        return SessionPhase::Transaction;
    if (command.kind == CommandKind::Rollback)
        return SessionPhase::Idle;
    return inTransaction ? SessionPhase::Transaction : SessionPhase::Idle;
}

// Whether an endpoint can give the answer to such a command.
bool fits(const EndpointCommand& command, bool inTransaction, const EndpointAnswer& answer)
{
    if (!answer.succeeded)
        return inTransaction || answer.phase == SessionPhase::Idle;
    if (isForwarded(command))
        return !answer.signature.empty();
    if (!answer.signature.empty())
        return false;
    const bool hasRow = !answer.firstRow.empty();
    if (command.kind == CommandKind::Status)
        return hasRow;
    return answer.phase == phaseAfter(command, inTransaction) && (!hasRow || command.kind == CommandKind::Demote);
}

// Whether SET, RESET or PREPARE can fail with the code. They need no free slot, read no log and change no data.
bool isGivenToSessionCommands(ReplyCode code)
{
    return code != ReplyCode::Busy && code != ReplyCode::Lagging && code != ReplyCode::ReadOnly
        && code != ReplyCode::NoStatement;
}

// Bit of a success without a signature: those of one bit can be told apart only by position and row.
unsigned kindOf(const EndpointAnswer& answer)
{
    constexpr unsigned withRow = 4;
    const auto phase = static_cast<unsigned>(answer.phase);
    return 1U << (phase + (answer.firstRow.empty() ? 0 : withRow));
}

// What an answer has in common with its repetitions only, as far as the endpoint makes that so.
std::string identityOf(const EndpointAnswer& answer)
{
    if (!answer.signature.empty())
        return "run " + answer.signature;
    std::string identity = answer.succeeded ? "done " : "error ";
    identity += std::to_string(answer.succeeded ? kindOf(answer) : static_cast<unsigned>(answer.code)) + ' ';
    identity += answer.position ? toString(*answer.position) : "-";
    identity += ' ';
    return identity += answer.succeeded ? answer.firstRow : answer.errorText;
}

} // namespace

MatchedAnswer AnswerHistory::match(const EndpointCommand& outstanding, bool inTransaction, const EndpointAnswer& answer)
{
    MatchedAnswer result;
    result.match = this->judge(outstanding, inTransaction, answer);
    if (result.match == AnswerMatch::Proven)
        result.proven = ProvenAnswer(answer);
    return result;
}

AnswerMatch AnswerHistory::judge(const EndpointCommand& outstanding, bool inTransaction, const EndpointAnswer& answer)
{
    const bool isNew = this->remember(answer);
    if (!fits(outstanding, inTransaction, answer))
        return AnswerMatch::Repeated;
    if (!answer.signature.empty()) {
        if (!isNew)
            return AnswerMatch::Repeated;
        this->unproven = 0;
        return AnswerMatch::Proven;
    }
    const unsigned kind = answer.succeeded ? kindOf(answer) : this->unproven;
    const bool awaited = (this->unproven & kind) != 0 && (answer.succeeded || isGivenToSessionCommands(answer.code));
    if (isNew && !awaited) {
        this->unproven = 0;
        return AnswerMatch::Proven;
    }
    this->unproven |= kind;
    return AnswerMatch::Possible;
}

std::optional<ProvenAnswer> AnswerHistory::accept(const EndpointAnswer& error)
{
    if (this->unproven != 0 && isGivenToSessionCommands(error.code))
        return std::nullopt;
    this->unproven = 0;
    return ProvenAnswer(error);
}

bool AnswerHistory::remember(const EndpointAnswer& answer)
{
    const std::uint64_t hash = std::hash<std::string>()(identityOf(answer));
    const auto place = std::lower_bound(this->seen.begin(), this->seen.end(), hash);
    if (place != this->seen.end() && *place == hash)
        return false;
    this->seen.insert(place, hash);
    return true;
}

} // namespace endivetrestle
