#include "edge/daemon.h"

#include <algorithm>

namespace endivetrestle {

namespace {

constexpr Duration opinionTimeout = std::chrono::milliseconds(300);
// Daemons besides the owners that are asked for their opinion.
constexpr std::size_t furtherOpinions = 2;

} // namespace

// Answers from this daemon's own contact, or by one probe if it does not watch the database.
void Daemon::onOpinion(const DatabaseId& database, const EndpointId& endpoint, std::function<void(PeerOpinion)> answer)
{
    const auto target = this->runtime(database);
    if (target && target->rank() >= 0) {
        answer({ target->contactAge(endpoint), target->highestTerm() });
        return;
    }
    const auto configuration = this->fleet ? this->fleet->configuration() : nullptr;
    const auto* declaration = configuration ? configuration->findDatabase(database) : nullptr;
    const auto* found = declaration != nullptr ? declaration->findEndpoint(endpoint) : nullptr;
    if (found == nullptr) {
        answer({});
        return;
    }
    EndpointConnectOptions connectOptions;
    connectOptions.address = toString(found->address);
    connectOptions.endpoint = endpoint;
    connectOptions.daemon = this->settings.daemon.id;
    connectOptions.dataCentre = this->settings.daemon.dataCentre;
    connectOptions.control = true;
    connectOptions.timeout = opinionTimeout / 2;
    this->loop.runSoon([this, connectOptions, answer](kj::AsyncIoContext& io) {
        auto probe = connectEndpoint(io.provider->getNetwork(), io.provider->getTimer(), connectOptions)
                         .then([answer](auto opened) -> kj::Promise<void> {
                             // No contact although this daemon tried: as old as any failover waits for.
                             const PeerOpinion silent { std::chrono::hours(1), 0 };
                             if (opened.error != ErrorCode::None) {
                                 answer(silent);
                                 return kj::READY_NOW;
                             }
                             auto client = kj::mv(opened.answer);
                             auto status = client->status(opinionTimeout / 2);
                             return status
                                 .then([answer, silent](auto result) {
                                     answer(result.error == ErrorCode::None
                                             ? PeerOpinion { Duration::zero(), result.answer.term }
                                             : silent);
                                 })
                                 .attach(kj::mv(client));
                         });
        this->loop.detach(kj::mv(probe));
    });
}

// Asks the other owners and some further daemons, those in other data centres first.
void Daemon::askOpinions(const DatabaseId& database, const EndpointId& endpoint, std::uint64_t term)
{
    static_cast<void>(term);
    const auto owners = this->ownerIds(database);
    std::vector<DaemonInfo> asked;
    std::vector<DaemonInfo> others;
    for (const auto& daemon : this->fleet->view()) {
        if (daemon.id == this->settings.daemon.id || daemon.state == DaemonState::Dead)
            continue;
        const bool owner = std::find(owners.begin(), owners.end(), daemon.id) != owners.end();
        if (owner)
            asked.push_back(daemon);
        else if (daemon.region == this->settings.daemon.region)
            others.push_back(daemon);
    }
    std::stable_partition(others.begin(), others.end(),
        [this](const DaemonInfo& daemon) { return daemon.dataCentre != this->settings.daemon.dataCentre; });
    others.resize(std::min(others.size(), furtherOpinions));
    asked.insert(asked.end(), others.begin(), others.end());
    for (const auto& daemon : asked) {
        this->peerClient->opinion(toString(daemon.peersAddress), database, endpoint, opinionTimeout,
            [this, daemon, database, endpoint](const std::optional<PeerOpinion>& answer) {
                const auto target = this->runtime(database);
                if (answer && target)
                    target->onOpinion({ daemon.id, daemon.dataCentre, endpoint, answer->term, answer->sinceContact });
            });
    }
}

} // namespace endivetrestle
