// How the daemon talks to other daemons, and to endpoints and the platform for promotions.
#include "edge/session_proxy.h"

#include "base/boot_clock.h"
#include "base/log.h"

namespace endivetrestle {

namespace {

// Longest wait for an endpoint's report.
constexpr Duration reportTimeout = std::chrono::milliseconds(400);
// Longest wait for the answer to a demotion, which may never come from an unreachable endpoint.
constexpr Duration demoteTimeout = std::chrono::milliseconds(200);

PromotionOutcome outcomeOf(platform::PromotionAnswer answer)
{
    switch (answer) {
    case platform::PromotionAnswer::Accepted:
        return PromotionOutcome::Accepted;
    case platform::PromotionAnswer::Rejected:
        return PromotionOutcome::Rejected;
    case platform::PromotionAnswer::Unavailable:
        return PromotionOutcome::Unavailable;
    case platform::PromotionAnswer::Unknown:
        break;
    }
    return PromotionOutcome::Unknown;
}

EndpointReply replyOf(const EndpointAnswer* answer)
{
    if (answer == nullptr)
        return { EndpointReplyStatus::Silent, {} };
    if (!answer->succeeded)
        return { answer->code == ReplyCode::Busy ? EndpointReplyStatus::Busy : EndpointReplyStatus::Unreadable, {} };
    const auto status = platform::parseStatusRow(answer->firstRow);
    if (!status)
        return { EndpointReplyStatus::Unreadable, {} };
    return EndpointReply::reported({ status->isPrimary, status->term, status->received });
}

} // namespace

void SessionProxy::queryEndpoint(
    const DatabaseId& group, const EndpointId& endpoint, std::function<void(const EndpointReply&)> callback)
{
    auto* scheduler = this->schedulerOf(group);
    if (scheduler == nullptr || this->directory.records().count(endpoint) == 0) {
        this->timers.subscribeAt(bootNow(), [callback = std::move(callback)](Time) {
            callback({ EndpointReplyStatus::Unregistered, {} });
        });
        return;
    }
    EndpointCommand command;
    command.kind = CommandKind::Status;
    scheduler->runControlCommand(endpoint, command, reportTimeout, bootNow(),
        [callback = std::move(callback)](const EndpointAnswer* answer) { callback(replyOf(answer)); });
}

FleetHooks SessionProxy::makeFleetHooks()
{
    FleetHooks hooks;
    hooks.requestSuspend
        = [this](const SocketAddress& address, const Claim& claim, std::function<void(PeerStatus)> callback) {
              this->peers.suspend(address, claim, std::move(callback));
          };
    hooks.announce = [this](const SocketAddress& address, const std::vector<PrimaryRow>& rows) {
        this->peers.announce(address, rows);
    };
    hooks.requestRenewal = [this](const SocketAddress& address, const LeaseRenewal& renewal, Duration timeout,
                               TableStore::Callback callback) {
        this->peers.renew(
            address, renewal, timeout, [] { return bootNow(); }, std::move(callback));
    };
    hooks.askWitness = [this](const SocketAddress& address, std::function<void(std::optional<StoreVersion>)> callback) {
        this->peers.askWitness(address, std::move(callback));
    };
    hooks.askReachable = [this](const SocketAddress& address, const DatabaseId& group, const EndpointId& endpoint,
                             std::function<void(std::optional<bool>)> callback) {
        this->peers.askReachable(address, { group, endpoint }, std::move(callback));
    };
    hooks.queryEndpoint = [this](const DatabaseId& group, const EndpointId& endpoint,
                              std::function<void(const EndpointReply&)> callback) {
        this->queryEndpoint(group, endpoint, std::move(callback));
    };
    hooks.demote = [this](const DatabaseId& group, const EndpointId& endpoint, std::uint64_t term,
                       std::function<void()> callback) {
        auto* scheduler = this->schedulerOf(group);
        if (scheduler == nullptr) {
            this->timers.subscribeAt(bootNow(), [callback = std::move(callback)](Time) { callback(); });
            return;
        }
        EndpointCommand command;
        command.kind = CommandKind::Demote;
        command.term = term;
        scheduler->runControlCommand(endpoint, command, demoteTimeout, bootNow(),
            [callback = std::move(callback)](const EndpointAnswer*) { callback(); });
    };
    hooks.promote = [this](const DatabaseId& group, const EndpointId& endpoint, std::uint64_t token,
                        std::function<void(PromotionOutcome)> callback) {
        this->promotions.promote({ group, endpoint, this->settings.daemon, token },
            [callback = std::move(callback)](platform::PromotionAnswer answer) { callback(outcomeOf(answer)); });
    };
    hooks.usePrimary = [this](const PrimaryRow& row) {
        if (auto* scheduler = this->schedulerOf(row.group))
            scheduler->setPrimary(row.endpoint, row.term, bootNow());
    };
    hooks.suspendLocally = [this](const DatabaseId& group, std::function<void()> drained) {
        auto* scheduler = this->schedulerOf(group);
        if (scheduler != nullptr)
            scheduler->suspendPrimary(bootNow(), std::move(drained));
        else
            drained();
    };
    hooks.refreshEndpoints
        = [this](std::function<void(bool)> callback) { this->registryFeed->catchUp(std::move(callback)); };
    hooks.missingEndpointsAreGone = [this] { return this->directory.isSettled(bootNow()); };
    hooks.endpointsOf = [this](const DatabaseId& group) { return this->directory.recordsOf(group); };
    hooks.watchedGroups = [this] {
        std::vector<WatchedGroup> result;
        for (const auto& [id, group] : this->groups) {
            if (group.placement.ownedHere || !group.scheduler->isIdle())
                result.push_back({ id, group.placement.ownedHere });
        }
        return result;
    };
    hooks.probeEndpoint
        = [this](const DatabaseId& group, const CommitHolder& holder, std::function<void(bool)> callback) {
              this->probe.ask(group, holder, bootNow(), std::move(callback));
          };
    hooks.syncReplicas = [this](const DatabaseId& group) { return this->syncRequirement.of(group, bootNow()); };
    hooks.groups = [this] {
        std::vector<DatabaseId> result;
        for (const auto& [id, group] : this->groups)
            result.push_back(id);
        return result;
    };
    hooks.suspectsPrimary = [this](const DatabaseId& group) {
        auto* scheduler = this->schedulerOf(group);
        return scheduler != nullptr && scheduler->primarySuspicion() != PrimarySuspicion::None;
    };
    hooks.daemonsUsingPrimary = [this](const DatabaseId& group) { return this->otherOwners(group); };
    hooks.onLiveDaemons = [this](const std::vector<LeaseRow>& others) { this->onLiveDaemons(others); };
    return hooks;
}

// What a daemon is told that the store does not answer.
BootstrapAnswer SessionProxy::bootstrapAnswer(StoreVersion knownRowVersion) const
{
    BootstrapAnswer answer;
    if (this->configurationRow.version > knownRowVersion)
        answer.configuration = this->configurationRow;
    answer.leases = this->otherLeases;
    LeaseRow self;
    self.daemon = this->settings.daemon;
    self.incarnation = this->incarnation;
    self.address = this->settings.advertisedPeerAddress;
    self.forwardAddress = this->settings.advertisedForwardAddress;
    self.dataCentre = this->settings.dataCentre;
    self.capacity = hostCapacity(this->settings.processorShare, this->settings.linkMbps);
    answer.leases.push_back(std::move(self));
    return answer;
}

void SessionProxy::makeBootstrap()
{
    SeedBootstrapHooks hooks;
    hooks.ask = [this](const SocketAddress& seed, StoreVersion rowVersion, auto callback) {
        this->peers.askBootstrap(seed, rowVersion, std::move(callback));
    };
    hooks.apply = [this](const BootstrapAnswer& answer) { this->applyBootstrap(answer); };
    this->bootstrap = std::make_unique<SeedBootstrap>(this->settings.seeds, bootNow(), std::move(hooks));
}

void SessionProxy::applyBootstrap(const BootstrapAnswer& answer)
{
    // What the store has answered meanwhile is newer.
    if (this->configurationFeed->version().isSet() || this->fleet->peersKnown())
        return;
    std::vector<LeaseRow> others;
    for (const auto& lease : answer.leases) {
        if (lease.daemon != this->settings.daemon)
            others.push_back(lease);
    }
    logEvent(LogLevel::Info, "bootstrapped_from_seed",
        { { "daemons", others.size() },
            { "row_version",
                toString(answer.configuration ? answer.configuration->version : this->configurationRow.version) } });
    this->onLiveDaemons(others);
    if (answer.configuration)
        this->onConfigurationRows({ *answer.configuration });
}

void SessionProxy::handlePeer(const HttpRequest& request, HttpServer::Answer send)
{
    auto answer = withCallNumber(request, std::move(send));
    constexpr int badRequest = 400;
    constexpr int notFound = 404;
    constexpr int conflict = 409;
    constexpr int unavailable = 503;
    if (request.path == peerSuspendPath) {
        if (const auto claim = decodeClaim(request.body)) {
            const bool accepted = this->fleet->onSuspendRequest(*claim, [answer] {
                answer(HttpResponse { 200, "application/json", "{}" });
            });
            if (!accepted)
                answer(HttpResponse { conflict, "application/json", "{}" });
            return;
        }
    } else if (request.path == peerPrimaryPath) {
        if (const auto rows = decodePrimaryMessage(request.body)) {
            this->fleet->onAnnouncement(*rows);
            answer(HttpResponse { 200, "application/json", "{}" });
            return;
        }
    } else if (request.path == peerRenewPath) {
        if (const auto renewal = decodeRenewalMessage(request.body)) {
            this->fleet->onRenewRequest(*renewal, [answer = std::move(answer)](const StoreResult& result) {
                answer(HttpResponse { 200, "application/json", encodeMessage(result) });
            });
            return;
        }
    } else if (request.path == peerWitnessPath) {
        answer(HttpResponse { 200, "application/json", encodeMessage(this->fleet->newestKnownClaim()) });
        return;
    } else if (request.path == peerBootstrapPath) {
        if (const auto rowVersion = decodeBootstrapQuestion(request.body)) {
            if (this->isReady())
                answer(HttpResponse { 200, "application/json", encodeMessage(this->bootstrapAnswer(*rowVersion)) });
            else
                answer(HttpResponse { unavailable, "application/json", "{}" });
            return;
        }
    } else if (request.path == peerConfigurationPath) {
        if (const auto question = decodeConfigurationQuestion(request.body)) {
            this->answerConfigurationQuestion(*question, std::move(answer));
            return;
        }
    } else if (request.path == peerReachablePath) {
        if (const auto question = decodeReachableQuestion(request.body)) {
            this->queryEndpoint(
                question->group, question->endpoint, [answer = std::move(answer)](const EndpointReply& reply) {
                    answer(HttpResponse { 200, "application/json",
                        reply.mayBePrimary() ? "{\"reachable\":true}" : "{\"reachable\":false}" });
                });
            return;
        }
    } else {
        answer(HttpResponse { notFound, "application/json", "{}" });
        return;
    }
    logEvent(
        LogLevel::Warning, "peer_request_unreadable", { { "path", request.path }, { "bytes", request.body.size() } });
    answer(HttpResponse { badRequest, "application/json", "{}" });
}

} // namespace endivetrestle
