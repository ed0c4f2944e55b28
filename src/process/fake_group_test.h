#pragma once

#include "request/endpoint_call.h"

#include <vector>

namespace endivetrestle::testing {

// Record in the log of a fake endpoint; write is 0 for the record that a promotion appends.
struct LogRecord {
    std::uint64_t term = 0;
    std::uint64_t write = 0;

    bool operator==(const LogRecord&) const = default;
};

// Member of a group that follows the rules of FenceCall and PromoteCall. Its log survives a crash.
struct FakeEndpoint {
    EndpointId id;
    std::uint64_t term = 0;
    DaemonId grantedTo;
    EndpointRole role = EndpointRole::Replica;
    std::vector<LogRecord> log;
    Time contactAt { -std::chrono::hours(1) };
    Time downUntil;

    [[nodiscard]] Position lastLog() const
    {
        return this->log.empty() ? Position {} : Position { this->log.back().term, this->log.size() };
    }

    [[nodiscard]] EndpointStatus status(Time now) const
    {
        const Duration age = this->role == EndpointRole::Primary ? Duration::zero() : now - this->contactAt;
        return { this->id, this->term, this->role, this->lastLog(), this->lastLog(), age, 0 };
    }

    FenceAnswer fence(const FenceCall& call, Time now)
    {
        const bool granted = call.term > this->term || (call.term == this->term && call.claimant == this->grantedTo);
        if (call.term > this->term)
            this->role = EndpointRole::Fenced;
        if (granted) {
            this->term = call.term;
            this->grantedTo = call.claimant;
        }
        return { granted, this->status(now) };
    }

    FenceAnswer promote(const PromoteCall& call, Time now)
    {
        const bool granted = call.term == this->term && call.claimant == this->grantedTo;
        if (granted && this->role != EndpointRole::Primary) {
            this->role = EndpointRole::Primary;
            this->log.push_back({ call.term, 0 });
        }
        return { granted, this->status(now) };
    }

    void stepDown(std::uint64_t term)
    {
        if (term > this->term)
            this->grantedTo = {};
        this->term = term;
        this->role = EndpointRole::Replica;
    }

    // Takes up to count records of the primary after dropping those that the primary does not have.
    void follow(const FakeEndpoint& primary, std::size_t count, Time now)
    {
        this->stepDown(primary.term);
        this->contactAt = now;
        std::size_t common = 0;
        while (common < this->log.size() && common < primary.log.size() && this->log[common] == primary.log[common])
            ++common;
        this->log.resize(common);
        for (; count > 0 && this->log.size() < primary.log.size(); --count)
            this->log.push_back(primary.log[this->log.size()]);
    }
};

} // namespace endivetrestle::testing
