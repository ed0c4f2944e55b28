// Faults of a soak run, drawn from its seed.
#include "soak/soak_run.h"

#include <csignal>

namespace endivetrestle::soak {

void SoakRun::scheduleFault()
{
    this->faultTimer.expires_after(std::chrono::milliseconds(100 + this->random() % 1200));
    this->faultTimer.async_wait([this](const asio::error_code& error) {
        if (error)
            return;
        this->injectFault();
        this->scheduleFault();
    });
}

void SoakRun::note(const std::string& fault)
{
    this->report.faults.push_back(std::to_string(toSeconds(bootNow() - this->startedAt)) + " " + fault);
}

std::chrono::milliseconds SoakRun::upTo(int milliseconds)
{
    return std::chrono::milliseconds(200 + this->random() % static_cast<std::uint64_t>(milliseconds));
}

void SoakRun::injectFault()
{
    const auto kind = this->random() % 19;
    if (kind < 5)
        this->harmDaemon(kind);
    else if (kind >= 16)
        this->harmDaemonLinks(kind);
    else if (kind < 12)
        this->harmMember(kind);
    else
        this->harmStore(kind);
}

void SoakRun::harmDaemon(std::uint64_t kind)
{
    const auto index = this->random() % this->daemons.size();
    auto& daemon = this->daemons.at(index);
    if (daemon.stopped)
        return;
    const auto name = "daemon " + std::to_string(index + 1);
    if (kind < 2) {
        this->note("kill " + name);
        daemon.endExpected = true;
        daemon.process->signal(SIGKILL);
    } else if (kind == 2 && !daemon.endExpected) {
        this->note("terminate " + name);
        daemon.endExpected = true;
        daemon.process->signal(SIGTERM);
    } else if (kind == 3)
        this->pause(index, this->upTo(3000), name);
    else if (this->random() % 4 == 0)
        // Longer than a lease.
        this->pause(index, std::chrono::seconds(15), name);
}

// Harms what other daemons send to one: calls around promotions and forwarded statements.
void SoakRun::harmDaemonLinks(std::uint64_t kind)
{
    const auto index = this->random() % this->daemons.size();
    auto& daemon = this->daemons.at(index);
    this->note("harm links to daemon " + std::to_string(index + 1) + " kind " + std::to_string(kind));
    for (auto* link : { daemon.peerLink.get(), daemon.forwardLink.get() }) {
        switch (kind) {
        case 16:
            link->reset(0.7);
            break;
        case 17:
            link->silence(0.7, this->random() % 2 == 0);
            break;
        default:
            link->dark = true;
            link->silence(1.0, true);
            this->later(this->upTo(4000), [link] { link->dark = false; });
            break;
        }
    }
}

void SoakRun::pause(std::size_t index, std::chrono::milliseconds duration, const std::string& name)
{
    this->note("pause " + name + " for " + std::to_string(duration.count()) + " ms");
    this->daemons.at(index).process->signal(SIGSTOP);
    this->later(duration, [this, index] { this->daemons.at(index).process->signal(SIGCONT); });
}

void SoakRun::harmMember(std::uint64_t kind)
{
    auto& member = this->members.at(this->random() % this->members.size());
    auto* endpoint = member.endpoint;
    const auto duration = this->upTo(4000);
    this->note("harm " + endpoint->id + " kind " + std::to_string(kind) + (endpoint->primary ? " (primary)" : ""));
    switch (kind) {
    case 5:
        if (!endpoint->up)
            return;
        endpoint->crash();
        member.lapsesAt = bootNow() + std::chrono::seconds(2);
        this->later(duration, [&member, endpoint] {
            ++member.processStartMs;
            endpoint->restart();
        });
        return;
    case 6:
        member.link->reset(0.7);
        return;
    case 7:
        member.link->silence(0.6, this->random() % 2 == 0);
        return;
    case 8:
        member.link->dark = true;
        member.link->silence(1.0, true);
        this->later(duration, [&member] { member.link->dark = false; });
        return;
    case 9:
        endpoint->loseAnswers = 0.2;
        this->later(duration, [endpoint] { endpoint->loseAnswers = 0; });
        return;
    case 10:
        endpoint->deaf = true;
        this->later(duration, [endpoint] { endpoint->deaf = false; });
        return;
    default:
        member.draining = true;
        this->later(std::chrono::seconds(5), [&member] { member.draining = false; });
        return;
    }
}

void SoakRun::harmStore(std::uint64_t kind)
{
    const auto duration = this->upTo(6000);
    this->note("harm store kind " + std::to_string(kind));
    switch (kind) {
    case 12:
        this->store.down = true;
        this->later(duration, [this] { this->store.down = false; });
        return;
    case 13:
        this->store.loseAnswers = 0.3;
        this->later(duration, [this] { this->store.loseAnswers = 0; });
        return;
    case 14:
        this->storeLink.silence(0.7, this->random() % 2 == 0);
        this->store.compact();
        return;
    default:
        this->storeLink.reset(0.7);
        this->putConfiguration();
        return;
    }
}

void SoakRun::heal()
{
    this->note("heal");
    this->faultTimer.cancel();
    // Faults that are under way end by themselves within their time; paused daemons go on at once.
    for (auto& daemon : this->daemons)
        daemon.process->signal(SIGCONT);
    this->store.down = false;
    this->store.loseAnswers = 0;
}

} // namespace endivetrestle::soak
