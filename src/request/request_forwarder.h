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
    // Maximum number of sends of one request to daemons, the first included.
    int maxAttempts = 4;
};

// Chooses the owner of the database that a request is sent to, and the next step when that owner is unreachable or may
// have run the request. A write is sent to another owner only if it is proven that the first one did not run it;
// otherwise the next owner is asked for its outcome by its request id, so that no write runs twice (I6).
//
// Example:
//     Forwarder forwarder(request, self, {}, {});
//     auto step = forwarder.start(owners, now);
//     // after the outcome of the step:
//     step = forwarder.onOutcome(outcome, owners, now);
class Forwarder {
public:
    // transactionHolder is the daemon that holds the transaction of the request. It is empty for a request outside a
    // transaction.
    Forwarder(Request request, DaemonId self, DaemonId transactionHolder, ForwarderSettings settings);

    // Returns the first step. The owners are those currently known to this daemon, in order of rank.
    ForwardStep start(const std::vector<DaemonId>& owners, Time now);

    // Returns the step that follows the outcome of the last one, which comes from this daemon or from an owner.
    ForwardStep onOutcome(const Outcome& outcome, const std::vector<DaemonId>& owners, Time now);

    // Daemon of the last step.
    [[nodiscard]] const DaemonId& target() const { return this->lastTarget; }

private:
    ForwardStep sendTo(const DaemonId& daemon);
    ForwardStep sendToNext(const std::vector<DaemonId>& owners, Time now, Outcome fallback);
    ForwardStep resolveAtNext(const std::vector<DaemonId>& owners, Time now, const Outcome& fallback);

    Request request;
    DaemonId self;
    DaemonId transactionHolder;
    ForwarderSettings settings;
    int attempts = 0;
    DaemonId lastTarget;
    // Daemons that refused or failed. Only a resolve is sent to them again, when no other owner is left.
    std::set<DaemonId> failedOwners;
    // Whether an earlier send may have run.
    bool mayHaveRun = false;
};

} // namespace endivetrestle
