#include "version/version_keeper.h"
#include "base/sha256.h"

#include <algorithm>

namespace endivetrestle {

namespace {

constexpr Duration firstPenalty = std::chrono::seconds(2);
constexpr int maxPenaltyDoublings = 5;
constexpr std::size_t sha256Digits = 64;

} // namespace

VersionKeeper::VersionKeeper(VersionKeeperSettings settings, RandomSource random)
    : settings(settings)
    , random(std::move(random))
{
}

std::vector<KeeperAction> VersionKeeper::start(Time now)
{
    this->pollDue = now;
    this->gossipDue = now;
    this->storeFetchDue = now;
    return this->tick(now);
}

std::vector<KeeperAction> VersionKeeper::tick(Time now)
{
    this->runFetchTimeout(now);
    auto actions = this->startFetch(now);
    this->runPoll(now, actions);
    if (!this->storeHasAnswered && this->gossipDue <= now) {
        this->gossipDue = now + this->settings.gossipInterval;
        actions.emplace_back(GossipWithPeer {});
    }
    return actions;
}

Time VersionKeeper::nextDue() const
{
    auto due = this->pollStartedAt ? *this->pollStartedAt + this->settings.fetchTimeout : this->pollDue;
    if (!this->storeHasAnswered)
        due = std::min(due, this->gossipDue);
    if (this->fetch)
        due = std::min(due, this->fetch->startedAt + this->settings.fetchTimeout);
    else if (this->storeRow && this->storeRow->version > this->currentVersion())
        due = std::min(due, this->storeFetchDue);
    for (const auto& [peer, hint] : this->hints) {
        const auto penalty = this->penalties.find(peer);
        if (!this->fetch && penalty != this->penalties.end())
            due = std::min(due, penalty->second.until);
    }
    return due;
}

void VersionKeeper::runFetchTimeout(Time now)
{
    if (this->fetch && this->fetch->startedAt + this->settings.fetchTimeout <= now)
        this->recordFetchFailure(now);
}

void VersionKeeper::runPoll(Time now, std::vector<KeeperAction>& actions)
{
    if (this->pollStartedAt && *this->pollStartedAt + this->settings.fetchTimeout <= now) {
        this->pollStartedAt.reset();
        this->pollDue = now + this->jittered(this->settings.retryInterval);
    }
    if (this->pollStartedAt || this->pollDue > now)
        return;
    this->pollStartedAt = now;
    actions.emplace_back(PollStore {});
}

std::vector<KeeperAction> VersionKeeper::onHint(Time now, const VersionHint& hint)
{
    if (hint.from.empty() || hint.hash.size() != sha256Digits)
        return {};
    const bool hasRoom
        = this->reportedVersions.size() < this->settings.maxPeers || this->reportedVersions.contains(hint.from);
    if (!hasRoom)
        return {};
    this->reportedVersions[hint.from] = hint.version;
    if (hint.version > this->currentVersion())
        this->hints[hint.from] = hint;
    else
        this->hints.erase(hint.from);
    return this->startFetch(now);
}

void VersionKeeper::onInForce(const DaemonId& daemon, std::uint64_t version)
{
    const auto found = this->reportedVersions.find(daemon);
    if (found != this->reportedVersions.end())
        found->second = std::max(found->second, version);
    else if (this->reportedVersions.size() < this->settings.maxPeers && !daemon.empty())
        this->reportedVersions.emplace(daemon, version);
}

void VersionKeeper::forgetDaemon(const DaemonId& daemon)
{
    this->reportedVersions.erase(daemon);
    this->hints.erase(daemon);
    this->penalties.erase(daemon);
}

std::vector<KeeperAction> VersionKeeper::onPeerBody(Time now, const DaemonId& peer, std::string_view body)
{
    if (!this->fetch || this->fetch->peer != peer)
        return {};
    return this->adoptIfValid(now, std::string(body));
}

std::vector<KeeperAction> VersionKeeper::onPeerFailed(Time now, const DaemonId& peer)
{
    if (!this->fetch || this->fetch->peer != peer)
        return {};
    this->recordFetchFailure(now);
    return this->startFetch(now);
}

std::vector<KeeperAction> VersionKeeper::onPolled(Time now, const StoreAnswer& answer)
{
    this->pollStartedAt.reset();
    const auto row = answer.status == StoreStatus::Ok ? parseRow(answer.text) : std::nullopt;
    if (!row && answer.status != StoreStatus::NotFound) {
        this->pollDue = now + this->jittered(this->settings.retryInterval);
        return {};
    }
    this->storeHasAnswered = true;
    this->pollDue = now + this->jittered(this->settings.pollInterval);
    if (row && (!this->storeRow || row->version > this->storeRow->version))
        this->storeRow = row;
    return this->startFetch(now);
}

std::vector<KeeperAction> VersionKeeper::onStoreBody(Time now, const StoreAnswer& answer)
{
    if (!this->fetch || !this->fetch->peer.empty())
        return {};
    if (answer.status == StoreStatus::Ok)
        return this->adoptIfValid(now, answer.text);
    this->recordFetchFailure(now);
    return this->startFetch(now);
}

std::vector<KeeperAction> VersionKeeper::onAccepted(Time now, std::shared_ptr<const Configuration> configuration)
{
    if (!configuration || configuration->version() <= this->currentVersion())
        return {};
    return this->adopt(now, std::move(configuration));
}

std::uint64_t VersionKeeper::newestKnown() const
{
    auto newest = std::max(this->currentVersion(), this->storeRow ? this->storeRow->version : 0);
    for (const auto& [peer, hint] : this->hints)
        newest = std::max(newest, hint.version);
    return newest;
}

InForceView VersionKeeper::inForceView(std::size_t limit) const
{
    InForceView view;
    for (const auto& [daemon, version] : this->reportedVersions) {
        ++view.counts[version];
        if (version < this->currentVersion() && view.behind.size() < limit)
            view.behind.push_back(daemon);
    }
    return view;
}

std::vector<const VersionHint*> VersionKeeper::newestHints(Time now) const
{
    std::vector<const VersionHint*> newest;
    for (const auto& [peer, hint] : this->hints) {
        const auto penalty = this->penalties.find(peer);
        const bool isPenalised = penalty != this->penalties.end() && penalty->second.until > now;
        // The hash in the store's row is authoritative for its version.
        const bool contradictsStore
            = this->storeRow && this->storeRow->version == hint.version && this->storeRow->hash != hint.hash;
        if (isPenalised || contradictsStore || (!newest.empty() && hint.version < newest.front()->version))
            continue;
        if (!newest.empty() && hint.version > newest.front()->version)
            newest.clear();
        newest.push_back(&hint);
    }
    return newest;
}

bool VersionKeeper::storeIsNewer(Time now, std::uint64_t version) const
{
    return this->storeRow && this->storeRow->version > std::max(version, this->currentVersion())
        && this->storeFetchDue <= now;
}

std::vector<KeeperAction> VersionKeeper::startFetch(Time now)
{
    if (this->fetch)
        return {};
    const auto candidates = this->newestHints(now);
    if (this->storeIsNewer(now, candidates.empty() ? 0 : candidates.front()->version)) {
        const auto& row = *this->storeRow;
        this->fetch = Fetch { {}, row.version, row.hash, now };
        return { FetchFromStore { configurationObjectKey(row.version, row.hash), row.version } };
    }
    if (candidates.empty())
        return {};
    const auto& hint = *candidates[this->random(candidates.size())];
    this->fetch = Fetch { hint.from, hint.version, hint.hash, now };
    return { FetchFromPeer { hint.from, hint.version } };
}

bool VersionKeeper::isKnownHash(std::uint64_t version, const std::string& hash) const
{
    if (this->fetch && this->fetch->version == version)
        return this->fetch->hash == hash;
    if (this->storeRow && this->storeRow->version == version)
        return this->storeRow->hash == hash;
    const auto matches
        = [&](const auto& entry) { return entry.second.version == version && entry.second.hash == hash; };
    return std::any_of(this->hints.begin(), this->hints.end(), matches);
}

std::vector<KeeperAction> VersionKeeper::adoptIfValid(Time now, const std::string& body)
{
    auto parsed = parseConfiguration(body, "fetched configuration");
    const auto& found = parsed.configuration;
    const bool isValid
        = found && found->hash() == sha256Hex(body) && this->isKnownHash(found->version(), found->hash());
    if (!isValid) {
        ++this->refusedBodyCount;
        this->recordFetchFailure(now);
        return this->startFetch(now);
    }
    this->penalties.erase(this->fetch->peer);
    this->fetch.reset();
    if (found->version() <= this->currentVersion())
        return this->startFetch(now);
    return this->adopt(now, found);
}

std::vector<KeeperAction> VersionKeeper::adopt(Time now, std::shared_ptr<const Configuration> configuration)
{
    this->inForce = std::move(configuration);
    this->dropOldHints();
    // The answer to a fetch of a version that is no longer newer is not needed.
    if (this->fetch && this->fetch->version <= this->currentVersion())
        this->fetch.reset();
    std::vector<KeeperAction> actions { AdoptVersion { this->inForce } };
    for (auto& action : this->startFetch(now))
        actions.push_back(std::move(action));
    return actions;
}

void VersionKeeper::dropOldHints()
{
    std::erase_if(this->hints, [this](const auto& entry) { return entry.second.version <= this->currentVersion(); });
}

void VersionKeeper::recordFetchFailure(Time now)
{
    const auto peer = this->fetch->peer;
    this->fetch.reset();
    const auto retryAt = now + this->jittered(this->settings.retryInterval);
    if (peer.empty()) {
        this->storeFetchDue = retryAt;
        return;
    }
    this->hints.erase(peer);
    this->pollDue = std::min(this->pollDue, retryAt);
    auto& penalty = this->penalties[peer];
    penalty.until = now + firstPenalty * (1 << std::min(penalty.failures, maxPenaltyDoublings));
    ++penalty.failures;
}

std::uint64_t VersionKeeper::currentVersion() const { return this->inForce ? this->inForce->version() : 0; }

Duration VersionKeeper::jittered(Duration interval)
{
    const auto spread = static_cast<std::int64_t>(static_cast<double>(interval.count()) * this->settings.jitter);
    const auto offset = static_cast<std::int64_t>(this->random(static_cast<std::uint64_t>(2 * spread) + 1)) - spread;
    return interval + Duration(offset);
}

} // namespace endivetrestle
