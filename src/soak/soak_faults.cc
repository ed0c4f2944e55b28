// Faults of a soak run, drawn from its seed.
#include "soak/soak_run.h"

#include <csignal>

namespace endivetrestle::soak {

void SoakRun::scheduleFault()
{
    this->faultTimer.expires_after(this->pauseBetweenFaults());
    this->faultTimer.async_wait([this](const asio::error_code& error) {
        if (error)
            return;
        this->injectFault();
        this->scheduleFault();
    });
}

std::chrono::milliseconds SoakRun::pauseBetweenFaults()
{
    switch (this->settings.scenario) {
    case SoakScenario::CutDaemon:
        return std::chrono::milliseconds(3000 + this->random() % 5000);
    case SoakScenario::OldLists:
        // Leaves time in which all daemons are in touch with the store.
        return std::chrono::milliseconds(22000 + this->random() % 4000);
    case SoakScenario::Restored:
        return std::chrono::milliseconds(9000 + this->random() % 5000);
    case SoakScenario::RepeatedAnswers:
        return std::chrono::milliseconds(1500 + this->random() % 3500);
    case SoakScenario::LostHolders:
        // Leaves time for all members to come back.
        return std::chrono::milliseconds(12000 + this->random() % 3000);
    case SoakScenario::Mixed:
        break;
    }
    return std::chrono::milliseconds(100 + this->random() % 1200);
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
    if (this->settings.scenario == SoakScenario::CutDaemon) {
        this->cutDaemon();
        return;
    }
    if (this->settings.scenario == SoakScenario::OldLists) {
        this->loseStoreForSome();
        return;
    }
    if (this->settings.scenario == SoakScenario::Restored) {
        this->restoreStore();
        return;
    }
    if (this->settings.scenario == SoakScenario::LostHolders) {
        this->loseHolders();
        this->moveRoute();
        return;
    }
    const auto kind = this->random() % 28;
    if (kind == 27)
        this->loseHolders();
    else if (kind == 26)
        this->moveRoute();
    else if (kind == 25)
        this->repeatAnswers();
    else if (kind == 24)
        this->restoreStore();
    else if (kind < 5)
        this->harmDaemon(kind);
    else if (kind >= 19)
        this->harmSome(kind);
    else if (kind >= 16)
        this->harmDaemonLinks(kind);
    else if (kind < 12)
        this->harmMember(kind);
    else
        this->harmStore(kind);
}

// Faults that concern some daemons only.
void SoakRun::harmSome(std::uint64_t kind)
{
    switch (kind) {
    case 19:
        this->cutDaemon();
        return;
    case 20:
        this->cutStore();
        return;
    case 21:
        this->cutPrimary();
        return;
    case 22:
        this->forgetWatches();
        return;
    default:
        this->release(*this->groups.at(this->random() % this->groups.size()));
        return;
    }
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
        this->harmed(index, std::chrono::milliseconds(0));
        daemon.endExpected = true;
        daemon.process->signal(SIGKILL);
    } else if (kind == 2 && !daemon.endExpected) {
        this->note("terminate " + name);
        this->harmed(index, std::chrono::milliseconds(0));
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
    const auto duration = this->upTo(4000);
    const bool bothWays = this->random() % 2 == 0;
    this->note("harm links to daemon " + std::to_string(index + 1) + " kind " + std::to_string(kind));
    this->harmed(index, duration);
    for (auto& daemon : this->daemons) {
        for (auto* link : { daemon.peers[index].calls.get(), daemon.peers[index].statements.get() }) {
            if (link == nullptr)
                continue;
            if (kind == 16)
                link->reset(0.7);
            else if (kind == 17)
                link->silence(0.7, bothWays);
            else {
                link->cut(LinkCut::Silent);
                this->later(duration, [link] { link->cut(LinkCut::None); });
            }
        }
    }
}

void SoakRun::pause(std::size_t index, std::chrono::milliseconds duration, const std::string& name)
{
    this->note("pause " + name + " for " + std::to_string(duration.count()) + " ms");
    this->harmed(index, duration);
    this->daemons.at(index).process->signal(SIGSTOP);
    this->later(duration, [this, index] { this->daemons.at(index).process->signal(SIGCONT); });
}

void SoakRun::harmMember(std::uint64_t kind)
{
    auto& member = this->members.at(this->random() % this->members.size());
    if (member.left)
        return;
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
            // Another fault may have started it again.
            if (member.left || endpoint->up)
                return;
            ++member.processStartMs;
            endpoint->restart();
        });
        return;
    case 6:
        for (const auto& link : member.links)
            link->reset(0.7);
        return;
    case 7: {
        const bool bothWays = this->random() % 2 == 0;
        for (const auto& link : member.links)
            link->silence(0.6, bothWays);
        return;
    }
    case 8:
        for (const auto& link : member.links)
            link->cut(LinkCut::Silent);
        this->later(duration, [&member] {
            for (const auto& link : member.links)
                link->cut(LinkCut::None);
        });
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

