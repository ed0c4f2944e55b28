#include "process/quota/quota_client.h"

#include "process/ownership.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

namespace endivetrestle {

namespace {

// Pause before operations that still wait after an answer are asked for again.
constexpr Duration retryPause = std::chrono::milliseconds(50);
// Time after which a coordinator that is not active gives way to one that comes first in the order.
constexpr Duration detourLimit = std::chrono::milliseconds(300);
// Time after which a coordinator that is not active counts as unreachable for the others. It is long against the time
// of a change of coordinator, because daemons that leave the first one in the order at different times split the
// support.
constexpr Duration inactiveLimit = std::chrono::milliseconds(2000);
// Time during which other daemons are preferred to one that did not answer or does not serve.
constexpr Duration avoidTime = std::chrono::milliseconds(1500);
// The same if the link was lost or refused. A daemon whose links were reset takes new ones at once, and its supporters
// must return before their support ends.
constexpr Duration reconnectTime = std::chrono::milliseconds(200);
// The same if it was not active.
constexpr Duration inactiveAvoidTime = std::chrono::milliseconds(700);
// Intervals at which a shard coordinated here, or not at all, is looked at: while operations wait, and otherwise.
constexpr Duration waitingInterval = std::chrono::milliseconds(20);
constexpr Duration localInterval = std::chrono::milliseconds(100);
// Tokens are asked for ahead of need for workspaces that use at least this many a second (two in 200 ms), enough for
// the given time. Tokens live longer than that, so few expire.
constexpr double aheadRate = 10;
constexpr double aheadSeconds = 0.3;
constexpr double rateAverageSeconds = 1;

Duration factorOf(const QuotaShard& shard, Duration time) { return time * (supportTime(shard) / supportTime({})); }

} // namespace

QuotaClient::QuotaClient(const QuotaFleet& fleet, QuotaCoordinator& coordinator, Time startedAt, QuotaClientHooks hooks)
    : fleet(fleet)
    , coordinator(coordinator)
    , startedAt(startedAt)
    , hooks(std::move(hooks))
{
}

void QuotaClient::configure(std::shared_ptr<const QuotaLimits> next, std::vector<WorkspaceId> withoutLimit, Time now)
{
    this->limits = std::move(next);
    this->unlimited = std::move(withoutLimit);
    std::sort(this->unlimited.begin(), this->unlimited.end());
    for (auto& [workspace, usage] : this->usages) {
        if (this->limits->quotas.count(workspace) == 0) {
            const bool exists = std::binary_search(this->unlimited.begin(), this->unlimited.end(), workspace);
            this->refuseWaiting(usage, exists ? QuotaDecision::Granted : QuotaDecision::Unanswered);
            usage.hand.clear();
        }
    }
    this->updateShards(now);
    this->pump(now);
}

void QuotaClient::onFleetChanged(Time now)
{
    this->updateShards(now);
    this->pump(now);
}

QuotaShard QuotaClient::shardOf(const WorkspaceId& workspace) const
{
    const auto count = static_cast<std::uint32_t>(std::max<std::size_t>(this->shards.size(), 1));
    const auto hash = Ownership::weight(DaemonId(workspace.value), DatabaseId("quota"));
    return { count, static_cast<std::uint32_t>(hash % count) };
}

// Divides the workspaces anew when the number of daemons has changed much. Promises made for the division of before
// stand, because a coordinator of it may grant tokens of the same workspaces.
void QuotaClient::updateShards(Time now)
{
    if (!this->fleet.known() || !this->hasLimits())
        return;
    const auto daemons = this->fleet.size(now).largest;
    const auto count = static_cast<std::uint32_t>((daemons + daemonsPerShard - 1) / daemonsPerShard);
    if (this->shards.size() == count)
        return;
    for (auto& [id, shard] : this->shards) {
        this->coordinator.supportSelf(id, false, now);
        this->earlierPromisesUntil = std::max(this->earlierPromisesUntil, shard.promisedUntil);
    }
    this->shards.clear();
    for (std::uint32_t index = 0; index < count; ++index)
        this->shards[{ count, index }];
}

bool QuotaClient::maySupport(const QuotaShard& id, const Shard& shard, Time now) const
{
    return now - this->startedAt >= startTime(id) && now >= this->earlierPromisesUntil
        && (now >= shard.promisedUntil || shard.promisedTo == shard.current) && this->hooks.hasLease(now);
}

bool QuotaClient::isActive(const QuotaShard& id, const Shard& shard, Time now) const
{
    if (shard.current.empty())
        return false;
    if (shard.current == this->fleet.ownId())
        return this->coordinator.isActive(id, now);
    return shard.activeAt && now - *shard.activeAt < supportTime(id);
}

// Daemons in the order in which they are preferred as the coordinator.
std::vector<DaemonId> QuotaClient::candidates(const QuotaShard& id) const
{
    const DatabaseId name("quota/" + std::to_string(id.count) + "/" + std::to_string(id.index));
    std::vector<std::pair<std::uint64_t, DaemonId>> weighted;
    for (auto& daemon : this->fleet.daemons())
        weighted.emplace_back(Ownership::weight(daemon, name), std::move(daemon));
    std::sort(weighted.begin(), weighted.end(), std::greater<>());
    std::vector<DaemonId> result;
    for (auto& [weight, daemon] : weighted)
        result.push_back(std::move(daemon));
    return result;
}

void QuotaClient::use(const QuotaShard& id, Shard& shard, const DaemonId& daemon, Time now, const char* reason)
{
    if (shard.current == daemon)
        return;
    shard.current = daemon;
    shard.since = now;
    shard.activeAt.reset();
    shard.outstanding = 0;
    shard.notBefore = now;
    shard.unconfirmed = false;
    shard.sentAt = now - factorOf(id, requestInterval);
    ++this->counters.coordinatorChanges;
    if (this->hooks.coordinatorChanged)
        this->hooks.coordinatorChanged(id, daemon, reason);
    this->updateSelfSupport(id, shard, now);
}

void QuotaClient::choose(const QuotaShard& id, Shard& shard, Time now, const char* reason)
{
    // This daemon cannot support itself shortly after its start, when another one may be active.
    const bool onlyDaemon = this->fleet.daemons().size() == 1;
    const bool selfPermitted = onlyDaemon || (now - this->startedAt >= startTime(id) && this->hooks.hasLease(now));
    std::optional<DaemonId> chosen;
    auto chosenUntil = Time::max();
    for (const auto& daemon : this->candidates(id)) {
        if (daemon == this->fleet.ownId() && !selfPermitted)
            continue;
        const auto avoided = shard.avoidedUntil.find(daemon);
        const auto until
            = avoided == shard.avoidedUntil.end() || avoided->second <= now ? Time::min() : avoided->second;
        if (!chosen || until < chosenUntil) {
            chosen = daemon;
            chosenUntil = until;
        }
        if (until == Time::min())
            break;
    }
    if (chosen)
        this->use(id, shard, *chosen, now, reason);
}

void QuotaClient::avoid(const QuotaShard& id, Shard& shard, Time now, const char* reason, Duration time)
{
    shard.avoidedUntil[shard.current] = now + time;
    shard.outstanding = 0;
    this->choose(id, shard, now, reason);
    // The only daemon is asked again.
    shard.since = now;
}

// Keeps a coordinator that is active, also if it is not the first one in the order, and looks for another one
// otherwise.
void QuotaClient::checkCurrent(const QuotaShard& id, Shard& shard, Time now)
{
    if (shard.current.empty() || !this->fleet.contains(shard.current)) {
        this->choose(id, shard, now, "list");
        return;
    }
    if (shard.outstanding != 0 && now - shard.sentAt >= answerLimit) {
        ++this->counters.requestsLost;
        this->avoid(id, shard, now, "silent", avoidTime);
        return;
    }
    if (this->isActive(id, shard, now)) {
        shard.since = now;
        return;
    }
    if (now - shard.since >= factorOf(id, inactiveLimit))
        this->avoid(id, shard, now, "not_active", inactiveAvoidTime);
    else if (now - shard.since >= detourLimit && shard.outstanding == 0)
        this->choose(id, shard, now, "order");
}

void QuotaClient::updateSelfSupport(const QuotaShard& id, Shard& shard, Time now)
{
    const auto& self = this->fleet.ownId();
    const bool supports = shard.current == self && this->maySupport(id, shard, now);
    if (supports) {
        shard.promisedTo = self;
        shard.promisedUntil = now;
    }
    this->coordinator.supportSelf(id, supports, now);
}

void QuotaClient::promise(Shard& shard, const QuotaShard& id, const DaemonId& to, const QuotaGrant& grant, Time now)
{
    if (to != shard.current || grant.incarnation == 0 || !this->maySupport(id, shard, now))
        return;
    const bool first = shard.promisedTo != to || now >= shard.promisedUntil;
    shard.unconfirmed = first && !grant.active;
    shard.promisedTo = to;
    shard.promisedUntil = now + supportTime(id);
    shard.incarnation = grant.incarnation;
    shard.stampUs = grant.stampUs;
}

void QuotaClient::countUse(Usage& usage, Time now)
{
    const auto elapsed = std::max(0.0, toSeconds(now - usage.rateAt));
    usage.rate = usage.rate * std::exp(-elapsed / rateAverageSeconds) + 1 / rateAverageSeconds;
    usage.rateAt = now;
    ++this->counters.granted;
}

// Tokens that are missing in hand for what will probably be used soon.
unsigned QuotaClient::aheadOf(const Usage& usage, Time now)
{
    const auto elapsed = std::max(0.0, toSeconds(now - usage.rateAt));
    const auto rate = usage.rate * std::exp(-elapsed / rateAverageSeconds);
    if (rate < aheadRate)
        return 0;
    unsigned held = 0;
    for (const auto& hand : usage.hand)
        held += now < hand.validUntil ? hand.tokens : 0;
    const auto target = static_cast<unsigned>(rate * aheadSeconds);
    return target > held ? target - held : 0;
}

bool QuotaClient::takeFromHand(Usage& usage, Time now)
{
    while (!usage.hand.empty() && (usage.hand.front().tokens == 0 || now >= usage.hand.front().validUntil)) {
        this->counters.tokensExpired += usage.hand.front().tokens;
        usage.hand.pop_front();
    }
    if (usage.hand.empty())
        return false;
    --usage.hand.front().tokens;
    this->countUse(usage, now);
    return true;
}

// The fixed part begins when every other daemon counts this one, and when what an earlier start of this daemon has used
// lies outside of the window.
bool QuotaClient::takeFixed(const WorkspaceId& workspace, Usage& usage, Time now)
{
    const auto quota = this->limits->quotas.find(workspace);
    if (quota == this->limits->quotas.end() || !this->fleet.known())
        return false;
    const auto size = this->fleet.size(now);
    const auto begin = this->startedAt + QuotaFleet::retention(size.largest) + this->limits->bounds.window;
    if (now < begin || !this->hooks.hasLease(now))
        return false;
    const auto parameters = quotaParameters(quota->second, this->limits->bounds, size);
    if (!std::exchange(usage.fixedStarted, true)) {
        usage.fixed.updatedAt = begin;
        usage.fixed.tokens = parameters.fixedCapacity;
    }
    usage.fixed.refill(parameters.fixedRatePerSecond, parameters.fixedCapacity, now);
    if (usage.fixed.take(1) == 0)
        return false;
    this->countUse(usage, now);
    ++this->counters.grantedFixed;
    return true;
}

std::uint64_t QuotaClient::take(const WorkspaceId& workspace, Time now, OperationGate::QuotaCallback callback)
{
    const auto quota = this->limits->quotas.find(workspace);
    if (quota == this->limits->quotas.end()) {
        const bool exists = std::binary_search(this->unlimited.begin(), this->unlimited.end(), workspace);
        this->counters.unanswered += exists ? 0 : 1;
        callback(exists ? QuotaDecision::Granted : QuotaDecision::Unanswered);
        return 0;
    }
    auto& usage = this->usages[workspace];
    if (usage.waiting.empty() && this->takeFromHand(usage, now)) {
        callback(QuotaDecision::Granted);
        return 0;
    }
    if (now < usage.emptyUntil) {
        ++this->counters.exceeded;
        callback(QuotaDecision::Exceeded);
        return 0;
    }
    const auto number = ++this->lastNumber;
    this->waiting.emplace(number, Waiting { workspace, now, std::move(callback) });
    usage.waiting.push_back(number);
    this->pump(now);
    return this->waiting.count(number) != 0 ? number : 0;
}

void QuotaClient::cancel(std::uint64_t request)
{
    const auto found = this->waiting.find(request);
    if (found == this->waiting.end())
        return;
    auto& queue = this->usages[found->second.workspace].waiting;
    queue.erase(std::remove(queue.begin(), queue.end(), request), queue.end());
    this->waiting.erase(found);
}

void QuotaClient::grantWaiting(Usage& usage, Time now)
{
    while (!usage.waiting.empty() && this->takeFromHand(usage, now)) {
        this->decided.emplace_back(usage.waiting.front(), QuotaDecision::Granted);
        usage.waiting.pop_front();
    }
}

void QuotaClient::refuseWaiting(Usage& usage, QuotaDecision decision)
{
    for (const auto number : std::exchange(usage.waiting, {}))
        this->decided.emplace_back(number, decision);
}

// Runs the callbacks of what was decided. A callback may take or cancel.
void QuotaClient::settle()
{
    if (this->settling)
        return;
    this->settling = true;
    while (!this->decided.empty()) {
        const auto [number, decision] = this->decided.front();
        this->decided.pop_front();
        auto entry = this->waiting.extract(number);
        if (!entry)
            continue;
        this->counters.exceeded += decision == QuotaDecision::Exceeded ? 1 : 0;
        this->counters.unanswered += decision == QuotaDecision::Unanswered ? 1 : 0;
        entry.mapped().callback(decision);
    }
    this->settling = false;
}

// Decides about waiting operations what can be decided without a message.
void QuotaClient::serve(const QuotaShard& id, Shard& shard, Time now)
{
    const bool here = shard.current == this->fleet.ownId();
    const bool active = this->isActive(id, shard, now);
    std::set<WorkspaceId> workspaces;
    for (const auto& [number, entry] : this->waiting)
        workspaces.insert(entry.workspace);
    for (const auto& workspace : workspaces) {
        if (this->shardOf(workspace) != id)
            continue;
        auto& usage = this->usages[workspace];
        while (!usage.waiting.empty()) {
            const auto number = usage.waiting.front();
            const auto granted = here && active ? this->coordinator.take(id, workspace, 1, now) : std::nullopt;
            auto decision = QuotaDecision::Granted;
            if (granted && *granted == 0)
                decision = QuotaDecision::Exceeded;
            else if (granted)
                this->countUse(usage, now);
            else if (!active && this->takeFixed(workspace, usage, now))
                decision = QuotaDecision::Granted;
            else if (now - this->waiting.at(number).since >= longestWait)
                decision = QuotaDecision::Unanswered;
            else
                break;
            usage.waiting.pop_front();
            this->decided.emplace_back(number, decision);
        }
    }
}

void QuotaClient::pump(Time now)
{
    this->checkedAt = now;
    if (this->shards.empty())
        this->updateShards(now);
    for (auto& [id, shard] : this->shards) {
        this->checkCurrent(id, shard, now);
        this->updateSelfSupport(id, shard, now);
        if (!this->waiting.empty())
            this->serve(id, shard, now);
        if (shard.current != this->fleet.ownId() && shard.outstanding == 0 && now >= this->requestDue(id, shard))
            this->request(id, shard, now);
    }
    // Without a list of daemons nobody can be asked.
    if (this->shards.empty()) {
        for (auto& [workspace, usage] : this->usages) {
            while (!usage.waiting.empty() && now - this->waiting.at(usage.waiting.front()).since >= longestWait) {
                this->decided.emplace_back(usage.waiting.front(), QuotaDecision::Unanswered);
                usage.waiting.pop_front();
            }
        }
    }
    this->settle();
}

Time QuotaClient::requestDue(const QuotaShard& id, const Shard& shard) const
{
    auto due = shard.sentAt + factorOf(id, requestInterval);
    if (shard.unconfirmed)
        due = std::min(due, shard.notBefore);
    // Support that can be promised now is not delayed.
    if (shard.promisedTo != shard.current && shard.promisedUntil > shard.sentAt)
        due = std::min(due, std::max(shard.promisedUntil, shard.notBefore));
    for (const auto& [number, entry] : this->waiting) {
        const auto usage = this->usages.find(entry.workspace);
        // Without a queue the operation has been decided about, and its callback is about to run.
        if (usage == this->usages.end() || usage->second.waiting.empty() || this->shardOf(entry.workspace) != id)
            continue;
        due = std::min(due, std::max(shard.notBefore, usage->second.unknownUntil));
    }
    return due;
}

std::vector<QuotaAsk> QuotaClient::asksOf(const QuotaShard& id, Time now)
{
    std::vector<QuotaAsk> asks;
    for (auto& [workspace, usage] : this->usages) {
        if (this->limits->quotas.count(workspace) == 0 || now < usage.emptyUntil || this->shardOf(workspace) != id)
            continue;
        const QuotaAsk ask { workspace, static_cast<std::uint32_t>(usage.waiting.size()), aheadOf(usage, now) };
        if (ask.waiting + ask.ahead > 0)
            asks.push_back(ask);
    }
    return asks;
}

void QuotaClient::request(const QuotaShard& id, Shard& shard, Time now)
{
    QuotaRequest message;
    message.number = ++this->lastNumber;
    message.daemon = this->fleet.ownId();
    message.shard = id;
    message.daemons = static_cast<std::uint32_t>(this->fleet.size(now).largest);
    // The support may be stated as long as the promise stands, which it does until promisedUntil.
    if (shard.promisedTo == shard.current && now < shard.promisedUntil) {
        message.incarnation = shard.incarnation;
        message.stampUs = shard.stampUs;
    }
    message.asks = this->asksOf(id, now);
    shard.unconfirmed = false;
    shard.sentAt = now;
    shard.outstanding = message.number;
    ++this->counters.requestsSent;
    for (auto entry = this->sent.begin(); entry != this->sent.end();) {
        if (now - entry->second.at < tokenValidity)
            break;
        entry = this->sent.erase(entry);
    }
    this->sent[message.number] = { shard.current, id, now };
    if (this->hooks.send(shard.current, message))
        return;
    ++this->counters.requestsLost;
    this->sent.erase(message.number);
    this->avoid(id, shard, now, "not_connected", reconnectTime);
    shard.notBefore = now + retryPause;
    shard.sentAt = now + retryPause - factorOf(id, requestInterval);
}

void QuotaClient::onGrant(const DaemonId& from, const QuotaGrant& grant, Time now)
{
    const auto found = this->sent.find(grant.number);
    if (found == this->sent.end() || found->second.to != from || found->second.shard != grant.shard)
        return;
    const auto sentAt = found->second.at;
    this->sent.erase(found);
    for (const auto& answer : grant.tokens) {
        auto& usage = this->usages[answer.workspace];
        if (answer.tokens > 0)
            usage.hand.push_back({ answer.tokens, sentAt + tokenValidity });
        this->grantWaiting(usage, now);
        const auto quota = this->limits->quotas.find(answer.workspace);
        if (!answer.empty || quota == this->limits->quotas.end())
            continue;
        usage.emptyUntil = now + quotaParameters(quota->second, this->limits->bounds, this->fleet.size(now)).emptyPause;
        this->refuseWaiting(usage, QuotaDecision::Exceeded);
    }
    const auto entry = this->shards.find(grant.shard);
    if (entry != this->shards.end() && from == entry->second.current) {
        auto& shard = entry->second;
        if (shard.outstanding == grant.number)
            shard.outstanding = 0;
        shard.avoidedUntil.erase(from);
        this->promise(shard, entry->first, from, grant, now);
        if (grant.active) {
            shard.activeAt = now;
            shard.notBefore = now;
            // What the coordinator left out is a workspace that it does not know yet.
            for (auto& [workspace, usage] : this->usages) {
                const bool asked = !usage.waiting.empty() && this->waiting.at(usage.waiting.front()).since <= sentAt
                    && now >= usage.emptyUntil;
                if (asked)
                    usage.unknownUntil = now + retryPause;
            }
        } else {
            shard.activeAt.reset();
            shard.notBefore = shard.unconfirmed ? now : now + retryPause;
            const auto avoided = shard.avoidedUntil.find(grant.coordinator);
            const bool usable = !grant.coordinator.empty() && grant.coordinator != from
                && grant.coordinator != this->fleet.ownId() && this->fleet.contains(grant.coordinator)
                && (avoided == shard.avoidedUntil.end() || avoided->second <= now);
            if (usable)
                this->use(entry->first, shard, grant.coordinator, now, "named");
            else if (grant.incarnation == 0)
                this->avoid(entry->first, shard, now, "declined", avoidTime);
        }
    }
    this->pump(now);
}

void QuotaClient::onUnreachable(const DaemonId& daemon, Time now)
{
    for (auto& [id, shard] : this->shards) {
        if (shard.current != daemon || shard.outstanding == 0)
            continue;
        ++this->counters.requestsLost;
        this->avoid(id, shard, now, "link_lost", reconnectTime);
    }
    this->pump(now);
}

void QuotaClient::tick(Time now)
{
    if (!this->hasLimits())
        return;
    this->updateShards(now);
    this->pump(now);
}

Time QuotaClient::nextDue() const
{
    if (!this->hasLimits())
        return Time::max();
    auto due = this->checkedAt + (this->waiting.empty() ? localInterval : waitingInterval);
    for (const auto& [id, shard] : this->shards) {
        if (shard.current == this->fleet.ownId())
            continue;
        if (shard.outstanding != 0)
            due = std::min(due, shard.sentAt + answerLimit);
        else
            due = std::min(due, this->requestDue(id, shard));
    }
    return due;
}

DaemonId QuotaClient::activeCoordinator(const QuotaShard& id, Time now) const
{
    const auto found = this->shards.find(id);
    if (found == this->shards.end() || !this->isActive(id, found->second, now))
        return {};
    return found->second.current;
}

DaemonId QuotaClient::coordinatorOf(const WorkspaceId& workspace) const
{
    const auto found = this->shards.find(this->shardOf(workspace));
    return found == this->shards.end() ? DaemonId() : found->second.current;
}

} // namespace endivetrestle
