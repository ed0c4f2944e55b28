#pragma once

#include "request/statement.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace endivetrestle {

// How far an answer is known to be the one to the command that is outstanding on its connection.
enum class AnswerMatch {
    // It is that command's answer.
    Proven,
    // It is that command's answer, or repeats one that the endpoint gave before on this connection.
    Possible,
    // It is not that command's answer, but repeats that of an earlier one.
    Repeated,
};

// An answer that is proven to be the one to the command which was outstanding, or that AnswerHistory accepts as such.
// Only AnswerHistory makes one, so that no other answer ends a statement. It refers to the answer, which must outlive
// it.
class ProvenAnswer {
public:
    const EndpointAnswer& operator*() const { return *this->answer; }
    const EndpointAnswer* operator->() const { return this->answer; }

private:
    friend class AnswerHistory;

    explicit ProvenAnswer(const EndpointAnswer& answer)
        : answer(&answer)
    {
    }

    const EndpointAnswer* answer;
};

// What AnswerHistory tells of an answer. `proven` refers to the answer and is set only if the match is Proven.
struct MatchedAnswer {
    AnswerMatch match = AnswerMatch::Repeated;
    std::optional<ProvenAnswer> proven;
};

// Answers that one connection to an endpoint has received. Answers name no command, and an endpoint may send one a
// second time, byte for byte and at any later moment. So an answer proves to be that of the outstanding command only if
// it can be one to such a command and differs from every answer before it:
//
// - The signature of a run is never given again.
// - The other successes are alike but for the transaction state, the position and the row of a status. Once one of them
//   may have been a repetition, the answer that belongs to its command is still to come, so later ones that look like
//   it prove nothing either.
// - Errors are alike but for code, text and position. As long as an answer is still to come, an error may be that one,
//   but for the codes that session commands never get.
//
// An endpoint answers the commands of a connection in order. A proven answer therefore proves those before it, unless
// an answer was lost and a repetition stands in its place.
class AnswerHistory {
public:
    // A connection that has received this many answers is replaced, which bounds the memory of the history.
    static constexpr std::size_t maxAnswers = 1000;

    // Decides whether the answer is the one to the outstanding command, and remembers it. `inTransaction`: whether a
    // transaction is open on the connection.
    MatchedAnswer match(const EndpointCommand& outstanding, bool inTransaction, const EndpointAnswer& answer);

    // Takes an error that was Possible for the outstanding statement's, because no other answer has come in time and
    // the endpoint is not known to repeat any. No value if it may be that of a session command whose answer is still to
    // come.
    std::optional<ProvenAnswer> accept(const EndpointAnswer& error);

    // Whether a success that may have been a repetition was followed by no proven answer yet.
    [[nodiscard]] bool hasUnproven() const { return this->unproven != 0; }
    [[nodiscard]] bool isFull() const { return this->seen.size() >= maxAnswers; }

private:
    AnswerMatch judge(const EndpointCommand& outstanding, bool inTransaction, const EndpointAnswer& answer);
    bool remember(const EndpointAnswer& answer);

    // Hashes of what identifies each answer, in ascending order.
    std::vector<std::uint64_t> seen;
    // Kinds of successes of which an answer may still be to come, as bits.
    unsigned unproven = 0;
};

} // namespace endivetrestle
