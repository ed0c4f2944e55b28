#include "fault_matrix_confirm.h"
#include "base/sha256.h"

#include "base/hmac.h"
#include "version/plan.h"

#include <algorithm>

namespace endivetrestle::testing::matrix {

using namespace std::chrono_literals;

namespace {

constexpr std::size_t keeperCount = 2;
constexpr int turnLimit = 400;

} // namespace

ConfirmWorld::ConfirmWorld(const Cell& cell, Mutation mutation)
    : cell(cell)
    , mutation(mutation)
    , random(cell.seed * 104729 + cell.injections.size())
    , keepers(keeperCount)
{
    for (auto& keeper : this->keepers)
        keeper.keeper.emplace(VersionKeeperSettings {}, [this](std::uint64_t bound) { return this->random() % bound; });
}

PlanId ConfirmWorld::addPlan(const std::string& caller, const std::shared_ptr<const Configuration>& base)
{
    const CallerDeclaration declared { CallerId(caller), sha256Hex(caller), {}, {} };
    const auto made = makePlan(DeclareCaller { declared }, { base, PlanId("plan-" + caller), "operator", 1000 });
    this->objects[planObjectKey(made.plan->id)] = serialisePlan(*made.plan);
    return made.plan->id;
}

// Counts the step. Faults that concern one call are returned, the others take effect here.
std::set<Fault> ConfirmWorld::hit(Step step)
{
    std::set<Fault> result;
    if (this->healed)
        return result;
    const int occurrence = ++this->occurrences[step];
    for (const auto& injection : this->cell.injections) {
        if (injection.step != step || injection.occurrence != occurrence)
            continue;
        ++this->injectedCount;
        result.insert(injection.fault);
        if (injection.fault == Fault::StoreDown)
            this->storeDownFor = 6;
        if (injection.fault == Fault::ClockJump)
            this->wallMs += this->random() % 2 == 0 ? 3600000 : -3600000;
    }
    return result;
}

void ConfirmWorld::startRun(const PlanId& plan)
{
    Run run;
    run.plan = plan;
    run.machine.emplace(plan, this->wallMs);
    run.action = run.machine->start();
    this->runs.push_back(std::move(run));
}

Step ConfirmWorld::stepOf(const Run& run)
{
    if (std::holds_alternative<ReadRow>(run.action))
        return run.writeSent ? Step::ReadBack : Step::ReadRow;
    if (std::holds_alternative<WriteRow>(run.action))
        return Step::WriteRow;
    return std::holds_alternative<PutObject>(run.action) ? Step::PutBody : Step::ReadPlan;
}

void ConfirmWorld::writeRow(const WriteRow& call, StoreAnswer& answer)
{
    answer.status = StoreStatus::Conflict;
    if (this->revision != call.expectedRevision)
        return;
    const auto before = parseRow(this->rowText);
    const auto after = parseRow(call.value);
    if (!after || after->version != (before ? before->version : 0) + 1)
        this->fail("I9: the row's version did not grow by one");
    if (std::count(this->acceptedPlans.begin(), this->acceptedPlans.end(), call.operationId) > 0)
        this->fail("plan " + call.operationId + " was accepted twice");
    this->acceptedPlans.push_back(call.operationId);
    this->olderRowText = this->rowText;
    this->rowText = call.value;
    ++this->revision;
    answer.status = StoreStatus::Ok;
}

StoreAnswer ConfirmWorld::apply(const ConfirmAction& action)
{
    StoreAnswer answer { StoreStatus::Ok, "", this->revision };
    if (std::holds_alternative<ReadRow>(action)) {
        answer.text = this->rowText;
        answer.status = this->rowText.empty() ? StoreStatus::NotFound : StoreStatus::Ok;
    } else if (const auto* write = std::get_if<WriteRow>(&action)) {
        this->writeRow(*write, answer);
    } else if (const auto* put = std::get_if<PutObject>(&action)) {
        this->objects[put->key] = put->body;
    } else if (const auto* get = std::get_if<GetObject>(&action)) {
        const auto found = this->objects.find(get->key);
        answer.status = found == this->objects.end() ? StoreStatus::NotFound : StoreStatus::Ok;
        answer.text = found == this->objects.end() ? "" : found->second;
    }
    return answer;
}

StoreAnswer ConfirmWorld::perform(Run& run, const std::set<Fault>& faults)
{
    const bool isWrite = std::holds_alternative<WriteRow>(run.action);
    run.writeSent = run.writeSent || isWrite;
    const bool down = this->storeDownFor > 0 && this->storeDownFor-- > 0;
    if (down || faults.contains(Fault::CallLost))
        return {};
    if (faults.contains(Fault::CallLate)) {
        this->late.emplace_back(2 + static_cast<int>(this->random() % 8), run.action);
        return {};
    }
    auto answer = this->apply(run.action);
    if (faults.contains(Fault::PositionBack) && std::holds_alternative<ReadRow>(run.action)
        && !this->olderRowText.empty())
        answer = { StoreStatus::Ok, this->olderRowText, this->revision - 1 };
    // The client recognises an answer to another call and reports the effect as not known.
    const bool lost = faults.contains(Fault::AnswerLost) || faults.contains(Fault::AnswerCrossed);
    return lost ? StoreAnswer {} : answer;
}

void ConfirmWorld::advance(std::size_t index)
{
    if (this->runs[index].paused > 0) {
        --this->runs[index].paused;
        return;
    }
    const auto faults = this->hit(stepOf(this->runs[index]));
    auto& run = this->runs[index];
    if (faults.contains(Fault::DaemonPaused) && std::exchange(run.paused, 30) == 0)
        return;
    const auto answer = this->perform(run, faults);
    if (faults.contains(Fault::DaemonKilled) || faults.contains(Fault::CallerGone)) {
        run.over = true;
        // After a crash the operator confirms the same plan at another daemon.
        if (faults.contains(Fault::DaemonKilled))
            this->startRun(PlanId(this->runs[index].plan));
        return;
    }
    run.action = run.machine->onAnswer(answer);
    if (std::holds_alternative<ConfirmResult>(run.action))
        this->finish(run);
    if (faults.contains(Fault::CallerRetries))
        this->startRun(PlanId(this->runs[index].plan));
}

// Judges what an operator is told against the row at this moment.
void ConfirmWorld::finish(Run& run)
{
    run.over = true;
    const auto& result = std::get<ConfirmResult>(run.action);
    const auto& plan = run.plan.value;
    const bool isAccepted = std::count(this->acceptedPlans.begin(), this->acceptedPlans.end(), plan) > 0;
    const bool claimed = result.status == ConfirmStatus::Accepted || result.status == ConfirmStatus::AlreadyAccepted;
    if (claimed && !isAccepted)
        this->fail("plan " + plan + " was reported as accepted and is not in the row");
    if (result.status == ConfirmStatus::Refused && isAccepted)
        this->fail("plan " + plan + " was reported as refused and is in the row");
    this->results[plan] = result;
    if (!claimed)
        return;
    for (std::size_t keeper = 0; keeper < keeperCount; ++keeper) {
        if (keeper == this->random() % keeperCount)
            this->handle(keeper, this->keepers[keeper].keeper->onAccepted(this->now, result.configuration), {});
    }
}

void ConfirmWorld::pollKeepers()
{
    this->now += 200ms;
    for (std::size_t index = 0; index < keeperCount; ++index) {
        auto& keeper = *this->keepers[index].keeper;
        std::vector<KeeperAction> actions = keeper.tick(this->now);
        this->handle(index, actions, {});
        const auto& peer = *this->keepers[1 - index].keeper;
        if (!peer.current() || this->random() % 4 != 0)
            continue;
        const auto faults = this->hit(Step::Adopt);
        if (faults.contains(Fault::CallLost) || faults.contains(Fault::DaemonPaused))
            continue;
        const VersionHint hint { peer.current()->version(), peer.current()->hash(),
            DaemonId("d" + std::to_string(1 - index)) };
        this->handle(index, keeper.onHint(this->now, hint), faults);
        if (faults.contains(Fault::DaemonKilled)) {
            this->keepers[index] = {};
            this->keepers[index].keeper.emplace(
                VersionKeeperSettings {}, [this](std::uint64_t bound) { return this->random() % bound; });
            this->handle(index, this->keepers[index].keeper->start(this->now), {});
        }
    }
}

// Carries out what a keeper asks for. A late or older body reaches it as well.
void ConfirmWorld::handle(std::size_t index, const std::vector<KeeperAction>& actions, const std::set<Fault>& faults)
{
    for (const auto& action : actions) {
        auto& keeper = *this->keepers[index].keeper;
        const bool lost = faults.contains(Fault::AnswerLost) || faults.contains(Fault::CallLate);
        const bool down = this->storeDownFor > 0;
        if (const auto* fetch = std::get_if<FetchFromPeer>(&action)) {
            const auto& peer = *this->keepers[1 - index].keeper;
            const bool crossed = faults.contains(Fault::AnswerCrossed) || faults.contains(Fault::PositionBack);
            const auto older = configurationObjectKey(1, "");
            // A body of an older version.
            std::string body = peer.current() ? peer.current()->text() : "";
            for (const auto& [key, text] : this->objects) {
                if (crossed && key.rfind(older, 0) == 0)
                    body = text;
            }
            this->handle(index,
                lost ? keeper.onPeerFailed(this->now, fetch->peer) : keeper.onPeerBody(this->now, fetch->peer, body),
                {});
        } else if (std::holds_alternative<PollStore>(action)) {
            auto answer = down ? StoreAnswer {} : this->apply(ReadRow { std::string(configurationRowKey) });
            // The table service may answer from an older state.
            if (!down && !this->healed && !this->olderRowText.empty() && this->random() % 3 == 0)
                answer.text = this->olderRowText;
            this->handle(index, keeper.onPolled(this->now, answer), {});
            if (this->mutation == Mutation::AdoptOlder && answer.status == StoreStatus::Ok) {
                this->keepers[index].inForce = parseRow(answer.text)->version;
                this->show(index);
            }
        } else if (const auto* body = std::get_if<FetchFromStore>(&action)) {
            const auto answer = down ? StoreAnswer {} : this->apply(GetObject { body->key });
            this->handle(index, keeper.onStoreBody(this->now, answer), {});
        } else if (const auto* adopt = std::get_if<AdoptVersion>(&action)) {
            this->keepers[index].inForce = adopt->configuration->version();
            this->show(index);
        }
    }
}

void ConfirmWorld::show(std::size_t index)
{
    HistoryEvent event;
    event.type = HistoryEventType::ConfigurationSeen;
    event.at = this->now;
    event.daemon = DaemonId("d" + std::to_string(index));
    event.number = this->keepers[index].inForce;
    this->checker.add(event);
}

void ConfirmWorld::run()
{
    this->startRun(this->addPlan("a", nullptr));
    while (!this->runs.front().over)
        this->advance(0);
    const auto base = std::get_if<ConfirmResult>(&this->runs.front().action);
    const auto configuration = base != nullptr ? base->configuration : nullptr;
    this->startRun(this->addPlan("b", configuration));
    this->startRun(this->addPlan("c", configuration));
    for (std::size_t index = 0; index < keeperCount; ++index)
        this->handle(index, this->keepers[index].keeper->start(this->now), {});
    for (int turn = 0; turn < turnLimit; ++turn) {
        std::vector<std::size_t> open;
        for (std::size_t index = 0; index < this->runs.size(); ++index) {
            if (!this->runs[index].over)
                open.push_back(index);
        }
        if (!open.empty())
            this->advance(open[this->random() % open.size()]);
        for (auto& [turns, action] : this->late) {
            if (turns-- == 0)
                this->apply(action);
        }
        this->pollKeepers();
    }
    this->audit();
}

// With the store healthy every plan is confirmed once more; the answers must agree with the row, and both daemons must
// have the version of the row in force.
void ConfirmWorld::audit()
{
    this->healed = true;
    this->storeDownFor = 0;
    this->wallMs = 2000;
    for (const std::string name : { "plan-a", "plan-b", "plan-c" }) {
        this->startRun(PlanId(name));
        const auto index = this->runs.size() - 1;
        while (!this->runs[index].over)
            this->advance(index);
        const auto status = this->results.at(name).status;
        if (status == ConfirmStatus::StoreUnavailable)
            this->fail("plan " + name + " has no outcome although the store is healthy");
    }
    for (int round = 0; round < turnLimit; ++round)
        this->pollKeepers();
    const auto row = parseRow(this->rowText);
    for (const auto& keeper : this->keepers) {
        if (!row || keeper.inForce != row->version)
            this->fail("I9: a daemon does not have the accepted version in force");
    }
    for (const auto& violation : this->checker.violations())
        this->fail(toString(violation));
}

} // namespace endivetrestle::testing::matrix
