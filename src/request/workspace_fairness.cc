#include "request/workspace_fairness.h"

#include <algorithm>

namespace endivetrestle {

namespace {

// A new sample has the weight 1 / smoothingDivisor.
constexpr int smoothingDivisor = 16;

} // namespace

void WorkspaceFairness::onWaiting(const WorkspaceId& workspace)
{
    auto& tag = this->tags[workspace];
    tag = std::max(tag, this->virtualTime);
}

void WorkspaceFairness::onStarted(const WorkspaceId& workspace, Duration expected)
{
    const auto tag = this->tagOf(workspace);
    this->virtualTime = std::max(this->virtualTime, tag);
    this->tags[workspace] = tag + expected;
    this->cost += (expected - this->cost) / smoothingDivisor;
}

void WorkspaceFairness::charge(const WorkspaceId& workspace, Duration slotTime)
{
    const auto found = this->tags.find(workspace);
    if (found != this->tags.end())
        found->second += slotTime;
}

void WorkspaceFairness::onNoneWaiting() { this->tags.clear(); }

Duration WorkspaceFairness::tagOf(const WorkspaceId& workspace) const
{
    const auto found = this->tags.find(workspace);
    return found == this->tags.end() ? this->virtualTime : found->second;
}

} // namespace endivetrestle
