#include "connection/answer_history.h"

#include <catch2/catch.hpp>

using namespace endivetrestle;

namespace {

const EndpointCommand readItem { CommandKind::Forward, "id", "READ 1" };
const EndpointCommand setValue { CommandKind::SetValue, "", "tenant", "noi" };
const EndpointCommand prepare { CommandKind::Prepare, "", "r_q", "q" };
const EndpointCommand begin { CommandKind::Begin };
const EndpointCommand status { CommandKind::Status };

// Success of a forwarded statement.
EndpointAnswer run(const std::string& signature, SessionPhase phase = SessionPhase::Idle)
{
    EndpointAnswer answer;
    answer.succeeded = true;
    answer.signature = signature;
    answer.phase = phase;
    answer.position = Position { 1, 10 };
    return answer;
}

// Success of one of the proxy's own commands.
EndpointAnswer done(std::uint64_t index, SessionPhase phase = SessionPhase::Idle, const std::string& row = "")
{
    EndpointAnswer answer;
    answer.succeeded = true;
    answer.firstRow = row;
    answer.phase = phase;
    answer.position = Position { 1, index };
    return answer;
}

EndpointAnswer error(ReplyCode code, SessionPhase phase = SessionPhase::Idle)
{
    EndpointAnswer answer;
    answer.code = code;
    answer.phase = phase;
    return answer;
}

AnswerMatch matchOf(
    AnswerHistory& history, const EndpointCommand& outstanding, bool inTransaction, const EndpointAnswer& answer)
{
    const auto matched = history.match(outstanding, inTransaction, answer);
    CHECK(matched.proven.has_value() == (matched.match == AnswerMatch::Proven));
    return matched.match;
}

} // namespace

TEST_CASE("AnswerHistory, knows the signature of every run again")
{
    // Guards against a second answer, however late, that passes for that of a later statement.
    AnswerHistory history;
    for (int i = 0; i < 100; ++i)
        CHECK(matchOf(history, readItem, false, run("s" + std::to_string(i))) == AnswerMatch::Proven);
    CHECK(matchOf(history, readItem, false, run("s0")) == AnswerMatch::Repeated);
    CHECK(matchOf(history, readItem, false, run("s99")) == AnswerMatch::Repeated);
    CHECK(matchOf(history, readItem, false, run("s100")) == AnswerMatch::Proven);
}

TEST_CASE("AnswerHistory, takes no answer for one to a command that cannot have it")
{
    // Guards against an answer that is known to be another command's by its kind alone.
    AnswerHistory history;
    CHECK(matchOf(history, readItem, false, done(10)) == AnswerMatch::Repeated);
    CHECK(matchOf(history, readItem, false, error(ReplyCode::Busy, SessionPhase::FailedTransaction))
        == AnswerMatch::Repeated);
    CHECK(matchOf(history, setValue, false, run("s1")) == AnswerMatch::Repeated);
    CHECK(matchOf(history, setValue, false, done(10, SessionPhase::Transaction)) == AnswerMatch::Repeated);
    CHECK(matchOf(history, setValue, false, done(10, SessionPhase::Idle, "primary 1")) == AnswerMatch::Repeated);
    CHECK(matchOf(history, begin, false, done(10)) == AnswerMatch::Repeated);
    CHECK(matchOf(history, status, false, done(10)) == AnswerMatch::Repeated);
    CHECK(matchOf(history, setValue, false, done(11)) == AnswerMatch::Proven);
}

TEST_CASE("AnswerHistory, remembers an answer that the outstanding command cannot have")
{
    // Guards against the late answer to a SET that is dropped, and whose repetition passes for that to the next SET.
    AnswerHistory history;
    CHECK(matchOf(history, readItem, false, done(10)) == AnswerMatch::Repeated);
    CHECK(matchOf(history, readItem, false, run("s1")) == AnswerMatch::Proven);
    CHECK(matchOf(history, setValue, false, done(10)) == AnswerMatch::Possible);
}

