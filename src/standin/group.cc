#include "standin/group.h"

#include "edge/kj_time.h"

#include <algorithm>
#include <utility>

namespace endivetrestle::standin {

StandinGroup::StandinGroup(kj::Network& network, kj::Timer& timer, GroupOptions givenOptions)
    : timer(timer)
    , options(std::move(givenOptions))
    , shipScheduled(this->options.members.size())
    , tasks(*this)
{
    std::vector<EndpointId> names;
    for (const auto& member : this->options.members)
        names.push_back(member.endpoint);
    auto cores = makeGroup(names, fromKj(timer.now()));
    for (std::size_t index = 0; index < cores.size(); ++index) {
        JsonHttpServerOptions http;
        http.address = this->options.address;
        http.port = this->options.members[index].port;
        EndpointHooks hooks;
        hooks.onChange = [this, index] { this->onChange(index); };
        hooks.oneWayDelay = [this, index](const std::string& dataCentre) {
            return this->delayBetween(dataCentre, this->options.members[index].dataCentre.value);
        };
        this->endpoints.push_back(std::make_unique<EndpointServer>(network, timer, std::move(cores[index]),
            std::move(http), this->options.switches, std::move(hooks), this->options.seed + index));
    }
    JsonHttpServerOptions http;
    http.address = this->options.address;
    http.port = this->options.controlPort;
    auto listening = JsonHttpServer::listen(network, timer, std::move(http),
        [this](const JsonHttpRequest& request) { return this->handleControl(request); });
    this->controlServer = kj::mv(listening.server);
    this->controlProblem = std::move(listening.error);
    this->tasks.add(this->heartbeatLoop());
}

std::string StandinGroup::problem() const
{
    for (const auto& endpoint : this->endpoints) {
        if (!endpoint->problem().empty())
            return endpoint->problem();
    }
    return this->controlProblem;
}

std::string StandinGroup::addressOf(std::size_t index) const
{
    const auto& address = this->options.address;
    const bool v6 = address.find(':') != std::string::npos;
    return (v6 ? "[" + address + "]" : address) + ":" + std::to_string(this->endpoints[index]->port());
}

void StandinGroup::taskFailed(kj::Exception&&) { }

Duration StandinGroup::delayBetween(const std::string& from, const std::string& to) const
{
    if (this->delays.empty())
        return Duration::zero();
    const auto found = this->delays.find({ std::min(from, to), std::max(from, to) });
    return found == this->delays.end() ? Duration::zero() : found->second;
}

bool StandinGroup::isBlocked(std::size_t from, std::size_t to) const
{
    const auto& members = this->options.members;
    return this->blocked.contains({ members[from].endpoint.value, members[to].endpoint.value });
}

bool StandinGroup::isMember(const std::string& name) const
{
    return std::any_of(this->options.members.begin(), this->options.members.end(),
        [&](const GroupMember& member) { return member.endpoint.value == name; });
}

// Changes of one turn of the event loop are sent together.
void StandinGroup::onChange(std::size_t index)
{
    if (this->shipScheduled[index])
        return;
    this->shipScheduled[index] = true;
    this->tasks.add(kj::evalLater([this, index] {
        this->shipScheduled[index] = false;
        this->shipToAll(index);
    }));
}

void StandinGroup::shipToAll(std::size_t from)
{
    for (std::size_t to = 0; to < this->endpoints.size(); ++to) {
        if (to != from)
            this->ship(from, to);
    }
}

void StandinGroup::ship(std::size_t from, std::size_t to)
{
    auto& source = *this->endpoints[from];
    if (!source.proceeds() || !this->endpoints[to]->proceeds() || this->isBlocked(from, to))
        return;
    auto request = source.core().replicationRequest(this->options.members[to].endpoint);
    if (!request)
        return;
    const auto& members = this->options.members;
    const auto delay = this->delayBetween(members[from].dataCentre.value, members[to].dataCentre.value)
        + this->endpoints[to]->switches().shipDelay;
    this->tasks.add(this->timer.afterDelay(toKj(delay)).then([this, from, to, request = std::move(*request)] {
        this->deliver(from, to, request);
    }));
}

void StandinGroup::deliver(std::size_t from, std::size_t to, const ReplicationRequest& request)
{
    auto& target = *this->endpoints[to];
    if (!target.proceeds() || this->isBlocked(from, to))
        return;
    const auto lastLog = target.core().lastLog();
    auto answer = target.core().onReplication(request, target.now());
    if (target.core().lastLog() != lastLog) {
        target.scheduleApply();
        target.notifyChange();
    }
    const auto& members = this->options.members;
    const auto delay = this->delayBetween(members[from].dataCentre.value, members[to].dataCentre.value);
    this->tasks.add(this->timer.afterDelay(toKj(delay)).then([this, from, to, answer = std::move(answer)] {
        this->deliverAnswer(from, to, answer);
    }));
}

void StandinGroup::deliverAnswer(std::size_t from, std::size_t to, const ReplicationAnswer& answer)
{
    auto& source = *this->endpoints[from];
    if (!source.proceeds() || this->isBlocked(to, from))
        return;
    const auto term = source.core().currentTerm();
    source.core().onReplicationAnswer(answer);
    if (source.core().currentTerm() != term)
        source.notifyChange();
    else if (!answer.accepted && answer.term == term)
        this->ship(from, to);
}

kj::Promise<void> StandinGroup::heartbeatLoop()
{
    return this->timer.afterDelay(toKj(this->options.heartbeat)).then([this] {
        for (std::size_t from = 0; from < this->endpoints.size(); ++from)
            this->shipToAll(from);
        return this->heartbeatLoop();
    });
}

} // namespace endivetrestle::standin
