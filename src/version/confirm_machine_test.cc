#include "base/sha256.h"
#include "version/confirm_machine.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <map>

using namespace endivetrestle;

namespace {

// Table service and object store. A call can be lost before its effect, its answer can be lost, and a write can take
// effect after its caller has given up.
struct Store {
    enum class Fault { None, LostBefore, LostAfter, Late };

    std::map<std::string, std::pair<std::string, std::uint64_t>> rows;
    std::map<std::string, std::string> objects;
    int acceptedWrites = 0;
    // Writes that take effect after their caller has given up.
    std::vector<WriteRow> late;

    StoreAnswer perform(const ConfirmAction& action, Fault fault)
    {
        if (const auto* write = std::get_if<WriteRow>(&action); write != nullptr && fault == Fault::Late)
            this->late.push_back(*write);
        if (fault == Fault::Late)
            return {};
        if (fault == Fault::LostBefore)
            return {};
        const auto answer = std::visit([this](const auto& call) { return this->run(call); }, action);
        return fault == Fault::LostAfter ? StoreAnswer {} : answer;
    }

    StoreAnswer run(const ReadRow& call)
    {
        const auto found = this->rows.find(call.key);
        if (found == this->rows.end())
            return { StoreStatus::NotFound, "", 0 };
        return { StoreStatus::Ok, found->second.first, found->second.second };
    }

    StoreAnswer run(const WriteRow& call)
    {
        if (this->rows[call.key].second != call.expectedRevision)
            return { StoreStatus::Conflict, "", 0 };
        this->rows[call.key] = { call.value, call.expectedRevision + 1 };
        ++this->acceptedWrites;
        return { StoreStatus::Ok, "", 0 };
    }

    StoreAnswer run(const PutObject& call)
    {
        this->objects[call.key] = call.body;
        return { StoreStatus::Ok, "", 0 };
    }

    StoreAnswer run(const GetObject& call)
    {
        const auto found = this->objects.find(call.key);
        return found == this->objects.end() ? StoreAnswer { StoreStatus::NotFound, "", 0 }
                                            : StoreAnswer { StoreStatus::Ok, found->second, 0 };
    }

    StoreAnswer run(const ConfirmResult&) { return {}; }

    ConfigurationRow row() { return *parseRow(this->rows.at(std::string(configurationRowKey)).first); }
};

// Plan that adds a caller of the given name.
PlanId addPlan(Store& store, const std::string& name, const std::shared_ptr<const Configuration>& base)
{
    const CallerDeclaration caller { CallerId(name), sha256Hex(name), {}, {} };
    const auto made = makePlan(DeclareCaller { caller }, { base, PlanId("plan-" + name), "operator", 1000 });
    REQUIRE(made.plan);
    store.objects[planObjectKey(made.plan->id)] = serialisePlan(*made.plan);
    return made.plan->id;
}

template <typename Faults>
ConfirmResult confirm(Store& store, const PlanId& plan, Faults fault, std::int64_t nowMs = 2000)
{
    ConfirmMachine machine(plan, nowMs);
    auto action = machine.start();
    for (int steps = 0; !std::holds_alternative<ConfirmResult>(action); ++steps) {
        REQUIRE(steps < 30);
        action = machine.onAnswer(store.perform(action, fault(action)));
    }
    return std::get<ConfirmResult>(action);
}

Store::Fault noFault(const ConfirmAction&) { return Store::Fault::None; }

Store::Fault loseWrites(const ConfirmAction& action)
{
    return std::holds_alternative<WriteRow>(action) ? Store::Fault::LostAfter : Store::Fault::None;
}

Store::Fault dropWrites(const ConfirmAction& action)
{
    return std::holds_alternative<WriteRow>(action) ? Store::Fault::LostBefore : Store::Fault::None;
}

} // namespace

// Guards against a lost answer that is reported as a failure or leads to a second version.
TEST_CASE("ConfirmMachine, recognises its own write when the answer was lost")
{
    Store store;
    const auto plan = addPlan(store, "a", nullptr);
    const auto first = confirm(store, plan, loseWrites);
    CHECK(first.status == ConfirmStatus::Accepted);
    CHECK(first.version == 1);
    REQUIRE(first.configuration);
    CHECK(store.row().hash == first.configuration->hash());
    CHECK(store.objects.at(configurationObjectKey(1, store.row().hash)) == first.configuration->text());
    CHECK(confirm(store, plan, noFault).status == ConfirmStatus::AlreadyAccepted);
    CHECK(store.acceptedWrites == 1);
}

// Guards against two operators who confirm plans of the same stale view and overwrite each other.
TEST_CASE("ConfirmMachine, refuses the second of two plans on one base and states the difference")
{
    Store store;
    const auto base = confirm(store, addPlan(store, "a", nullptr), noFault).configuration;
    const auto left = addPlan(store, "b", base);
    const auto right = addPlan(store, "c", base);
    CHECK(confirm(store, left, noFault).status == ConfirmStatus::Accepted);
    const auto refused = confirm(store, right, noFault);
    CHECK(refused.status == ConfirmStatus::Refused);
    CHECK(refused.code == ErrorCode::PlanOutdated);
    CHECK(refused.lines
        == std::vector<std::string> {
            "the plan is based on version 1, but version 2 was accepted", "caller b: added" });
    // A repeated confirmation of the first plan still finds its own operation after a later version.
    confirm(store, addPlan(store, "d", std::make_shared<const Configuration>(*base)), noFault);
    CHECK(confirm(store, left, noFault).status == ConfirmStatus::AlreadyAccepted);
}

