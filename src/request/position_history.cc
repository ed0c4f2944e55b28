#include "request/position_history.h"

#include <algorithm>

namespace endivetrestle {

void PositionHistory::startTerm(std::uint64_t term)
{
    if (term <= this->currentTerm)
        return;
    this->currentTerm = term;
    this->termStart.reset();
    this->samples.clear();
}

void PositionHistory::add(Time sentAt, const Position& position)
{
    if (position.term < this->currentTerm)
        return;
    this->startTerm(position.term);
    if (!this->termStart || position < *this->termStart)
        this->termStart = position;
    if (!this->samples.empty() && sentAt <= this->samples.back().sentAt)
        return;
    // A later send may report the same position as earlier samples or, because answers arrive out of order, a smaller
    // one. That position covers the time of those samples too and replaces them.
    bool replaced = false;
    while (!this->samples.empty() && this->samples.back().position >= position) {
        this->samples.pop_back();
        replaced = true;
    }
    if (!replaced && !this->samples.empty() && sentAt - this->samples.back().sentAt < resolution)
        return;
    this->samples.push_back({ sentAt, position });
    while (this->samples.size() > 1 && sentAt - this->samples.front().sentAt > retention)
        this->samples.pop_front();
}

std::optional<Position> PositionHistory::minimumFor(Time coveredUntil) const
{
    const auto found = std::lower_bound(this->samples.begin(), this->samples.end(), coveredUntil,
        [](const Sample& sample, Time time) { return sample.sentAt < time; });
    if (found == this->samples.end())
        return std::nullopt;
    return found->position;
}

std::optional<Time> PositionHistory::reachedAt(const Position& position) const
{
    const auto found = std::lower_bound(this->samples.begin(), this->samples.end(), position,
        [](const Sample& sample, const Position& wanted) { return sample.position < wanted; });
    if (found == this->samples.end())
        return std::nullopt;
    return found->sentAt;
}

} // namespace endivetrestle
