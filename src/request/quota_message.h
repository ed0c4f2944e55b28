#pragma once

#include "base/clock.h"
#include "base/identifier.h"

#include <compare>
#include <cstdint>
#include <vector>

// Messages between a daemon whose clients use quotas and the daemon that coordinates them.
namespace endivetrestle {

// Part of the workspaces that has a coordinator of its own.
struct QuotaShard {
    // Number of shards, and the index of this one.
    std::uint32_t count = 1;
    std::uint32_t index = 0;

    auto operator<=>(const QuotaShard&) const = default;
};

// Tokens that a daemon wants for one workspace.
struct QuotaAsk {
    WorkspaceId workspace;
    // Operations that wait.
    std::uint32_t waiting = 0;
    // Tokens for operations that are expected soon.
    std::uint32_t ahead = 0;

    bool operator==(const QuotaAsk&) const = default;
};

struct QuotaRequest {
    // Chosen by the sender; an answer repeats it.
    std::uint64_t number = 0;
    DaemonId daemon;
    QuotaShard shard;
    // Start of the coordinator and its timestamp, both from the last answer after which the sender promised its
    // support; 0 if the sender does not support this coordinator.
    std::uint64_t incarnation = 0;
    std::int64_t stampUs = 0;
    // Largest number of daemons that the sender has lately known of.
    std::uint32_t daemons = 0;
    std::vector<QuotaAsk> asks;

    bool operator==(const QuotaRequest&) const = default;
};

// Answer to a QuotaAsk.
struct QuotaTokens {
    WorkspaceId workspace;
    std::uint32_t tokens = 0;
    // The bucket held fewer tokens than operations wait.
    bool empty = false;

    bool operator==(const QuotaTokens&) const = default;
};

struct QuotaGrant {
    std::uint64_t number = 0;
    QuotaShard shard;
    // Start of the sender; 0 if it cannot become active, so that others need not wait for it.
    std::uint64_t incarnation = 0;
    std::int64_t stampUs = 0;
    // Whether the sender may grant tokens.
    bool active = false;
    // Active coordinator that the sender uses itself; empty if it knows none or is the coordinator.
    DaemonId coordinator;
    // Workspaces that the sender does not know are left out.
    std::vector<QuotaTokens> tokens;

    bool operator==(const QuotaGrant&) const = default;
};

} // namespace endivetrestle
