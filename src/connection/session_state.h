#pragma once

#include "request/statement.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace endivetrestle {

// Statement that a client prepared under a name that it chose.
struct PreparedStatement {
    bool writes = false;
    std::string shape;

    bool operator==(const PreparedStatement&) const = default;

    // Name under which the statement is prepared on endpoint connections. It depends only on the shape and on whether
    // the statement writes, so that sessions share it, and two statements never have the same one. It contains no blank
    // or line end, whatever the shape contains.
    [[nodiscard]] std::string sharedName() const;
};

// Values and prepared statements of one client session that have been acknowledged to the client.
struct SessionState {
    std::map<std::string, std::string> values;
    std::map<std::string, PreparedStatement> prepared;

    bool operator==(const SessionState&) const = default;
};

// Session values and prepared statements that are set on one endpoint connection. Client sessions share connections, so
// a connection must be brought to the state of the session before a statement runs on it.
//
// A command that changes the state makes it unknown when it is sent. The answer makes it known again if it tells
// whether the command ran; a failure does not. Only a connection whose state is known may serve another session.
//
// Example:
//     for (const auto& command : sessionState.commandsFor(session, statement)) {
//         sessionState.onSent(command);
//         sessionState.onAnswer(send(command));
//     }
class ConnectionSessionState {
public:
    // A connection with this many prepared statements is reset before another one is prepared.
    static constexpr std::size_t maxPrepared = 200;

    // Commands that bring the connection to the state of the session and prepare the given statement, in order. Empty
    // if the connection is ready.
    [[nodiscard]] std::vector<EndpointCommand> commandsFor(
        const SessionState& session, const std::optional<PreparedStatement>& statement) const;

    // Records that a command was sent. The answer to the command before must have been recorded.
    void onSent(const EndpointCommand& command);
    // Records the answer to the command that was sent last.
    void onAnswer(const EndpointAnswer& answer);

    // Records that a command that changes the state may have failed although a success was recorded.
    void setUnknown() { this->unknown = true; }

    // Records that the endpoint does not know a prepared statement.
    void forgetPrepared(const std::string& sharedName);

    // Whether the values and statements that are set are known. False while a command that changes them is outstanding,
    // and for good after one of which it is not known whether it ran.
    [[nodiscard]] bool isKnown() const { return !this->outstanding && !this->unknown; }

    // Whether the connection can serve the session without a reset.
    [[nodiscard]] bool isCompatible(const SessionState& session) const;
    // Whether the connection holds exactly the values of the session.
    [[nodiscard]] bool matches(const SessionState& session) const { return this->values == session.values; }

private:
    void apply(const EndpointCommand& command);

    std::map<std::string, std::string> values;
    std::set<std::string> prepared;
    // Command that changes the state and has not been answered.
    std::optional<EndpointCommand> outstanding;
    // Whether such a command was answered without telling whether it ran.
    bool unknown = false;
};

} // namespace endivetrestle
