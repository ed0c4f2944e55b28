#pragma once

#include "soak/audit.h"
#include "soak/standin_member.h"

#include <memory>
#include <random>
#include <string>
#include <vector>

namespace endivetrestle::soak {

// A replicated group with terms and promotions. A commit is acknowledged at once, or when a replica has received it.
class StandinGroup {
public:
    StandinGroup(asio::io_context& context, std::string name, Audit& audit, std::mt19937_64& random);

    // Starts a new member, which holds nothing at first.
    StandinMember& addMember(asio::io_context& context);
    // Makes the member lead the next term with what it has received.
    void promote(const std::string& id);
    // Moves records from the primary to the replicas; called every few milliseconds.
    void replicate();
    // The member that was promoted last, or null if it was demoted. A member of an earlier term that still takes itself
    // for the primary does not lead.
    StandinMember* leader();
    StandinMember* find(const std::string& id);
    // Whether as many replicas as syncReplicas have received the position.
    [[nodiscard]] bool isReplicated(const Position& position);

    std::string name;
    Audit& audit;
    std::mt19937_64& random;
    // Time after its commit until a replica receives a record.
    std::chrono::milliseconds replicationDelay { 40 };
    // Replicas that must receive a commit before it is acknowledged.
    std::size_t syncReplicas = 0;
    // Connections that each member accepts.
    std::size_t maxConnections = 32;
    std::vector<std::unique_ptr<StandinMember>> members;

private:
    StandinMember* lastPromoted = nullptr;
};

} // namespace endivetrestle::soak
