// Faults of the group with synchronous replicas, and of the route that moves.
#include "soak/soak_run.h"

#include <algorithm>
#include <csignal>

namespace endivetrestle::soak {

namespace {

// Time after which the registry removes the entry of a member that crashed.
constexpr std::chrono::milliseconds lapseTime { 2000 };
// Time for which a member that crashed is down.
constexpr std::chrono::milliseconds memberDownTime { 6900 };

} // namespace

SoakRun::Member* SoakRun::memberOf(const StandinMember* endpoint)
{
    const auto found = std::find_if(this->members.begin(), this->members.end(),
        [&](const Member& candidate) { return candidate.endpoint == endpoint; });
    return found == this->members.end() ? nullptr : &*found;
}

// Loses the primary of the group with synchronous replicas and the replica that has received most, in one of four ways.
void SoakRun::loseHolders()
{
    auto& group = *this->groups.back();
    auto* leader = group.leader();
    Member* primary = leader != nullptr && leader->up ? this->memberOf(leader) : nullptr;
    Member* replica = nullptr;
    Member* other = nullptr;
    for (const auto& candidate : group.members) {
        auto* member = this->memberOf(candidate.get());
        if (candidate.get() == leader || !candidate->up || member->left || member->draining)
            continue;
        if (replica == nullptr || candidate->received() > replica->endpoint->received())
            other = std::exchange(replica, member);
        else
            other = member;
    }
    const auto way = this->random() % 4;
    if (primary == nullptr || primary->draining || replica == nullptr || other == nullptr || this->healed) {
        this->note("lose holders: the group is not complete");
        return;
    }
    if (way == 3)
        this->loseLogOfReplica(*primary, *replica, *other);
    else
        this->loseHoldersTogether(*primary, *replica, way < 2);
}

void SoakRun::loseHoldersTogether(Member& primary, Member& replica, bool withDaemons)
{
    this->note("lose " + primary.endpoint->id + " (primary) and " + replica.endpoint->id
        + (withDaemons ? " with all daemons" : ", and use its address again"));
    this->crash(primary, memberDownTime);
    if (withDaemons) {
        this->crash(replica, memberDownTime);
        this->endAllDaemons();
        return;
    }
    replica.endpoint->crash();
    replica.lapsesAt = bootNow() + lapseTime;
    this->later(lapseTime + std::chrono::milliseconds(1000), [this, &replica] { this->reuseAddress(replica); });
}

// The replica loses its log while the other one hears nothing, and the primary crashes before it is filled again.
void SoakRun::loseLogOfReplica(Member& primary, Member& replica, Member& other)
{
    constexpr std::chrono::milliseconds deafTime { 6400 };
    constexpr std::chrono::milliseconds lostAfter { 1500 };
    constexpr std::chrono::milliseconds emptyAfter { 2500 };
    constexpr std::chrono::milliseconds primaryLostAfter { 2800 };
    this->note("lose the log of " + replica.endpoint->id + ", and " + primary.endpoint->id + " (primary) after it");
    other.endpoint->deaf = true;
    this->later(deafTime, [&other] { other.endpoint->deaf = false; });
    this->later(lostAfter, [&replica] {
        replica.endpoint->crash();
        replica.lapsesAt = bootNow() + lapseTime;
    });
    this->later(emptyAfter, [&replica] {
        replica.endpoint->crash();
        ++replica.processStartMs;
        replica.endpoint->recordsPerTick = 1;
        replica.endpoint->restartEmpty();
    });
    this->later(primaryLostAfter, [this, &primary] { this->crash(primary, memberDownTime); });
    this->later(primaryLostAfter + memberDownTime,
        [&replica] { replica.endpoint->recordsPerTick = std::numeric_limits<std::size_t>::max() / 2; });
}

void SoakRun::crash(Member& member, std::chrono::milliseconds backAfter)
{
    if (!member.endpoint->up)
        return;
    member.endpoint->crash();
    member.lapsesAt = bootNow() + lapseTime;
    this->later(backAfter, [&member] {
        if (member.left || member.endpoint->up)
            return;
        ++member.processStartMs;
        member.endpoint->restart();
    });
}

// All daemons lose power or are stopped, and start again after the entries of crashed members have lapsed.
void SoakRun::endAllDaemons()
{
    const bool killed = this->random() % 2 == 0;
    const auto downFor = lapseTime + std::chrono::milliseconds(100 + this->random() % 1500);
    for (std::size_t i = 0; i < this->daemons.size(); ++i) {
        auto& daemon = this->daemons[i];
        this->harmed(i, downFor);
        daemon.startNotBefore = bootNow() + downFor;
        if (daemon.stopped)
            continue;
        daemon.endExpected = true;
        daemon.process->signal(killed ? SIGKILL : SIGTERM);
    }
}

// The member is gone for good. A new member of another group gets its address, and its own group a new member.
void SoakRun::reuseAddress(Member& lost)
{
    if (this->healed)
        return;
    auto& added = this->groups.front()->addMember(this->context);
    auto& member = this->members.emplace_back();
    member.endpoint = &added;
    member.links = std::move(lost.links);
    lost.links.clear();
    member.linkTarget = lost.linkTarget;
    *member.linkTarget = &added;
    lost.left = true;
    auto& successor = this->groups.back()->addMember(this->context);
    successor.receivesAfter = lost.endpoint->receivesAfter;
    this->note("use the address of " + lost.endpoint->id + " for " + added.id + ", new member " + successor.id);
    this->addMember(successor);
}

// Moves the route that moves to another group and back, twice, while the replicas of these groups are late.
void SoakRun::moveRoute()
{
    constexpr std::chrono::milliseconds lateBy { 1000 };
    constexpr std::chrono::milliseconds lateFor { 4000 };
    constexpr std::chrono::milliseconds pause { 330 };
    this->note("move a route to another group and back while replicas are late");
    for (int i = 0; i < this->settings.groups; ++i) {
        auto& group = *this->groups.at(static_cast<std::size_t>(i));
        const auto usual = std::chrono::milliseconds(40);
        group.replicationDelay = lateBy;
        this->later(lateFor, [&group, usual] { group.replicationDelay = usual; });
    }
    for (int i = 1; i <= 4; ++i) {
        this->later(i * pause, [this] {
            this->movingTarget = (this->movingTarget + 1) % static_cast<std::size_t>(this->settings.groups);
            if (!this->writersAway)
                this->putConfiguration();
        });
    }
}

} // namespace endivetrestle::soak
