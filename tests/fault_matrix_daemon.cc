#include "fault_matrix_world.h"

// What a daemon does around its controller: opinions, forwarding and the delivery of outcomes.
namespace endivetrestle::testing::matrix {

using namespace std::chrono_literals;

namespace {

constexpr Duration tickInterval = 10ms;
// Grace of a forwarded call, as in PeerClient.
constexpr Duration forwardGrace = 50ms;

bool isWrite(RequestKind kind)
{
    return kind == RequestKind::Write || kind == RequestKind::Commit || kind == RequestKind::Resolve;
}

} // namespace

// Asks every other daemon. One that is no owner tries the endpoint once.
void World::ask(int daemon, const controller::AskOpinions& action)
{
    const auto faults = this->hit(Step::Ask, { daemon, -1 });
    const int incarnation = this->daemons[daemon].incarnation;
    for (int peer = 0; peer < static_cast<int>(this->daemons.size()); ++peer) {
        if (peer == daemon || faults.has(Fault::CallLost) || faults.has(Fault::AnswerLost))
            continue;
        this->at(this->latency(), [this, daemon, peer, incarnation, action, faults] {
            auto& asked = this->daemons[peer];
            this->atDaemon(peer, asked.incarnation, [this, daemon, peer, incarnation, action, faults] {
                auto& self = this->daemons[peer];
                Opinion opinion { self.id, self.dataCentre, action.endpoint, self.controller->highestTerm(), {} };
                const int endpoint = action.endpoint.empty() ? -1 : std::stoi(action.endpoint.value.substr(1));
                if (self.controller->report(this->local(self)).rank >= 0)
                    opinion.contactAge = self.controller->contactAge(action.endpoint, this->local(self));
                else if (endpoint >= 0)
                    opinion.contactAge = !this->endpoints[endpoint].down && this->reaches(peer, endpoint)
                        ? Duration::zero()
                        : Duration(1h);
                const auto late = faults.has(Fault::AnswerLate) ? this->oneOf({ 200, 1500 }) : Duration::zero();
                for (int copy = faults.has(Fault::AnswerTwice) ? 2 : 1; copy > 0; --copy)
                    this->at(this->latency() + late, [this, daemon, incarnation, opinion] {
                        this->atDaemon(daemon, incarnation, [this, daemon, opinion] {
                            auto& target = this->daemons[daemon];
                            this->perform(daemon, target.controller->onOpinion(opinion, this->local(target)));
                        });
                    });
            });
        });
    }
    for (const auto fault : faults.after)
        this->inject(fault, { daemon, -1 });
}

void World::tick(int daemon)
{
    const int incarnation = this->daemons[daemon].incarnation;
    this->at(tickInterval, [this, daemon, incarnation] {
        this->atDaemon(daemon, incarnation, [this, daemon] {
            auto& self = this->daemons[daemon];
            this->perform(daemon, self.controller->tick(this->local(self)));
            this->tick(daemon);
        });
    });
}

// Takes an outcome and checks that a write is not acknowledged for a primary that was replaced longer ago than the
// evidence of the acknowledgement may be old.
void World::deliver(int daemon, std::uint64_t ticket)
{
    const int incarnation = this->daemons[daemon].incarnation;
    this->hit(Step::Deliver, { daemon, -1 });
    this->atDaemon(daemon, incarnation, [this, daemon, ticket] {
        auto& self = this->daemons[daemon];
        Actions more;
        const auto begun = self.controller->begunTransaction(ticket);
        auto outcome = self.controller->takeOutcome(ticket, this->local(self), more);
        const auto waiting = self.waiting.find(ticket);
        if (outcome && waiting != self.waiting.end()) {
            const bool write = isWrite(self.kinds[ticket]) && outcome->state == OutcomeState::Completed;
            for (const auto& promotion : this->promotions) {
                const auto maxAge = WriteTrackerSettings {}.ackEvidenceMaxAge;
                const auto& id = this->endpoints[promotion.endpoint].core->id();
                const bool latest = promotion.term == this->promotions.back().term;
                if (write && latest && promotion.at < this->now - maxAge && outcome->servedBy != id)
                    this->fail("I2: " + outcome->servedBy.value + " acknowledged although " + id.value
                        + " was promoted in term " + std::to_string(promotion.term));
            }
            if (begun) {
                outcome->transaction = TransactionId(
                    begun->owner.value + "/" + std::to_string(begun->number) + "/" + std::to_string(begun->random));
                this->transactions[outcome->transaction] = *begun;
            }
            const auto done = std::move(waiting->second);
            self.waiting.erase(waiting);
            done(*outcome);
        }
        this->perform(daemon, more);
    });
}

void World::submitLocally(int daemon, const Request& request, const std::optional<TransactionIdParts>& parts, Done done)
{
    auto& self = this->daemons[daemon];
    const auto ticket = ++self.lastTicket;
    self.waiting[ticket] = std::move(done);
    self.kinds[ticket] = request.kind;
    this->perform(daemon, self.controller->submit(ticket, request, parts, this->local(self)));
}

void World::runFlight(int daemon, const std::shared_ptr<Flight>& flight, const ForwardStep& next)
{
    if (const auto* answer = std::get_if<AnswerCaller>(&next)) {
        flight->done(answer->outcome);
    } else if (const auto* local = std::get_if<RunLocally>(&next)) {
        const auto parts = local->request.transaction.empty() ? std::nullopt : flight->parts;
        this->submitLocally(daemon, local->request, parts, [this, daemon, flight](const Outcome& outcome) {
            auto& self = this->daemons[daemon];
            this->runFlight(daemon, flight, flight->forwarder.onOutcome(outcome, self.owners, this->local(self)));
        });
    } else {
        this->forward(daemon, flight, std::get<ForwardTo>(next));
    }
}

// Forwards a request. The call fails at once when the owner dies, and is refused unsent when it is dead.
void World::forward(int daemon, const std::shared_ptr<Flight>& flight, const ForwardTo& step)
{
    const int incarnation = this->daemons[daemon].incarnation;
    const auto faults = this->hit(Step::Forward, { daemon, -1 });
    const int target = step.daemon.value.back() - '0';
    const auto number = ++this->lastCall;
    const auto settle = [this, number](Duration delay, const Outcome& outcome) {
        this->at(delay, [this, number, outcome] {
            const auto found = this->openForwards.find(number);
            if (found == this->openForwards.end())
                return;
            const auto done = std::move(found->second.second);
            this->openForwards.erase(found);
            done(outcome);
        });
    };
    this->openForwards[number] = { target, [this, daemon, incarnation, flight](const Outcome& outcome) {
                                      this->atDaemon(daemon, incarnation, [this, daemon, flight, outcome] {
                                          auto& self = this->daemons[daemon];
                                          this->runFlight(daemon, flight,
                                              flight->forwarder.onOutcome(outcome, self.owners, this->local(self)));
                                      });
                                  } };
    if (!this->daemons[target].alive) {
        settle(2ms, didNotRun(ErrorCode::EndpointUnreachable, "the owner cannot be reached"));
        return;
    }
    const auto remaining = step.request.deadline - this->local(this->daemons[daemon]);
    const auto unanswered = unknownOutcome(ErrorCode::EndpointUnreachable, "the owner did not answer");
    settle(std::max(remaining, Duration(1)) + forwardGrace, unanswered);
    if (faults.has(Fault::CallLost) || faults.has(Fault::AnswerLost))
        settle(3ms, unanswered);
    if (faults.has(Fault::AnswerCrossed))
        settle(4ms, unknownOutcome(ErrorCode::AnswerMismatch, "answer to another request"));
    if (faults.has(Fault::CallLost))
        return;
    const auto late = faults.has(Fault::CallLate) ? this->oneOf({ 300, 1800 }) : Duration::zero();
    if (late > Duration::zero())
        settle(100ms, unanswered);
    this->at(this->latency() + late, [this, target, step, remaining, settle, faults, daemon] {
        this->atDaemon(
            target, this->daemons[target].incarnation, [this, target, step, remaining, settle, faults, daemon] {
                auto request = step.request;
                request.deadline = this->local(this->daemons[target]) + remaining;
                std::optional<TransactionIdParts> parts;
                if (const auto found = this->transactions.find(request.transaction); found != this->transactions.end())
                    parts = found->second;
                const auto back = faults.has(Fault::AnswerLate) ? this->oneOf({ 80, 700, 1900 }) : Duration::zero();
                const bool lost = faults.has(Fault::AnswerLost) || faults.has(Fault::AnswerCrossed);
                this->submitLocally(target, request, parts, [this, settle, back, lost](const Outcome& outcome) {
                    if (!lost)
                        settle(this->latency() + back, outcome);
                });
                for (const auto fault : faults.after)
                    this->inject(fault, { daemon, -1 });
            });
    });
}

} // namespace endivetrestle::testing::matrix
