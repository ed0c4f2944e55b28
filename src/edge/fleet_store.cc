#include "edge/fleet_platform.h"

namespace endivetrestle {

namespace {

StoreAnswer unavailable() { return { StoreStatus::Unavailable, {}, 0 }; }

} // namespace

// Carries out one action of a version keeper or a confirmation at the platform. Must be called on the loop's thread.
void Fleet::callStore(const ConfirmAction& action, std::function<void(StoreAnswer)> done)
{
    if (!this->platform)
        return;
    const auto finish = [this, done = std::move(done)](const StoreAnswer& answer) {
        if (!this->stopping)
            done(answer);
    };
    if (const auto* read = std::get_if<ReadRow>(&action)) {
        this->loop.detach(this->platform->table->get(read->key).then([finish](auto result) {
            if (result.error != ErrorCode::None)
                finish(unavailable());
            else if (!result.answer)
                finish({ StoreStatus::NotFound, {}, 0 });
            else
                finish({ StoreStatus::Ok, result.answer->value, result.answer->revision });
        }));
    } else if (const auto* write = std::get_if<WriteRow>(&action)) {
        TablePut put { write->key, write->value, write->expectedRevision, write->operationId };
        this->loop.detach(this->platform->table->put(std::move(put)).then([finish](auto result) {
            if (result.error != ErrorCode::None)
                finish(unavailable());
            else
                finish({ result.answer.applied ? StoreStatus::Ok : StoreStatus::Conflict, {}, result.answer.revision });
        }));
    } else if (const auto* object = std::get_if<PutObject>(&action)) {
        this->loop.detach(this->platform->objects->put(object->key, object->body).then([finish](auto result) {
            if (result.error != ErrorCode::None)
                finish(unavailable());
            else
                finish({ result.answer ? StoreStatus::Ok : StoreStatus::Conflict, {}, 0 });
        }));
    } else if (const auto* get = std::get_if<GetObject>(&action)) {
        this->loop.detach(this->platform->objects->get(get->key).then([finish](auto result) {
            if (result.error != ErrorCode::None)
                finish(unavailable());
            else if (!result.answer)
                finish({ StoreStatus::NotFound, {}, 0 });
            else
                finish({ StoreStatus::Ok, *result.answer, 0 });
        }));
    }
}

void Fleet::makePlan(const Intent& intent, const std::string& createdBy, std::function<void(Planned)> done)
{
    PlanContext context;
    context.base = this->configuration();
    context.id = PlanId(this->self.value + "-" + std::to_string(this->hooks.wallClockMs()) + "-"
        + std::to_string(this->hooks.random(1U << 30U)));
    context.createdBy = createdBy;
    context.nowMs = this->hooks.wallClockMs();
    auto made = endivetrestle::makePlan(intent, context);
    if (!made.plan) {
        done({ std::nullopt, ErrorCode::PlanInvalid, std::move(made.reasons) });
        return;
    }
    this->loop.post([this, plan = std::move(*made.plan), done = std::move(done)](kj::AsyncIoContext&) {
        this->callStore(
            PutObject { planObjectKey(plan.id), serialisePlan(plan) }, [plan, done](const StoreAnswer& answer) {
                if (answer.status == StoreStatus::Ok)
                    done({ plan, ErrorCode::None, {} });
                else
                    done({ std::nullopt, ErrorCode::StoreUnavailable, { "the plan could not be stored; plan again" } });
            });
    });
}

void Fleet::confirm(const PlanId& plan, std::function<void(ConfirmResult)> done)
{
    auto machine = std::make_shared<ConfirmMachine>(plan, this->hooks.wallClockMs());
    this->loop.post([this, machine, done = std::move(done)](
                        kj::AsyncIoContext&) { this->stepConfirm(machine, machine->start(), done); });
}

void Fleet::stepConfirm(
    std::shared_ptr<ConfirmMachine> machine, const ConfirmAction& action, std::function<void(ConfirmResult)> done)
{
    if (const auto* result = std::get_if<ConfirmResult>(&action)) {
        if (result->configuration)
            this->keep(
                [&](VersionKeeper& versions, Time now) { return versions.onAccepted(now, result->configuration); });
        done(*result);
        return;
    }
    this->callStore(action, [this, machine, done](const StoreAnswer& answer) {
        this->stepConfirm(machine, machine->onAnswer(answer), done);
    });
}

} // namespace endivetrestle
