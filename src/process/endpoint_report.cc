#include "process/endpoint_report.h"

namespace endivetrestle {

const char* replyStatusName(EndpointReplyStatus status)
{
    switch (status) {
    case EndpointReplyStatus::Reported:
        return "reported";
    case EndpointReplyStatus::Busy:
        return "busy";
    case EndpointReplyStatus::Unreadable:
        return "unreadable";
    case EndpointReplyStatus::Unregistered:
        return "unregistered";
    case EndpointReplyStatus::Silent:
        break;
    }
    return "silent";
}

} // namespace endivetrestle
