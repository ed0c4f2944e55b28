#include "soak/standin_group.h"

#include "base/boot_clock.h"

#include <algorithm>

namespace endivetrestle::soak {

StandinGroup::StandinGroup(asio::io_context& context, std::string name, Audit& audit, std::mt19937_64& random)
    : name(std::move(name))
    , audit(audit)
    , random(random)
{
    for (int i = 1; i <= 3; ++i)
        this->addMember(context);
    this->lastPromoted = this->members.front().get();
    this->lastPromoted->primary = true;
}

StandinMember& StandinGroup::addMember(asio::io_context& context)
{
    const auto id = this->name + "-" + std::to_string(this->members.size() + 1);
    this->members.push_back(std::make_unique<StandinMember>(context, *this, id));
    return *this->members.back();
}

StandinMember* StandinGroup::leader() { return this->lastPromoted->primary ? this->lastPromoted : nullptr; }

StandinMember* StandinGroup::find(const std::string& id)
{
    for (const auto& member : this->members) {
        if (member->id == id)
            return member.get();
    }
    return nullptr;
}

bool StandinGroup::isReplicated(const Position& position)
{
    const auto received = std::count_if(this->members.begin(), this->members.end(),
        [&](const auto& member) { return !member->primary && member->up && member->holds(position); });
    return static_cast<std::size_t>(received) >= this->syncReplicas;
}

void StandinGroup::promote(const std::string& id)
{
    auto* member = this->find(id);
    if (member == nullptr || !member->up || member == this->leader())
        return;
    std::uint64_t highest = 0;
    for (const auto& other : this->members)
        highest = std::max(highest, other->term);
    this->audit.onRolledBack(this->name, member->received(), highest + 1);
    this->lastPromoted = member;
    member->primary = true;
    member->term = highest + 1;
    member->appliedCount = member->log.size();
}

void StandinGroup::replicate()
{
    auto* source = this->leader();
    if (source == nullptr || !source->up)
        return;
    const auto now = bootNow();
    const auto availableAfter = [&](Duration delay) {
        return static_cast<std::size_t>(
            std::partition_point(source->log.begin(), source->log.end(),
                [&](const StandinMember::Record& record) { return record.committedAt <= now - delay; })
            - source->log.begin());
    };
    // A replaced primary learns of its successor after about a second.
    constexpr int ticksUntilLearned = 200;
    for (const auto& member : this->members) {
        if (member->primary && member.get() != source && this->random() % ticksUntilLearned == 0)
            member->primary = false;
        if (member.get() == source || member->deaf || !member->up || member->primary)
            continue;
        // A member that follows a new primary drops what that one does not hold.
        auto common = std::min(member->log.size(), source->log.size());
        while (common > 0 && member->log[common - 1].position != source->log[common - 1].position)
            --common;
        member->log.resize(common);
        member->term = source->term;
        const auto available = availableAfter(member->receivesAfter.value_or(this->replicationDelay));
        const auto target = std::min(std::max(common, available), common + member->recordsPerTick);
        member->log.insert(member->log.end(), source->log.begin() + static_cast<std::ptrdiff_t>(common),
            source->log.begin() + static_cast<std::ptrdiff_t>(target));
        member->appliedCount = member->log.size();
    }
}

} // namespace endivetrestle::soak
