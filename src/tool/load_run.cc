#include "tool/load_run.h"

#include "base/log.h"

#include <algorithm>

namespace endivetrestle::internal {

namespace {

// Audit reads that are in flight at once.
constexpr std::size_t auditConcurrency = 32;
// Attempts of an audit read, one per resolve interval.
constexpr int auditAttempts = 25;
constexpr auto idlePollInterval = 10 * kj::MILLISECONDS;

kj::Duration toKj(Duration duration) { return std::max<Duration::rep>(duration.count(), 0) * kj::MICROSECONDS; }

} // namespace

void LoadRun::Failures::taskFailed(kj::Exception&& exception)
{
    logEvent(LogLevel::Error, "load_task_failed", { { "detail", kj::str(exception.getDescription()).cStr() } });
}

LoadRun::LoadRun(kj::AsyncIoContext& io, const LoadSettings& settings)
    : io(io)
    , timer(io.provider->getTimer())
    , settings(settings)
    , client(*io.provider, settings.daemons, settings.callerKey)
    , rawSender(*io.provider, settings.rawEndpoints)
    , workload(settings.workload)
    , random(settings.workload.seed + 1)
    , sessions(std::max<std::size_t>(settings.workload.sessions, 1))
    , tasks(this->failures)
{
}

LoadResult LoadRun::run()
{
    this->start = MonotonicClock::now();
    this->result.planned = this->settings.workload.duration;
    auto progress = this->reportProgress().eagerlyEvaluate(nullptr);
    this->dispatchItems().wait(this->io.waitScope);
    this->waitUntilIdle().wait(this->io.waitScope);
    this->closePoint();
    this->result.elapsed = MonotonicClock::now() - this->start;
    if (this->settings.audit)
        this->auditAll().wait(this->io.waitScope);
    progress = nullptr;
    this->result.checkedAnswers = this->checker.checkedAnswers();
    this->result.unresolvedWrites = this->checker.unresolvedWrites();
    this->result.violations = this->checker.violations();
    for (std::size_t kind = 0; kind < violationKindCount; ++kind)
        this->result.violationCounts.at(kind) = this->checker.violationCount(static_cast<ViolationKind>(kind));
    return std::move(this->result);
}

kj::Promise<void> LoadRun::dispatchItems()
{
    if (!this->upcoming)
        this->upcoming = this->workload.next();
    // Sends every item whose time has come, so that a late wake-up does not lower the rate.
    while (this->upcoming && this->start + this->upcoming->intendedAt <= MonotonicClock::now()) {
        this->dispatch(std::move(*this->upcoming));
        this->upcoming = this->workload.next();
    }
    const auto offset = this->upcoming ? this->upcoming->intendedAt : this->settings.workload.duration;
    auto waiting = this->timer.afterDelay(toKj(this->start + offset - MonotonicClock::now()));
    if (!this->upcoming)
        return waiting;
    return waiting.then([this] { return this->dispatchItems(); });
}

void LoadRun::dispatch(WorkItem item)
{
    const auto session = item.session;
    this->result.counts.at(static_cast<std::size_t>(item.name)).intended += 1;
    this->sessions[session].waiting.push_back(std::move(item));
    this->startNext(session);
}

void LoadRun::startNext(std::size_t index)
{
    auto& session = this->sessions[index];
    if (session.busy || session.waiting.empty())
        return;
    auto activity = kj::heap<Activity>();
    activity->item = std::move(session.waiting.front());
    activity->operation = ++this->lastOperation;
    session.waiting.pop_front();
    session.busy = true;
    this->activeSessions += 1;
    auto done = this->perform(*activity).attach(kj::mv(activity)).then([this, index] {
        this->sessions[index].busy = false;
        this->activeSessions -= 1;
        this->startNext(index);
    });
    this->tasks.add(kj::mv(done));
}

kj::Promise<void> LoadRun::perform(Activity& activity)
{
    this->recordSent(activity);
    auto answered = activity.item.isTransaction() ? this->transaction(activity) : this->single(activity);
    return answered.then([this, &activity](CallerAnswer answer) { return this->finish(activity, std::move(answer)); });
}

kj::Promise<CallerAnswer> LoadRun::call(Activity& activity, CallerCall call)
{
    activity.calls += 1;
    const auto session = activity.item.session;
    call.database = activity.item.database;
    if (call.kind != RequestKind::Resolve)
        call.requestId = RequestId(this->settings.workload.prefix + "-" + std::to_string(activity.operation) + "-"
            + std::to_string(activity.calls));
    if (call.kind == RequestKind::Write || call.kind == RequestKind::Commit)
        activity.resolvable = call.requestId;
    call.deadline = this->settings.deadline;
    call.session = this->sessions[session].token;
    return this->send(session, std::move(call)).then([this, session](CallerAnswer answer) {
        if (!answer.session.empty())
            this->sessions[session].token = answer.session;
        return answer;
    });
}

kj::Promise<CallerAnswer> LoadRun::single(Activity& activity)
{
    const auto& statement = activity.item.statements.front();
    CallerCall call;
    call.kind = statement.kind;
    call.priority = statement.priority;
    call.repeatable = statement.repeatable;
    call.statement = statement.statement;
    call.maxAge = statement.maxAge;
    return this->call(activity, std::move(call));
}

kj::Promise<CallerAnswer> LoadRun::transaction(Activity& activity)
{
    CallerCall call;
    call.kind = RequestKind::Begin;
    call.priority = activity.item.statements.front().priority;
    return this->call(activity, std::move(call))
        .then([this, &activity](CallerAnswer answer) -> kj::Promise<CallerAnswer> {
            activity.transaction = answer.transaction;
            if (answer.state == OutcomeState::Completed)
                return this->statements(activity, 0);
            answer.state = OutcomeState::DidNotRun;
            return answer;
        });
}

kj::Promise<CallerAnswer> LoadRun::statements(Activity& activity, std::size_t next)
{
    if (next == activity.item.statements.size())
        return this->commit(activity);
    const auto& statement = activity.item.statements[next];
    CallerCall call;
    call.kind = RequestKind::Statement;
    call.transaction = activity.transaction;
    call.priority = statement.priority;
    call.statement = statement.statement;
    return this->call(activity, std::move(call)).then([this, &activity, next](CallerAnswer answer) {
        if (answer.state != OutcomeState::Completed)
            return this->abandon(activity, std::move(answer));
        // Only reads are judged by their rows; a write's rows may repeat them.
        if (next < activity.item.readKeys.size())
            activity.rows += answer.rows;
        return this->statements(activity, next + 1);
    });
}

kj::Promise<CallerAnswer> LoadRun::commit(Activity& activity)
{
    CallerCall call;
    call.kind = RequestKind::Commit;
    call.transaction = activity.transaction;
    call.priority = activity.item.statements.front().priority;
    return this->call(activity, std::move(call)).then([&activity](CallerAnswer answer) {
        answer.rows = activity.rows;
        return answer;
    });
}

// Ends a transaction whose commit was not sent. Whatever became of its statements, it must not take effect.
kj::Promise<CallerAnswer> LoadRun::abandon(Activity& activity, CallerAnswer answer)
{
    answer.state = OutcomeState::DidNotRun;
    CallerCall call;
    call.kind = RequestKind::Rollback;
    call.transaction = activity.transaction;
    return this->call(activity, std::move(call)).then([answer = std::move(answer)](CallerAnswer) mutable {
        return std::move(answer);
    });
}

kj::Promise<void> LoadRun::finish(Activity& activity, CallerAnswer answer)
{
    this->recordAnswered(activity.operation, answer);
    if (answer.state != OutcomeState::Unknown || activity.item.writes.empty()) {
        activity.wasUnknown = answer.state == OutcomeState::Unknown;
        this->count(activity, answer);
        return kj::READY_NOW;
    }
    this->result.codes[answer.code] += 1;
    activity.wasUnknown = true;
    activity.resolveUntil = MonotonicClock::now() + this->settings.resolveWindow;
    return this->resolve(activity);
}

// Asks for the outcome until it is known. A "did not run" counts only if it names the request's abort marker: other
// codes describe a failure of the question itself.
kj::Promise<void> LoadRun::resolve(Activity& activity)
{
    return this->timer.afterDelay(toKj(this->settings.resolveInterval))
        .then([this, &activity] {
            CallerCall call;
            call.kind = RequestKind::Resolve;
            call.requestId = activity.resolvable;
            return this->call(activity, std::move(call));
        })
        .then([this, &activity](CallerAnswer answer) -> kj::Promise<void> {
            const bool isAborted = answer.state == OutcomeState::DidNotRun
                && (answer.code == ErrorCode::RequestAborted || answer.code == ErrorCode::None);
            const bool isKnown = answer.state == OutcomeState::Completed || isAborted;
            if (!isKnown && MonotonicClock::now() < activity.resolveUntil)
                return this->resolve(activity);
            if (!isKnown)
                answer.state = OutcomeState::Unknown;
            this->recordAnswered(activity.operation, answer);
            this->count(activity, answer);
            return kj::READY_NOW;
        });
}

kj::Promise<void> LoadRun::waitUntilIdle()
{
    if (this->activeSessions == 0)
        return kj::READY_NOW;
    return this->timer.afterDelay(idlePollInterval).then([this] { return this->waitUntilIdle(); });
}

kj::Promise<void> LoadRun::auditAll()
{
    this->auditKeys = this->checker.writtenKeys();
    this->auditUntil = MonotonicClock::now() + this->settings.auditWindow;
    // Without the proxy a session has one connection, which carries one request at a time.
    const auto concurrency = this->settings.rawEndpoints.empty() ? auditConcurrency : 1;
    auto lanes = kj::heapArrayBuilder<kj::Promise<void>>(concurrency);
    for (std::size_t lane = 0; lane < concurrency; ++lane)
        lanes.add(this->auditNext());
    return kj::joinPromises(lanes.finish());
}

kj::Promise<void> LoadRun::auditNext()
{
    if (this->auditKeys.empty())
        return kj::READY_NOW;
    if (MonotonicClock::now() >= this->auditUntil) {
        this->result.unauditedKeys += this->auditKeys.size();
        this->auditKeys.clear();
        return kj::READY_NOW;
    }
    auto key = std::move(this->auditKeys.back());
    this->auditKeys.pop_back();
    return this->auditKey(std::move(key), auditAttempts).then([this] { return this->auditNext(); });
}

// Reads a key with an age bound of zero, which only a confirmed primary can serve.
kj::Promise<void> LoadRun::auditKey(HistoryChecker::WrittenKey key, int attemptsLeft)
{
    auto activity = kj::heap<Activity>();
    activity->operation = ++this->lastOperation;
    activity->item.session = key.session;
    activity->item.database = key.database;
    activity->item.readKeys = { key.key };
    activity->item.statements = { { RequestKind::Read, Priority::Read, true, "get " + key.key, Duration::zero() } };
    this->recordSent(*activity);
    auto answered = this->single(*activity);
    return answered.attach(kj::mv(activity))
        .then([this, operation = this->lastOperation, key = std::move(key), attemptsLeft](
                  CallerAnswer answer) mutable -> kj::Promise<void> {
            this->recordAnswered(operation, answer);
            const bool isCompleted = answer.state == OutcomeState::Completed;
            if (isCompleted || attemptsLeft <= 1 || MonotonicClock::now() >= this->auditUntil) {
                (isCompleted ? this->result.auditedKeys : this->result.unauditedKeys) += 1;
                return kj::READY_NOW;
            }
            return this->timer.afterDelay(toKj(this->settings.resolveInterval))
                .then([this, key = std::move(key), attemptsLeft]() mutable {
                    return this->auditKey(std::move(key), attemptsLeft - 1);
                });
        });
}

kj::Promise<CallerAnswer> LoadRun::send(std::size_t session, CallerCall call)
{
    if (!this->settings.rawEndpoints.empty())
        return this->rawSender.send(session, std::move(call));
    const auto last = this->client.daemonCount() - 1;
    const auto daemon = std::uniform_int_distribution<std::size_t>(0, last)(this->random);
    return this->client.send(daemon, std::move(call));
}

} // namespace endivetrestle::internal
