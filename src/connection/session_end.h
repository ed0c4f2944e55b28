#pragma once

#include <string>
#include <string_view>

namespace endivetrestle {

// Why a client connection ended.
enum class SessionEndReason {
    // The client said so, or closed the connection.
    ClientLeft,
    // The daemon is stopping and told the client to connect elsewhere.
    Stopping,
    // The daemon stopped while the session was in use.
    StopDeadline,
    // The session start was refused.
    StartRefused,
    // The daemon has no room for another session.
    SessionLimit,
    // The client sends statements faster than they are answered.
    TooManyWaiting,
    // What the client sent was no session start.
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
    // Statement that gets no answer; empty if none was under way.
    std::string request;
    bool inTransaction = false;

    // Whether the client may miss something that it asked for.
    [[nodiscard]] bool isCut() const
    {
        return !this->request.empty() || this->inTransaction
            || (this->reason != SessionEndReason::ClientLeft && this->reason != SessionEndReason::Stopping);
    }

    bool operator==(const SessionEnd&) const = default;
};

} // namespace endivetrestle