double SoakRun::usualRepeatShare() const
{
    constexpr double share = 0.1;
    return this->settings.scenario == SoakScenario::RepeatedAnswers && !this->healed ? share : 0;
}

// One member sends many answers twice for some seconds.
void SoakRun::repeatAnswers()
{
    constexpr double share = 0.3;
    auto* endpoint = this->members.at(this->random() % this->members.size()).endpoint;
    const auto duration = this->upTo(5000);
    this->note("answers of " + endpoint->id + " sent twice for " + std::to_string(duration.count()) + " ms");
    endpoint->answerTwice = share;
    this->later(duration, [this, endpoint] { endpoint->answerTwice = this->usualRepeatShare(); });
}

void SoakRun::harmStore(std::uint64_t kind)
{
    const auto duration = this->upTo(6000);
    this->note("harm store kind " + std::to_string(kind));
    this->storeHarmedUntil = std::max(this->storeHarmedUntil, bootNow() + duration);
    switch (kind) {
    case 12:
        this->store.down = true;
        this->later(duration, [this] { this->store.down = false; });
        return;
    case 13:
        this->store.loseAnswers = 0.3;
        this->later(duration, [this] { this->store.loseAnswers = 0; });
        return;
    case 14: {
        const bool bothWays = this->random() % 2 == 0;
        for (auto& daemon : this->daemons)
            daemon.storeLink->silence(0.7, bothWays);
        this->store.compact();
        return;
    }
    default:
        for (auto& daemon : this->daemons)
            daemon.storeLink->reset(0.7);
        this->putConfiguration();
        return;
    }
}

// Replaces primaries, and then takes the store away and brings it back as it was some seconds before. Operators and
// endpoints write again soon after; what the daemons had written is gone.
void SoakRun::restoreStore()
{
    this->releasePrimaries(std::chrono::milliseconds(1500));
    const auto lostAfter = std::chrono::milliseconds(500 + this->random() % 3500);
    const auto awayFor = this->upTo(2500);
    const auto age = std::chrono::milliseconds(1000 + this->random() % 8000);
    const auto writtenAgainAfter = std::chrono::milliseconds(this->random() % 1500);
    const bool killSome = this->random() % 3 == 0;
    const bool cutSome = this->random() % 3 == 0;
    this->later(lostAfter, [this, awayFor, age, killSome, cutSome] {
        if (this->healed)
            return;
        this->note("restore the store from a copy of " + std::to_string(age.count()) + " ms before, away for "
            + std::to_string(awayFor.count()) + " ms");
        this->storeHarmedUntil = std::max(this->storeHarmedUntil, bootNow() + awayFor);
        this->store.down = true;
        this->writersAway = true;
        if (cutSome)
            this->cutStore();
        if (killSome)
            this->harmDaemon(0);
    });
    this->later(lostAfter + awayFor, [this, age] {
        if (!this->writersAway)
            return;
        this->store.restore(age);
        this->store.down = false;
    });
    this->later(lostAfter + awayFor + writtenAgainAfter, [this] { this->writeAgain(); });
}

// The operators and the endpoints write again what they have written before.
void SoakRun::writeAgain()
{
    this->writersAway = false;
    for (auto& member : this->members)
        member.lastRow = "?";
    this->putConfiguration();
}

// Notes that a daemon is harmed from now on for some time.
void SoakRun::harmed(std::size_t index, std::chrono::milliseconds duration)
{
    auto& until = this->daemons.at(index).harmedUntil;
    until = std::max(until, bootNow() + duration);
}

void SoakRun::heal()
{
    this->note("heal");
    this->faultTimer.cancel();
    this->healed = true;
    // Faults of endpoints that are under way end by themselves within their time; paused daemons go on at once.
    for (std::size_t i = 0; i < this->daemons.size(); ++i) {
        this->daemons[i].process->signal(SIGCONT);
        this->setDaemonLinks(i, LinkCut::None);
        this->store.setRefused(this->daemons[i].storeClient, false);
    }
    for (auto& member : this->members) {
        for (const auto& link : member.links)
            link->cut(LinkCut::None);
        member.endpoint->answerTwice = 0;
    }
    this->store.down = false;
    this->store.loseAnswers = 0;
    if (this->writersAway)
        this->writeAgain();
}

} // namespace endivetrestle::soak
