// Which groups the daemon can serve at present: the evidence that its links and connections give, and what is done with
// the judgement.
#include "edge/session_proxy.h"

#include "base/boot_clock.h"

namespace endivetrestle {

ReachabilityHooks SessionProxy::makeReachabilityHooks()
{
    ReachabilityHooks hooks;
    hooks.paths = [this](const DatabaseId& id) {
        const auto found = this->groups.find(id);
        if (found == this->groups.end())
            return GroupPaths {};
        const auto& [key, group] = *found;
        return GroupPaths { group.placement.ownedHere ? std::vector<DaemonId> {} : group.placement.owners,
            group.scheduler->endpointIds() };
    };
    hooks.awaitedEndpoints = [this](const DatabaseId& id) {
        const auto* scheduler = this->schedulerOf(id);
        return scheduler == nullptr ? std::vector<EndpointId> {} : scheduler->awaitedEndpoints();
    };
    hooks.testOwner = [this](const DaemonId& owner, Time now) { this->links->test(owner, now); };
    hooks.testEndpoint = [this](const DatabaseId& id, const EndpointId& endpoint, Time now) {
        auto* scheduler = this->schedulerOf(id);
        return scheduler != nullptr && scheduler->openTestConnection(endpoint, now);
    };
    hooks.ownerSilent = [this](const DaemonId& owner, Time now) {
        this->links->giveUpOpening(owner);
        for (auto& [id, group] : this->groups)
            group.forwarder->onOwnerSilent(owner, now);
    };
    hooks.unreachable = [this](const DatabaseId& id, Time) {
        if (auto* scheduler = this->schedulerOf(id))
            scheduler->refuseUnsent();
    };
    return hooks;
}

void SessionProxy::addReachabilityHooks(const DatabaseId& id, EndpointInput& input)
{
    const auto answers = [this, id](ConnectionId connection) {
        const auto* scheduler = this->schedulerOf(id);
        const auto endpoint = scheduler == nullptr ? EndpointId() : scheduler->endpointOf(connection);
        if (!endpoint.empty())
            this->reachability.onAnswer(ReachPath::endpoint(endpoint), bootNow());
    };
    input.connected = answers;
    input.opened
        = [answers, next = std::move(input.opened)](ConnectionId connection, const std::optional<Position>& position) {
              answers(connection);
              next(connection, position);
          };
    input.answered
        = [answers, next = std::move(input.answered)](ConnectionId connection, const EndpointAnswer& answer) {
              answers(connection);
              next(connection, answer);
          };
    input.full = [answers, next = std::move(input.full)](ConnectionId connection) {
        answers(connection);
        next(connection);
    };
    input.closed = [this, id, next = std::move(input.closed)](ConnectionId connection) {
        const auto* scheduler = this->schedulerOf(id);
        const auto endpoint = scheduler == nullptr ? EndpointId() : scheduler->endpointOf(connection);
        if (!endpoint.empty())
            this->reachability.onClosed(ReachPath::endpoint(endpoint), bootNow());
        next(connection);
    };
}

void SessionProxy::addReachabilityHooks(const DatabaseId& id, SchedulerHooks& hooks)
{
    hooks.open = [this, next = std::move(hooks.open)](
                     ConnectionId connection, const EndpointRecord& record, const WorkspaceId& workspace) {
        this->reachability.onTest(ReachPath::endpoint(record.id), ReachTest::Open, bootNow());
        next(connection, record, workspace);
    };
    hooks.send = [this, id, next = std::move(hooks.send)](ConnectionId connection, const EndpointCommand& command) {
        const auto* scheduler = this->schedulerOf(id);
        const auto endpoint = scheduler == nullptr ? EndpointId() : scheduler->endpointOf(connection);
        if (!endpoint.empty())
            this->reachability.onEndpointSent(id, endpoint, bootNow());
        next(connection, command);
    };
}

void SessionProxy::onLinkEvidence(const DaemonId& owner, LinkEvidence evidence)
{
    const auto path = ReachPath::owner(owner);
    const auto now = bootNow();
    switch (evidence) {
    case LinkEvidence::Sent:
        this->reachability.onSent(path, now);
        break;
    case LinkEvidence::ProbeSent:
        this->reachability.onTest(path, ReachTest::Probe, now);
        break;
    case LinkEvidence::OpenStarted:
        this->reachability.onTest(path, ReachTest::Open, now);
        break;
    case LinkEvidence::Answered:
        this->reachability.onAnswer(path, now);
        break;
    case LinkEvidence::Closed:
        this->reachability.onClosed(path, now);
        break;
    }
}

void SessionProxy::onStoreCall(bool answered) { this->reachability.onStoreCall(answered, bootNow()); }

void SessionProxy::tickReachability(Time now)
{
    this->reachability.tick(now);
    this->timers.subscribeAt(
        now + this->reachability.tickInterval(), [this](Time) { this->tickReachability(bootNow()); });
}

} // namespace endivetrestle
