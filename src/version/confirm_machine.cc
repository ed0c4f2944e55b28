#include "version/confirm_machine.h"

#include "version/configuration_difference.h"

#include <algorithm>

namespace endivetrestle {

namespace {

ConfigurationRow nextRow(const ConfigurationRow& current, const Configuration& result, const PlanId& operation)
{
    ConfigurationRow row { result.version(), result.hash(), { { result.version(), operation.value } } };
    const auto kept = std::min(current.history.size(), ConfigurationRow::historyLimit - 1);
    row.history.insert(
        row.history.end(), current.history.begin(), current.history.begin() + static_cast<std::ptrdiff_t>(kept));
    return row;
}

// Operation that wrote a version; nullptr if it is no longer in the history.
const AcceptedOperation* operationOf(const ConfigurationRow& row, std::uint64_t version)
{
    const auto made = [&](const AcceptedOperation& operation) { return operation.version == version; };
    const auto found = std::find_if(row.history.begin(), row.history.end(), made);
    return found == row.history.end() ? nullptr : &*found;
}

// Configuration of an accepted version; null if its text is missing or damaged.
std::shared_ptr<const Configuration> bodyOf(const StoreAnswer& answer, const std::string& hash)
{
    if (answer.status != StoreStatus::Ok)
        return nullptr;
    auto parsed = parseConfiguration(answer.text, "stored configuration");
    return parsed.configuration && parsed.configuration->hash() == hash ? parsed.configuration : nullptr;
}

} // namespace

ConfirmMachine::ConfirmMachine(PlanId plan, std::int64_t nowMs)
    : planId(std::move(plan))
    , nowMs(nowMs)
{
}

ConfirmAction ConfirmMachine::start() { return GetObject { planObjectKey(this->planId) }; }

ConfirmAction ConfirmMachine::onAnswer(const StoreAnswer& answer)
{
    switch (this->step) {
    case Step::ReadingPlan:
        return this->onPlan(answer);
    case Step::ReadingRow:
        return this->onRow(answer);
    case Step::PuttingBody:
        return this->onBody(answer);
    case Step::WritingRow:
        return this->onWritten(answer);
    case Step::GettingBase:
        return this->onBase(answer);
    case Step::GettingCurrent:
        return this->onCurrent(answer);
    default:
        return this->unavailable("the confirmation has already finished");
    }
}

ConfirmAction ConfirmMachine::onPlan(const StoreAnswer& answer)
{
    if (answer.status == StoreStatus::NotFound)
        return this->refused(ErrorCode::PlanUnknown, { "unknown plan " + this->planId.value });
    if (answer.status != StoreStatus::Ok)
        return this->unavailable("the object store did not return the plan");
    this->plan = parsePlan(answer.text);
    const bool isValid = this->plan && this->plan->id == this->planId
        && this->plan->result.version == this->plan->baseVersion + 1
        && validateConfiguration(this->plan->result, "plan").empty();
    if (!isValid)
        return this->refused(ErrorCode::PlanInvalid, { "the stored plan is damaged; create a new plan" });
    this->result = std::make_shared<const Configuration>(this->plan->result);
    return this->readRow();
}

ConfirmAction ConfirmMachine::readRow()
{
    if (this->readsLeft-- <= 0)
        return this->unavailable("the table service did not return the configuration row");
    this->step = Step::ReadingRow;
    return ReadRow { std::string(configurationRowKey) };
}

ConfirmAction ConfirmMachine::onRow(const StoreAnswer& answer)
{
    if (answer.status == StoreStatus::NotFound) {
        this->row = {};
        this->revision = 0;
        return this->decide();
    }
    auto parsed = answer.status == StoreStatus::Ok ? parseRow(answer.text) : std::nullopt;
    if (!parsed)
        return this->readRow();
    this->row = std::move(*parsed);
    this->revision = answer.revision;
    return this->decide();
}

ConfirmAction ConfirmMachine::decide()
{
    if (this->row.version > this->plan->baseVersion) {
        const auto* operation = operationOf(this->row, this->result->version());
        return operation != nullptr && operation->operationId == this->planId.value ? this->accepted()
                                                                                    : this->startDifference();
    }
    // The version in the row never decreases, so an older one is a wrong answer of the service.
    if (this->row.version < this->plan->baseVersion)
        return this->unavailable("the table service returned a version older than the plan's base");
    if (this->row.hash != this->plan->baseHash)
        return this->refused(ErrorCode::PlanOutdated,
            { "the content of the plan's base differs from the accepted configuration of the same version" });
    if (this->plan->expiresAtMs <= this->nowMs && !this->writeSent)
        return this->refused(ErrorCode::PlanOutdated, { "the plan has expired; create a new plan" });
    return this->bodyStored ? this->writeRow() : this->putBody();
}

ConfirmAction ConfirmMachine::putBody()
{
    if (this->putsLeft-- <= 0)
        return this->unavailable("the object store did not confirm the configuration's body");
    this->step = Step::PuttingBody;
    return PutObject { configurationObjectKey(this->result->version(), this->result->hash()), this->result->text() };
}

ConfirmAction ConfirmMachine::onBody(const StoreAnswer& answer)
{
    if (answer.status != StoreStatus::Ok)
        return this->putBody();
    this->bodyStored = true;
    return this->writeRow();
}

ConfirmAction ConfirmMachine::writeRow()
{
    if (this->writesLeft-- <= 0)
        return this->unavailable("the table service did not confirm the write; confirm the same plan again");
    this->step = Step::WritingRow;
    this->writeSent = true;
    return WriteRow { std::string(configurationRowKey), serialiseRow(nextRow(this->row, *this->result, this->planId)),
        this->revision, this->planId.value };
}

ConfirmAction ConfirmMachine::onWritten(const StoreAnswer& answer)
{
    // A conflict may be caused by an earlier write of this plan whose answer was lost, so the row is read back then
    // too.
    return answer.status == StoreStatus::Ok ? this->accepted() : this->readRow();
}

ConfirmAction ConfirmMachine::startDifference()
{
    if (this->plan->baseVersion == 0)
        return this->onBase({});
    this->step = Step::GettingBase;
    return GetObject { configurationObjectKey(this->plan->baseVersion, this->plan->baseHash) };
}

ConfirmAction ConfirmMachine::onBase(const StoreAnswer& answer)
{
    const auto found = bodyOf(answer, this->plan->baseHash);
    if (!found && this->plan->baseVersion > 0)
        return this->outdated({ "the difference is unknown: the object store did not return the plan's base" });
    if (found)
        this->base = found->document();
    this->step = Step::GettingCurrent;
    return GetObject { configurationObjectKey(this->row.version, this->row.hash) };
}

ConfirmAction ConfirmMachine::onCurrent(const StoreAnswer& answer)
{
    const auto found = bodyOf(answer, this->row.hash);
    if (!found)
        return this->outdated({ "the difference is unknown: the object store did not return the current version" });
    return this->outdated(describeDifference(this->base, found->document()));
}

ConfirmAction ConfirmMachine::outdated(std::vector<std::string> lines)
{
    lines.insert(lines.begin(),
        "the plan is based on version " + std::to_string(this->plan->baseVersion) + ", but version "
            + std::to_string(this->row.version) + " was accepted");
    const bool isBeyondHistory = operationOf(this->row, this->result->version()) == nullptr;
    if (isBeyondHistory)
        lines.insert(lines.begin() + 1,
            "the history of the configuration row no longer shows whether this plan was accepted before");
    return this->refused(ErrorCode::PlanOutdated, std::move(lines));
}

ConfirmAction ConfirmMachine::accepted()
{
    this->step = Step::Done;
    ConfirmResult end;
    end.status = this->writeSent ? ConfirmStatus::Accepted : ConfirmStatus::AlreadyAccepted;
    end.version = this->result->version();
    end.configuration = this->result;
    return end;
}

ConfirmAction ConfirmMachine::refused(ErrorCode code, std::vector<std::string> lines)
{
    this->step = Step::Done;
    ConfirmResult end;
    end.status = ConfirmStatus::Refused;
    end.code = code;
    end.lines = std::move(lines);
    return end;
}

ConfirmAction ConfirmMachine::unavailable(const std::string& line)
{
    this->step = Step::Done;
    ConfirmResult end;
    end.status = ConfirmStatus::StoreUnavailable;
    end.code = ErrorCode::StoreUnavailable;
    end.outcomeUnknown = this->writeSent;
    end.lines = { line };
    return end;
}

} // namespace endivetrestle
