// GroupScheduler: finding the command that an answer belongs to.
#include "process/group_scheduler.h"

#include "base/log.h"

#include <algorithm>
#include <utility>

namespace endivetrestle {

namespace {

// Time for which endpoints are expected to repeat answers after one of the group has done so.
constexpr Duration repetitionMemory = std::chrono::minutes(5);
// Time for which an error that may be a repetition is held, as a multiple of the endpoint's usual latency.
constexpr int ownAnswerLatencyFactor = 4;
constexpr Duration minErrorHold = std::chrono::milliseconds(10);
constexpr Duration maxErrorHold = std::chrono::milliseconds(200);

// Whether the answer is an error to a statement that was sent.
bool isStatementError(const EndpointConnection& connection, const EndpointAnswer& answer)
{
    return !answer.succeeded && connection.execution && connection.pendingCommands.size() == 1;
}

// Logs an answer that the endpoint should not have sent, with the command that is outstanding.
void logAnswer(
    std::string_view event, const DatabaseId& group, const EndpointConnection& connection, const EndpointAnswer& answer)
{
    const EndpointCommand* command = connection.pendingCommands.empty() ? nullptr : &connection.pendingCommands.front();
    logEvent(LogLevel::Warning, event,
        { { "group", group.value }, { "endpoint", connection.endpoint.value }, { "connection", connection.id },
            { "outstanding", command == nullptr ? "" : commandName(command->kind) },
            { "request", command == nullptr ? "" : command->id },
            { "code", answer.succeeded ? "ok" : replyCodeName(answer.code) }, { "signature", answer.signature } });
}

} // namespace

// Tells whose answer it is, and logs what an endpoint should not do.
MatchedAnswer GroupScheduler::matchAnswer(EndpointConnection& connection, const EndpointAnswer& answer, Time now)
{
    const auto& command = connection.pendingCommands.front();
    const auto matched = connection.answers.match(command, connection.inTransaction, answer);
    if (matched.proven)
        connection.valuesUnproven = false;
    if (matched.match == AnswerMatch::Possible)
        ++this->counts.uncertainAnswers;
    if (matched.match == AnswerMatch::Repeated) {
        this->repeatsUntil = now + repetitionMemory;
        ++this->counts.repeatedAnswers;
        if (!std::exchange(connection.repeats, true))
            logAnswer("answer_repeated", this->group, connection, answer);
    }
    return matched;
}

void GroupScheduler::onAnswer(ConnectionId id, const EndpointAnswer& answer, Time now)
{
    auto* connection = this->findConnection(id);
    if (connection == nullptr)
        return;
    auto& endpoint = this->endpoints.at(connection->endpoint);
    endpoint.lastAnswerAt = now;
    endpoint.silent = false;
    if (connection->pendingCommands.empty()) {
        logAnswer("unexpected_answer", this->group, *connection, answer);
        this->repeatsUntil = now + repetitionMemory;
        this->closeConnection(*connection);
        return;
    }
    // Asked before the answer is matched, as a proven one ends all doubts.
    const bool sessionCommandAwaited = connection->answers.hasUnproven();
    const auto matched = this->matchAnswer(*connection, answer, now);
    if (matched.match == AnswerMatch::Repeated)
        return;
    const bool held = connection->heldError.has_value();
    connection->heldError.reset();
    // The error that was held is not the statement's. It may be that of a session command which counted as successful.
    if (held && sessionCommandAwaited)
        connection->sessionState.setUnknown();
    if (!matched.proven && !canProveLater(connection->pendingCommands.front(), answer)) {
        if (!held && isStatementError(*connection, answer))
            this->holdError(*connection, answer, now);
        else
            this->onUncertainAnswer(*connection, answer, now);
        return;
    }
    if (matched.proven)
        this->recordPosition(endpoint, *connection, answer.position, now);
    else
        connection->valuesUnproven
            = connection->valuesUnproven || connection->pendingCommands.front().kind != CommandKind::Prepare;
    connection->sessionState.onAnswer(answer);
    if (connection->control && matched.proven)
        this->onControlAnswer(*connection, *matched.proven, now);
    else if (connection->phase == EndpointConnection::Phase::Ending) {
        connection->pendingCommands.clear();
        this->settle(*connection, answer.phase, now);
    } else if (connection->pendingCommands.size() > 1)
        this->onCommandAnswer(*connection, answer, now);
    else if (matched.proven)
        this->onStatementAnswer(*connection, *matched.proven, now);
}

// Whether a success that may be a repetition can stand until a later answer proves it. Session values are proven before
// a statement relies on them (needsProof), and a statement that was not prepared cannot be executed.
bool GroupScheduler::canProveLater(const EndpointCommand& command, const EndpointAnswer& answer)
{
    return answer.succeeded
        && (command.kind == CommandKind::Reset || command.kind == CommandKind::SetValue
            || command.kind == CommandKind::Prepare);
}

// Keeps an error that may be a repetition for the time in which the statement's own answer should come if it is one.
void GroupScheduler::holdError(EndpointConnection& connection, const EndpointAnswer& answer, Time now)
{
    connection.heldError = answer;
    const auto latency = this->endpoints.at(connection.endpoint).latency;
    const auto until = now + std::clamp(latency * ownAnswerLatencyFactor, minErrorHold, maxErrorHold);
    this->timers.subscribeAt(
        until, [this, alive = this->alive, id = connection.id, sentAt = connection.sentAt](Time at) {
            auto* held = *alive ? this->findConnection(id) : nullptr;
            if (held != nullptr && held->heldError && held->sentAt == sentAt)
                this->releaseError(*held, at);
        });
}

// No other answer has come. While no endpoint of the group repeats answers, the error counts as the statement's own.
void GroupScheduler::releaseError(EndpointConnection& connection, Time now)
{
    const auto answer = *std::exchange(connection.heldError, std::nullopt);
    const auto accepted = now < this->repeatsUntil ? std::nullopt : connection.answers.accept(answer);
    if (accepted)
        this->onStatementAnswer(connection, *accepted, now);
    else
        this->onUncertainAnswer(connection, answer, now);
}

// The answer may be that of an earlier command, and the one that belongs to the outstanding command still to come.
void GroupScheduler::onUncertainAnswer(EndpointConnection& connection, const EndpointAnswer& answer, Time now)
{
    if (connection.control) {
        this->moveControlTask(connection, now);
        return;
    }
    const auto id = connection.id;
    const auto execution = connection.execution;
    const bool unsent = connection.pendingCommands.size() > 1;
    if (unsent && execution)
        --execution->attempts;
    const bool mayRepeat = execution && execution->work.isRepeatable() && !connection.inTransaction;
    if (!unsent && mayRepeat && (answer.code == ReplyCode::Busy || answer.code == ReplyCode::Lagging)) {
        // Running a read again does no harm, so it may take the refusal for its own.
        this->noteRefusal(connection, answer, now);
        connection.execution.reset();
        --this->endpoints.at(connection.endpoint).running;
        this->closeConnection(connection);
        this->requeueOrFail(execution, answer, now);
        return;
    }
    this->failExecution(connection, false, "the answer may be that of an earlier statement");
    if (auto* left = this->findConnection(id))
        this->closeConnection(*left);
    this->checkDrained(false);
    this->dispatch(now);
}

// Runs a control command again on a new connection, whose first answer repeats none.
void GroupScheduler::moveControlTask(EndpointConnection& connection, Time now)
{
    auto& endpoint = this->endpoints.at(connection.endpoint);
    --endpoint.running;
    endpoint.controls.push_front(std::exchange(connection.control, nullptr));
    this->closeConnection(connection);
    if (endpoint.opening == 0)
        this->openConnection(endpoint, {}, now);
}

void GroupScheduler::onControlAnswer(EndpointConnection& connection, const ProvenAnswer& proven, Time now)
{
    const EndpointAnswer& answer = *proven;
    const auto task = std::exchange(connection.control, nullptr);
    connection.pendingCommands.clear();
    --this->endpoints.at(connection.endpoint).running;
    this->settle(connection, answer.phase, now);
    if (std::exchange(task->finished, true))
        return;
    this->timers.cancel(task->timer);
    task->callback(&answer);
}

} // namespace endivetrestle
