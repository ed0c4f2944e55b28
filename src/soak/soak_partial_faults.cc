// Faults of a soak run that concern some daemons only, and releases of primaries beside them.
#include "soak/soak_run.h"

#include <algorithm>
#include <csignal>

namespace endivetrestle::soak {

namespace {

// Time for which a released member drains before it ends, if it is no longer the primary.
constexpr std::chrono::milliseconds drainTime { 7000 };
constexpr std::chrono::milliseconds leaveRetryDelay { 500 };

std::string numbersOf(const std::vector<std::size_t>& daemons)
{
    std::string text;
    for (const auto index : daemons)
        text += " " + std::to_string(index + 1);
    return text;
}

} // namespace

std::vector<std::size_t> SoakRun::someDaemons()
{
    std::vector<std::size_t> chosen;
    for (std::size_t i = 0; i < this->daemons.size(); ++i) {
        if (this->random() % 2 == 0)
            chosen.push_back(i);
    }
    if (chosen.empty())
        chosen.push_back(this->random() % this->daemons.size());
    return chosen;
}

LinkCut SoakRun::anyCut()
{
    constexpr LinkCut kinds[] = { LinkCut::Silent, LinkCut::Reset, LinkCut::Refused, LinkCut::OneWay };
    return kinds[this->random() % std::size(kinds)];
}

// Cuts or mends what a daemon uses to reach the store and the other daemons, and what they use to reach it. Clients and
// endpoints reach it all the while.
void SoakRun::setDaemonLinks(std::size_t index, LinkCut how)
{
    this->daemons.at(index).storeLink->cut(how);
    this->daemons.at(index).promotionLink->cut(how);
    for (std::size_t other = 0; other < this->daemons.size(); ++other) {
        if (other == index)
            continue;
        for (const auto* links : { &this->daemons[index].peers[other], &this->daemons[other].peers[index] }) {
            links->calls->cut(how);
            links->statements->cut(how);
        }
    }
}

// Cuts one daemon off from the store and all other daemons at once, while primaries are released.
void SoakRun::cutDaemon()
{
    const auto index = this->random() % this->daemons.size();
    const auto how = this->anyCut();
    const auto duration = std::chrono::milliseconds(2000 + this->random() % 8000);
    this->note("cut daemon " + std::to_string(index + 1) + " from store and daemons, " + linkCutName(how) + ", for "
        + std::to_string(duration.count()) + " ms");
    this->harmed(index, duration);
    this->setDaemonLinks(index, how);
    this->later(duration, [this, index] { this->setDaemonLinks(index, LinkCut::None); });
    this->releasePrimaries(std::chrono::milliseconds(1500));
    if (this->random() % 3 == 0)
        this->cutPrimary();
}

// Takes the store away from some daemons.
void SoakRun::cutStore()
{
    const auto duration = this->upTo(8000);
    const auto chosen = this->someDaemons();
    const bool refused = this->random() % 4 == 0;
    const auto how = this->anyCut();
    this->note("take the store from daemons" + numbersOf(chosen) + ", " + (refused ? "unavailable" : linkCutName(how))
        + ", for " + std::to_string(duration.count()) + " ms");
    const auto apply = [this, chosen, refused](LinkCut cut) {
        for (const auto index : chosen) {
            if (refused)
                this->store.setRefused(this->daemons[index].storeClient, cut != LinkCut::None);
            else
                this->daemons[index].storeLink->cut(cut);
        }
    };
    for (const auto index : chosen)
        this->harmed(index, duration);
    apply(how);
    this->later(duration, [apply] { apply(LinkCut::None); });
}

// Cuts the primary of one group from some daemons.
void SoakRun::cutPrimary()
{
    auto* leader = this->groups.at(this->random() % this->groups.size())->leader();
    const auto member = std::find_if(this->members.begin(), this->members.end(),
        [&](const Member& candidate) { return candidate.endpoint == leader; });
    if (member == this->members.end())
        return;
    const auto duration = this->upTo(6000);
    const auto chosen = this->someDaemons();
    const auto how = this->anyCut();
    this->note("cut " + leader->id + " from daemons" + numbersOf(chosen) + ", " + linkCutName(how) + ", for "
        + std::to_string(duration.count()) + " ms");
    const auto apply = [chosen, &target = *member](LinkCut cut) {
        // Another member may have taken over the links.
        for (const auto index : chosen) {
            if (index < target.links.size())
                target.links[index]->cut(cut);
        }
    };
    apply(how);
    this->later(duration, [apply] { apply(LinkCut::None); });
}

// The store loses the watches of some daemons; their connections stay open.
void SoakRun::forgetWatches()
{
    const auto chosen = this->someDaemons();
    this->note("lose the watches of daemons" + numbersOf(chosen));
    for (const auto index : chosen) {
        this->harmed(index, std::chrono::milliseconds(0));
        this->store.forgetWatches(this->daemons[index].storeClient);
    }
}

// Leaves some daemons with older lists than the others, and releases primaries once all are in touch again.
void SoakRun::loseStoreForSome()
{
    if (this->random() % 2 == 0)
        this->cutStore();
    else
        this->forgetWatches();
    if (this->random() % 3 == 0)
        this->harmDaemon(0);
    // Only after some releases does a primary come that is missing from an old list.
    constexpr int releases = 4;
    constexpr std::chrono::milliseconds between { 5000 };
    for (int i = 0; i < releases; ++i)
        this->later(i * between, [this] { this->releasePrimaries(std::chrono::milliseconds(3000)); });
}

// Releases the primary of each group, at a time of its own.
void SoakRun::releasePrimaries(std::chrono::milliseconds within)
{
    for (const auto& group : this->groups)
        this->later(
            this->upTo(static_cast<int>(within.count())), [this, target = group.get()] { this->release(*target); });
}

// Starts a new member and drains the primary, which ends once another member leads.
void SoakRun::release(StandinGroup& group)
{
    auto* leader = group.leader();
    const auto old = std::find_if(this->members.begin(), this->members.end(),
        [&](const Member& candidate) { return candidate.endpoint == leader; });
    if (this->healed || old == this->members.end() || old->draining || !leader->up)
        return;
    auto& added = group.addMember(this->context);
    this->note("release " + leader->id + ", new member " + added.id);
    this->addMember(added);
    old->draining = true;
    const auto leave = std::make_shared<std::function<void()>>();
    *leave = [this, &group, &member = *old, weak = std::weak_ptr<std::function<void()>>(leave)] {
        const auto self = weak.lock();
        if (group.leader() == member.endpoint) {
            this->later(leaveRetryDelay, [self] { (*self)(); });
            return;
        }
        member.left = true;
        if (member.endpoint->up)
            member.endpoint->crash();
    };
    this->later(drainTime, [leave] { (*leave)(); });
}

} // namespace endivetrestle::soak
