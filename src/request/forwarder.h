#pragma once

#include "base/identifier.h"
#include "request/request.h"

#include <set>
#include <variant>
#include <vector>

namespace endivetrestle {

// Next step for a request at the daemon that received it.
struct RunLocally {
    Request request;

    bool operator==(const RunLocally&) const = default;
};
struct ForwardTo {
    DaemonId daemon;
    Request request;

    bool operator==(const ForwardTo&) const = default;
};
struct AnswerCaller {
    Outcome outcome;

    bool operator==(const AnswerCaller&) const = default;
};
using ForwardStep = std::variant<RunLocally, ForwardTo, AnswerCaller>;

struct ForwarderSettings {
    // Daemons that one request is sent to, the first included.
    int maxAttempts = 4;
};

// Decides which owner of its database a request goes to, and what follows when that owner cannot be reached or may have
// run it. A write is sent to another owner only if it is proven that the first one did not run it; otherwise the next
// owner is asked for its outcome by its request id, so that no write runs twice (I6).
//
// Example:
//     Forwarder forwarder(request, self, {}, {});
//     auto step = forwarder.start(owners, now);
//     // after the outcome of the step:
//     step = forwarder.onOutcome(outcome, owners, now);
class Forwarder {
public:
    // The holder is the daemon that holds the transaction of the request, and empty for other requests.
    Forwarder(Request request, DaemonId self, DaemonId holder, ForwarderSettings settings);

    // Owners by rank, as this daemon sees them now.
    ForwardStep start(const std::vector<DaemonId>& owners, Time now);

    // Outcome of the last step, from this daemon or from an owner.
    ForwardStep onOutcome(const Outcome& outcome, const std::vector<DaemonId>& owners, Time now);

    // Daemon of the last step.
    [[nodiscard]] const DaemonId& target() const { return this->lastTarget; }

private:
    ForwardStep sendTo(const DaemonId& daemon);
    ForwardStep sendToNext(const std::vector<DaemonId>& owners, Time now, Outcome fallback);
    ForwardStep resolveAtNext(const std::vector<DaemonId>& owners, Time now, const Outcome& fallback);

    Request request;
    DaemonId self;
    DaemonId holder;
    ForwarderSettings settings;
    int attempts = 0;
    DaemonId lastTarget;
    // Daemons that refused or failed; they are tried again only when no other is left.
    std::set<DaemonId> failed;
    // An earlier send may have run.
    bool mayHaveRun = false;
};

} // namespace endivetrestle
