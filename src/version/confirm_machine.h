#pragma once

#include "base/outcome.h"
#include "version/configuration_row.h"
#include "version/plan.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace endivetrestle {

// Actions of the state machine. Exactly one is outstanding at a time.
struct ReadRow {
    std::string key;
    bool operator==(const ReadRow&) const = default;
};
// Writes only if the row's revision is still the expected one; 0 means that the row must not exist.
struct WriteRow {
    std::string key;
    std::string value;
    std::uint64_t expectedRevision = 0;
    std::string operationId;
    bool operator==(const WriteRow&) const = default;
};
struct PutObject {
    std::string key;
    std::string body;
    bool operator==(const PutObject&) const = default;
};
struct GetObject {
    std::string key;
    bool operator==(const GetObject&) const = default;
};

enum class ConfirmStatus {
    // This confirmation wrote the plan's version to the configuration row.
    Accepted,
    // An earlier confirmation of the same plan was accepted.
    AlreadyAccepted,
    // The plan has not been accepted; see code and lines.
    Refused,
    // The outcome is unknown if a write was sent. Confirming the plan again resumes the confirmation.
    StoreUnavailable,
};

// Last action: the confirmation has finished.
struct ConfirmResult {
    ConfirmStatus status = ConfirmStatus::StoreUnavailable;
    // None, PlanUnknown, PlanOutdated, PlanInvalid or StoreUnavailable.
    ErrorCode code = ErrorCode::None;
    // Accepted version; 0 if there is none.
    std::uint64_t version = 0;
    // The accepted configuration for Accepted and AlreadyAccepted.
    std::shared_ptr<const Configuration> configuration;
    // Whether a conditional write was sent whose effect is unknown.
    bool outcomeUnknown = false;
    // Reasons for the operator. For PlanOutdated they include the difference between the plan's base and the current
    // version, if there is one.
    std::vector<std::string> lines;
};

using ConfirmAction = std::variant<ReadRow, WriteRow, PutObject, GetObject, ConfirmResult>;

// State machine that confirms a plan. It reads the plan, checks the plan's base against the configuration row, stores
// the new configuration's text and writes the row on the condition that it is unchanged. If an answer is lost or the
// condition fails, it reads the row back and looks for its operation id. Any daemon may run it again at any time with
// the same plan id, because the operation id is the plan id and the condition allows at most one write per base
// version. Each step is retried a few times after lost answers, so the number of actions of one run is bounded.
//
// Example:
//     ConfirmMachine machine(planId, nowMs);
//     auto action = machine.start();
//     while (!std::holds_alternative<ConfirmResult>(action))
//         action = machine.onAnswer(perform(action));
class ConfirmMachine {
public:
    // nowMs is the Unix time in milliseconds. It is only used to refuse expired plans.
    ConfirmMachine(PlanId plan, std::int64_t nowMs);

    ConfirmAction start();
    // Takes the answer to the outstanding action.
    ConfirmAction onAnswer(const StoreAnswer& answer);

private:
    enum class Step { ReadingPlan, ReadingRow, PuttingBody, WritingRow, GettingBase, GettingCurrent, Done };

    ConfirmAction onPlan(const StoreAnswer& answer);
    ConfirmAction onRow(const StoreAnswer& answer);
    ConfirmAction onBody(const StoreAnswer& answer);
    ConfirmAction onWritten(const StoreAnswer& answer);
    ConfirmAction onBase(const StoreAnswer& answer);
    ConfirmAction onCurrent(const StoreAnswer& answer);
    ConfirmAction decide();
    ConfirmAction putBody();
    ConfirmAction writeRow();
    ConfirmAction readRow();
    ConfirmAction startDifference();
    ConfirmAction outdated(std::vector<std::string> lines);
    ConfirmAction accepted();
    ConfirmAction refused(ErrorCode code, std::vector<std::string> lines);
    ConfirmAction unavailable(const std::string& line);

    PlanId planId;
    std::int64_t nowMs;
    Step step = Step::ReadingPlan;
    std::optional<Plan> plan;
    std::shared_ptr<const Configuration> result;
    ConfigurationRow row;
    std::uint64_t revision = 0;
    ConfigurationDocument base;
    bool bodyStored = false;
    bool writeSent = false;
    int readsLeft = 6;
    int putsLeft = 2;
    int writesLeft = 3;
};

} // namespace endivetrestle
