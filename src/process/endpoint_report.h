#pragma once

#include "base/position.h"

#include <cstdint>
#include <optional>

namespace endivetrestle {

// Role, term and log position of an endpoint, as it reports them on request.
struct EndpointReport {
    bool isPrimary = false;
    std::uint64_t term = 0;
    Position received;

    bool operator==(const EndpointReport&) const = default;
};

// How a request for an endpoint's report ended.
enum class EndpointReplyStatus {
    // The endpoint reported.
    Reported,
    // The endpoint runs, but had no free slot for the request. It may be asked again at once.
    Busy,
    // The endpoint runs, and answered something that is not a report.
    Unreadable,
    // No answer in time, or no connection. Nothing is known about the endpoint.
    Silent,
    // The endpoint is not registered, so it was not asked.
    Unregistered,
};

// Name of a status for logs, for example "busy".
const char* replyStatusName(EndpointReplyStatus status);

// Outcome of a request for an endpoint's report.
struct EndpointReply {
    EndpointReplyStatus status = EndpointReplyStatus::Silent;
    // Set exactly if the endpoint reported.
    std::optional<EndpointReport> report;

    static EndpointReply reported(const EndpointReport& report) { return { EndpointReplyStatus::Reported, report }; }

    // Whether the reply proves that the endpoint runs.
    [[nodiscard]] bool isAlive() const
    {
        return this->status == EndpointReplyStatus::Reported || this->status == EndpointReplyStatus::Busy
            || this->status == EndpointReplyStatus::Unreadable;
    }
    // Whether the endpoint runs but has not reported.
    [[nodiscard]] bool isAliveWithoutReport() const { return this->isAlive() && !this->report; }
    // Whether the endpoint runs and does not deny that it is the primary. One that had no free slot has denied nothing.
    [[nodiscard]] bool mayBePrimary() const
    {
        return this->report ? this->report->isPrimary : this->status == EndpointReplyStatus::Busy;
    }

    bool operator==(const EndpointReply&) const = default;
};

} // namespace endivetrestle