// Guards against a failure that is reported although the write may have been sent, and the reverse.
TEST_CASE("ConfirmMachine, reports an unknown outcome only when a write was sent, and resumes")
{
    Store store;
    const auto plan = addPlan(store, "a", nullptr);
    const auto down = confirm(store, plan, [](const auto&) { return Store::Fault::LostBefore; });
    CHECK(down.status == ConfirmStatus::StoreUnavailable);
    CHECK_FALSE(down.outcomeUnknown);
    const auto unknown = confirm(store, plan, dropWrites);
    CHECK(unknown.status == ConfirmStatus::StoreUnavailable);
    CHECK(unknown.outcomeUnknown);
    CHECK(store.acceptedWrites == 0);
    CHECK(confirm(store, plan, noFault).status == ConfirmStatus::Accepted);
}

// Guards against the confirmation of plans that are unknown, damaged or too old.
TEST_CASE("ConfirmMachine, refuses unknown, damaged and expired plans")
{
    Store store;
    const auto plan = addPlan(store, "a", nullptr);
    CHECK(confirm(store, PlanId("x"), noFault).code == ErrorCode::PlanUnknown);
    CHECK(confirm(store, plan, noFault, 1000 + 15 * 60 * 1000).code == ErrorCode::PlanOutdated);
    store.objects[planObjectKey(PlanId("x"))] = store.objects[planObjectKey(plan)];
    CHECK(confirm(store, PlanId("x"), noFault).code == ErrorCode::PlanInvalid);
    store.objects[planObjectKey(plan)] = "{";
    CHECK(confirm(store, plan, noFault).code == ErrorCode::PlanInvalid);
    CHECK(store.acceptedWrites == 0);
}

// Guards against a decision that is based on an older row, and against a history that grows without bound.
TEST_CASE("ConfirmMachine, does not act on an older or malformed row and keeps a bounded history")
{
    Store store;
    std::shared_ptr<const Configuration> current;
    for (int index = 0; index < 140; ++index)
        current = confirm(store, addPlan(store, std::to_string(index), current), noFault).configuration;
    REQUIRE(current);
    CHECK(store.row().history.size() == ConfigurationRow::historyLimit);
    const auto forgotten = confirm(store, PlanId("plan-0"), noFault);
    CHECK(forgotten.code == ErrorCode::PlanOutdated);
    const auto plan = addPlan(store, "next", current);
    store.rows[std::string(configurationRowKey)].first = serialiseRow({ 3, current->hash(), {} });
    CHECK(confirm(store, plan, noFault).status == ConfirmStatus::StoreUnavailable);
    store.rows[std::string(configurationRowKey)].first = "malformed";
    CHECK(confirm(store, plan, noFault).status == ConfirmStatus::StoreUnavailable);
}

// Guards against I10 for configurations: two plans accepted on one base, or a report that contradicts the row.
TEST_CASE("ConfirmMachine, accepts at most one plan per base whatever answers are lost")
{
    rc::prop("reports agree with the row", [] {
        Store store;
        const std::vector<PlanId> plans { addPlan(store, "a", nullptr), addPlan(store, "b", nullptr) };
        std::vector<ConfirmMachine> machines { { plans[0], 2000 }, { plans[1], 2000 }, { plans[0], 2000 } };
        std::vector<ConfirmAction> actions;
        for (auto& machine : machines)
            actions.push_back(machine.start());
        for (int steps = 0; steps < 120; ++steps) {
            if (!store.late.empty() && *rc::gen::arbitrary<bool>()) {
                store.run(store.late.back());
                store.late.pop_back();
            }
            const auto turn = *rc::gen::inRange<std::size_t>(0, machines.size());
            if (std::holds_alternative<ConfirmResult>(actions[turn]))
                continue;
            const auto fault = *rc::gen::weightedElement<Store::Fault>({ { 3, Store::Fault::None },
                { 1, Store::Fault::LostBefore }, { 2, Store::Fault::LostAfter }, { 2, Store::Fault::Late } });
            actions[turn] = machines[turn].onAnswer(store.perform(actions[turn], fault));
        }
        RC_ASSERT(store.acceptedWrites <= 1);
        for (std::size_t index = 0; index < machines.size(); ++index) {
            const auto* result = std::get_if<ConfirmResult>(&actions[index]);
            const auto& plan = plans[index % 2];
            const bool isInForce = store.acceptedWrites == 1 && store.row().history[0].operationId == plan.value;
            if (result == nullptr)
                continue;
            if (result->configuration)
                RC_ASSERT(isInForce);
            if (result->status == ConfirmStatus::Refused)
                RC_ASSERT(!isInForce || result->code != ErrorCode::PlanOutdated);
        }
    });
}