TEST_CASE("AnswerHistory, proves a success without a signature by a position or row that was not there before")
{
    // Guards against a second answer to SET, PREPARE, BEGIN or STATUS that passes for that to a later command.
    AnswerHistory history;
    CHECK(matchOf(history, setValue, false, done(10)) == AnswerMatch::Proven);
    CHECK(matchOf(history, begin, false, done(10, SessionPhase::Transaction)) == AnswerMatch::Proven);
    CHECK(matchOf(history, begin, false, done(10, SessionPhase::Transaction)) == AnswerMatch::Possible);
    CHECK(matchOf(history, status, false, done(10, SessionPhase::Idle, "a")) == AnswerMatch::Proven);
    CHECK(matchOf(history, status, false, done(10, SessionPhase::Idle, "a")) == AnswerMatch::Possible);
    CHECK(matchOf(history, setValue, false, done(11)) == AnswerMatch::Proven);
}

TEST_CASE("AnswerHistory, proves nothing by a success while one like it is still to come")
{
    // Guards against the late answer to a SET, at a new position, that passes for that to the next one.
    AnswerHistory history;
    CHECK(matchOf(history, setValue, false, done(10)) == AnswerMatch::Proven);
    CHECK(matchOf(history, setValue, false, done(10)) == AnswerMatch::Possible);
    CHECK(history.hasUnproven());
    CHECK(matchOf(history, prepare, false, done(11)) == AnswerMatch::Possible);
    CHECK(matchOf(history, readItem, false, run("s1")) == AnswerMatch::Proven);
    CHECK_FALSE(history.hasUnproven());
    CHECK(matchOf(history, prepare, false, done(12)) == AnswerMatch::Proven);
}

TEST_CASE("AnswerHistory, proves the answers before a status row")
{
    AnswerHistory history;
    CHECK(matchOf(history, setValue, false, done(10)) == AnswerMatch::Proven);
    CHECK(matchOf(history, setValue, false, done(10)) == AnswerMatch::Possible);
    CHECK(matchOf(history, status, false, done(10, SessionPhase::Idle, "primary 1")) == AnswerMatch::Proven);
    CHECK_FALSE(history.hasUnproven());
}

TEST_CASE("AnswerHistory, proves an error only the first time, and only if no answer is still to come")
{
    // Guards against a repeated refusal of one statement that passes for the promise that another one did not run.
    AnswerHistory history;
    CHECK(matchOf(history, readItem, false, error(ReplyCode::Busy)) == AnswerMatch::Proven);
    CHECK(matchOf(history, readItem, false, error(ReplyCode::Busy)) == AnswerMatch::Possible);
    CHECK(matchOf(history, readItem, false, error(ReplyCode::Lagging)) == AnswerMatch::Proven);
    auto later = error(ReplyCode::Busy);
    later.position = Position { 1, 11 };
    CHECK(matchOf(history, readItem, false, later) == AnswerMatch::Proven);
    CHECK(matchOf(history, setValue, false, done(10)) == AnswerMatch::Proven);
    CHECK(matchOf(history, setValue, false, done(10)) == AnswerMatch::Possible);
    CHECK(matchOf(history, readItem, false, error(ReplyCode::Failed)) == AnswerMatch::Possible);
}

TEST_CASE("AnswerHistory, proves a refusal that no session command gets, even if an answer is still to come")
{
    // Guards against a write in doubt for each refusal behind session commands, at endpoints that repeat nothing.
    const auto code = GENERATE(ReplyCode::Busy, ReplyCode::Lagging, ReplyCode::ReadOnly, ReplyCode::NoStatement);
    AnswerHistory history;
    CHECK(matchOf(history, setValue, false, done(10)) == AnswerMatch::Proven);
    CHECK(matchOf(history, setValue, false, done(10)) == AnswerMatch::Possible);
    CHECK(matchOf(history, readItem, false, error(code)) == AnswerMatch::Proven);
    CHECK_FALSE(history.hasUnproven());
}

TEST_CASE("AnswerHistory, is full after a bounded number of answers")
{
    AnswerHistory history;
    for (std::size_t i = 0; i < AnswerHistory::maxAnswers; ++i) {
        CHECK_FALSE(history.isFull());
        matchOf(history, readItem, false, run("s" + std::to_string(i)));
    }
    CHECK(history.isFull());
}
