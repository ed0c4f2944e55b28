#include "process/reachability.h"

#include <algorithm>

namespace endivetrestle {

void Reachability::count(Time now)
{
    const auto step = this->countedUntil ? now - *this->countedUntil : Duration::zero();
    if (step > Duration::zero() && step <= maxStep)
        this->counted += step;
    if (!this->countedUntil || now > *this->countedUntil)
        this->countedUntil = now;
}

const Reachability::Path* Reachability::find(const ReachPath& id) const
{
    const auto found = this->paths.find(id);
    return found == this->paths.end() ? nullptr : &found->second;
}

void Reachability::onSent(const ReachPath& id, Time now)
{
    this->count(now);
    auto& path = this->pathOf(id);
    if (path.awaitedSince)
        return;
    path.awaitedSince = this->counted;
    this->awaited.insert(id);
}

void Reachability::onTest(const ReachPath& id, ReachTest test, Time now)
{
    this->onSent(id, now);
    auto& path = this->pathOf(id);
    path.lastTest = this->counted;
    if (path.testedSince)
        return;
    path.testedSince = this->counted;
    path.test = test;
}

void Reachability::onAnswer(const ReachPath& id, Time now)
{
    this->count(now);
    auto& path = this->pathOf(id);
    path = Path {};
    path.answeredAt = this->counted;
    path.lastAnswer = now;
    this->awaited.erase(id);
}

void Reachability::onSettled(const ReachPath& id, Time now)
{
    this->count(now);
    const auto found = this->paths.find(id);
    if (found == this->paths.end() || found->second.silent || found->second.testedSince)
        return;
    found->second.awaitedSince.reset();
    this->awaited.erase(id);
}

void Reachability::onClosed(const ReachPath& id, Time now)
{
    this->count(now);
    const auto found = this->paths.find(id);
    if (found == this->paths.end() || found->second.silent)
        return;
    found->second.awaitedSince.reset();
    found->second.testedSince.reset();
    this->awaited.erase(id);
}

bool Reachability::isTestFailed(const Path& path) const
{
    if (!path.awaitedSince || !path.testedSince)
        return false;
    const auto tested = this->counted - *path.testedSince;
    if (path.test == ReachTest::Open)
        return tested >= openLimit;
    return tested >= probeLimit && this->counted - *path.awaitedSince >= silentAfter;
}

std::vector<ReachPath> Reachability::evaluate(Time now)
{
    this->count(now);
    std::vector<ReachPath> silent;
    for (auto entry = this->awaited.begin(); entry != this->awaited.end();) {
        auto& path = this->pathOf(*entry);
        if (this->counted - std::max(path.lastTest, *path.awaitedSince) >= forgetAfter) {
            entry = this->forgetSilenceOf(entry);
            continue;
        }
        const bool failed = !path.silent && this->isTestFailed(path);
        if (failed && path.failing) {
            path.silent = true;
            silent.push_back(*entry);
        }
        path.failing = failed;
        ++entry;
    }
    return silent;
}

void Reachability::forgetSilence()
{
    for (auto entry = this->awaited.begin(); entry != this->awaited.end();) {
        if (this->pathOf(*entry).silent)
            entry = this->forgetSilenceOf(entry);
        else
            ++entry;
    }
}

std::set<ReachPath>::iterator Reachability::forgetSilenceOf(std::set<ReachPath>::iterator entry)
{
    auto& path = this->pathOf(*entry);
    path.silent = false;
    path.awaitedSince.reset();
    path.testedSince.reset();
    return this->awaited.erase(entry);
}

bool Reachability::isDoubtful(const ReachPath& id, const Path& path) const
{
    const auto limit = id.kind == ReachPath::Kind::Owner ? ownerDoubtAfter : endpointDoubtAfter;
    return path.awaitedSince && (path.silent || this->counted - *path.awaitedSince >= limit);
}

bool Reachability::isSilent(const ReachPath& id) const
{
    const auto* path = this->find(id);
    return path != nullptr && path->silent;
}

bool Reachability::isBeingTested(const ReachPath& id) const
{
    const auto* path = this->find(id);
    return path != nullptr && path->testedSince;
}

bool Reachability::anyDoubt() const
{
    return std::any_of(this->awaited.begin(), this->awaited.end(),
        [this](const ReachPath& id) { return this->isDoubtful(id, this->paths.at(id)); });
}

std::vector<ReachPath> Reachability::ownersToProbe() const
{
    std::vector<ReachPath> result;
    for (const auto& id : this->awaited) {
        const auto& path = this->paths.at(id);
        if (id.kind == ReachPath::Kind::Owner && !path.testedSince && this->counted - *path.awaitedSince >= probeAfter)
            result.push_back(id);
    }
    return result;
}

std::optional<Duration> Reachability::latestSilence(const std::vector<ReachPath>& ids) const
{
    std::optional<Duration> latest;
    for (const auto& id : ids) {
        const auto* path = this->find(id);
        if (path != nullptr && this->isDoubtful(id, *path))
            latest = std::max(latest.value_or(*path->awaitedSince), *path->awaitedSince);
    }
    return latest;
}

GroupReach Reachability::judge(const std::vector<ReachPath>& ids) const
{
    const auto silence = this->latestSilence(ids);
    if (!silence)
        return GroupReach::Reachable;
    const auto answers = [&](const ReachPath& id) {
        const auto* path = this->find(id);
        return path != nullptr && path->answeredAt && !this->isDoubtful(id, *path) && *path->answeredAt >= *silence;
    };
    if (std::any_of(ids.begin(), ids.end(), answers))
        return GroupReach::Reachable;
    return std::all_of(ids.begin(), ids.end(), [this](const ReachPath& id) { return this->isSilent(id); })
        ? GroupReach::Unreachable
        : GroupReach::Doubtful;
}

std::optional<Time> Reachability::lastGoodEvidence(const std::vector<ReachPath>& ids) const
{
    std::optional<Time> last;
    for (const auto& id : ids) {
        const auto* path = this->find(id);
        if (path != nullptr && path->answeredAt)
            last = std::max(last.value_or(path->lastAnswer), path->lastAnswer);
    }
    return last;
}

} // namespace endivetrestle
