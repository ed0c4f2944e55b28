#pragma once

#include <string>
#include <string_view>

namespace endivetrestle {

// Why a client connection ended.
enum class SessionEndReason {
    // The client sent TERMINATE or closed the connection.
    ClientLeft,
    // The daemon is stopping and told the client to connect elsewhere.
    Stopping,
    // The stop grace ended while the session was still in use.
    StopDeadline,
    // The session start was refused.
    StartRefused,
    // The daemon holds the maximum number of sessions.
    SessionLimit,
    // The client sends statements faster than they are answered.
    TooManyWaiting,
    // The key of the session was revoked.
    KeyRevoked,
    // The first message of the client was not a valid session start.
    Unreadable,
};

// Name of a reason in logs and metrics.
constexpr std::string_view sessionEndName(SessionEndReason reason)
{
    switch (reason) {
    case SessionEndReason::ClientLeft:
        return "client_left";
    case SessionEndReason::Stopping:
        return "stopping";
    case SessionEndReason::StopDeadline:
        return "stop_deadline";
    case SessionEndReason::StartRefused:
        return "start_refused";
    case SessionEndReason::SessionLimit:
        return "session_limit";
    case SessionEndReason::TooManyWaiting:
        return "too_many_waiting";
    case SessionEndReason::KeyRevoked:
        return "key_revoked";
    case SessionEndReason::Unreadable:
        break;
    }
    return "unreadable";
}

// End of a client connection, for logs and metrics.
struct SessionEnd {
    SessionEndReason reason = SessionEndReason::ClientLeft;
    // Address of the client.
    std::string peer;
    // Empty if no session had started.
    std::string database;
    // Identifier of the statement that was under way and gets no answer; empty if there was none.
    std::string request;
    bool inTransaction = false;

    // Whether the client may have lost an answer, an open transaction or its session.
    [[nodiscard]] bool isCut() const
    {
        return !this->request.empty() || this->inTransaction
            || (this->reason != SessionEndReason::ClientLeft && this->reason != SessionEndReason::Stopping);
    }

    bool operator==(const SessionEnd&) const = default;
};

} // namespace endivetrestle
