#include "request/statement.h"

namespace endivetrestle {

std::string_view replyCodeName(ReplyCode code)
{
    switch (code) {
    case ReplyCode::Busy:
        return "busy";
    case ReplyCode::Aborted:
        return "aborted";
    case ReplyCode::Lagging:
        return "lagging";
    case ReplyCode::ReadOnly:
        return "read_only";
    case ReplyCode::Misrouted:
        return "misrouted";
    case ReplyCode::TooManyConnections:
        return "too_many_connections";
    case ReplyCode::NoStatement:
        return "no_statement";
    case ReplyCode::Failed:
        return "failed";
    case ReplyCode::Timeout:
        return "timeout";
    case ReplyCode::InDoubt:
        return "in_doubt";
    case ReplyCode::UnknownDatabase:
        return "unknown_database";
    case ReplyCode::NotAuthorized:
        return "not_authorized";
    case ReplyCode::Malformed:
        return "malformed";
    case ReplyCode::TooLarge:
        return "too_large";
    case ReplyCode::Unknown:
        break;
    }
    return "unknown";
}

bool provesNotRun(ReplyCode code)
{
    switch (code) {
    case ReplyCode::Busy:
    case ReplyCode::Lagging:
    case ReplyCode::ReadOnly:
    case ReplyCode::Misrouted:
    case ReplyCode::TooManyConnections:
    case ReplyCode::NoStatement:
        return true;
    default:
        return false;
    }
}

std::string_view commandName(CommandKind kind)
{
    switch (kind) {
    case CommandKind::Forward:
        return "forward";
    case CommandKind::Execute:
        return "execute";
    case CommandKind::Begin:
        return "begin";
    case CommandKind::BeginRead:
        return "begin_read";
    case CommandKind::Rollback:
        return "rollback";
    case CommandKind::Reset:
        return "reset";
    case CommandKind::SetValue:
        return "set_value";
    case CommandKind::Prepare:
        return "prepare";
    case CommandKind::Status:
        return "status";
    case CommandKind::Demote:
        return "demote";
    }
    return "unknown";
}

} // namespace endivetrestle
