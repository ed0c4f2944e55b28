#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

// Cells of the fault matrix: which fault is injected at which occurrence of which step of which scenario.
namespace endivetrestle::testing::matrix {

// What happens in a case besides the faults of its cell.
enum class Scenario {
    Steady,
    // The primary stops answering for good.
    PrimaryKilled,
    // The primary is cut off from daemons and replicas and believes that it is the leader.
    PrimaryCut,
    // The ranks of the owners change.
    OwnerChanged,
    // The primary is declared as leaving.
    PrimaryLeaving,
};

// Messages and transitions at which a fault can be injected.
enum class Step {
    Submit,
    Forward,
    Read,
    Write,
    Begin,
    Statement,
    Commit,
    // Rolls back and clears a connection.
    Reset,
    Resolve,
    Status,
    Watch,
    Replicate,
    // The outcome is taken and handed to the caller.
    Deliver,
    Suspect,
    Ask,
    Fence,
    Promote,
    // A daemon learns of a new primary.
    Settle,
    RankChange,
    // Steps of a confirmation and of the adoption of its version.
    ReadPlan,
    ReadRow,
    PutBody,
    WriteRow,
    ReadBack,
    Adopt,
};

enum class Fault {
    EndpointDown,
    CutFromReplicas,
    CutFromDaemons,
    CutFromBoth,
    ReplicaBehind,
    CallLost,
    // The call takes effect after its sender has given up.
    CallLate,
    AnswerLost,
    AnswerLate,
    AnswerTwice,
    AnswerCrossed,
    // The answer reports lower positions, or an older row, than an earlier one.
    PositionBack,
    DaemonKilled,
    DaemonPaused,
    ClockJump,
    TwoActive,
    OwnerChange,
    CallerRetries,
    CallerGone,
    // The store answers nothing for a while.
    StoreDown,
};

// Broken rules that the matrix must detect.
enum class Mutation {
    None,
    AcknowledgeOneHolder,
    PromoteLowest,
    ResendUnknown,
    SkipMinPosition,
    SkipAbortMarker,
    ReuseDirty,
    AdoptOlder,
    IgnoreEvidenceAge,
};

struct Injection {
    Step step = Step::Submit;
    // Counted from 1.
    int occurrence = 1;
    // Whether a fault of the surroundings strikes after the effect of the message and before its answer.
    bool afterEffect = false;
    Fault fault = Fault::CallLost;
};

struct Cell {
    Scenario scenario = Scenario::Steady;
    std::vector<Injection> injections;
    std::uint64_t seed = 1;
};

std::string_view stepName(Step step);
std::string_view faultName(Fault fault);

// For example "primary_killed/fence.2.before.endpoint_down+fence.3.after.answer_lost#7".
std::string toString(const Cell& cell);

// Faults that change one message, as opposed to its surroundings.
bool isMessageFault(Fault fault);

// Scenarios and steps that cases are generated for.
struct StepRow {
    Scenario scenario;
    Step step;
    // Occurrences at which single faults are injected.
    std::vector<int> occurrences;
    // Whether pairs of faults are generated.
    bool pairs = false;
};
const std::vector<StepRow>& dataSteps();
const std::vector<StepRow>& confirmSteps();

std::vector<Cell> singleCells(const StepRow& row, std::uint64_t seed);
std::vector<Cell> pairCells(const StepRow& row, std::uint64_t seed);
// A fault before the primary dies, and a second one at a fence or promote call.
std::vector<Cell> prefixedCells(std::uint64_t seed);

} // namespace endivetrestle::testing::matrix
