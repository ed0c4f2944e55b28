#include "process/gossip.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <memory>
#include <random>
#include <utility>

using namespace endivetrestle;

namespace {

// Gossip instances that exchange messages directly, in rounds.
struct Network {
    struct Node {
        std::unique_ptr<Membership> membership;
        std::unique_ptr<Gossip> gossip;
        bool dead = false;
        bool informed = false;
    };
    std::mt19937_64 engine { 20261204 };
    std::vector<Node> nodes;
    const std::string hash = std::string(64, 'a');

    // Every node knows the given number of random others.
    Network(std::size_t count, std::size_t known)
    {
        for (std::size_t index = 0; index < count; ++index)
            this->nodes.push_back({ std::make_unique<Membership>(infoAt(index)) });
        const auto random = [this](std::uint64_t bound) { return this->engine() % bound; };
        for (auto& node : this->nodes) {
            for (std::size_t other = 0; other < count; ++other)
                if (random(count) < known)
                    node.membership->merge(Time(), infoAt(other));
            node.gossip = std::make_unique<Gossip>(*node.membership, GossipSettings {}, random);
        }
    }

    static DaemonInfo infoAt(std::size_t index)
    {
        const auto region = "region-" + std::to_string(index % 7);
        return { DaemonId(std::to_string(index)), { "10.0.0.1", 7000 },
            DataCentre(region + std::to_string(index / 7 % 3)), Region(region), 0, DaemonState::Alive };
    }

    void deliver(Node& to, const DaemonId& from, const std::string& text, std::vector<Node*>& newlyInformed)
    {
        REQUIRE(text.size() <= 1200);
        const auto received = to.gossip->receive(Time(), from, text);
        REQUIRE(received);
        if (received->hint && !std::exchange(to.informed, true))
            newlyInformed.push_back(&to);
    }

    // One round. Nodes that learn the version put it in force at the end of the round and push it in the next one.
    std::vector<Node*> run(const std::vector<Node*>& pushing)
    {
        std::vector<Node*> newlyInformed;
        for (auto* node : pushing)
            this->exchange(*node, node->gossip->announce(1, this->hash), newlyInformed);
        for (auto& node : this->nodes)
            if (!node.dead)
                this->exchange(node, node.gossip->round(), newlyInformed);
        return newlyInformed;
    }

    void exchange(Node& node, const std::vector<DaemonInfo>& peers, std::vector<Node*>& newlyInformed)
    {
        const auto self = node.membership->self().id;
        for (const auto& peer : peers) {
            auto& other = this->nodes[std::stoul(peer.id.value)];
            if (other.dead) {
                node.membership->reportFailure(Time(), peer.id);
                continue;
            }
            this->deliver(other, self, node.gossip->message(peer.id), newlyInformed);
            this->deliver(node, peer.id, other.gossip->message(self), newlyInformed);
        }
    }
};

} // namespace

// Guards against a version that does not reach every daemon in time (I9). The bound is that of a pure push protocol
// with k random peers per round, log_(k+1) n + ln(n) / k + 4, where k is the expected number of live daemons among two
// peers.
TEST_CASE("Gossip, reaches every live daemon within the rounds expected of push gossip")
{
    const auto count = GENERATE(64, 256, 1600);
    const auto deadShare = GENERATE(0.0, 0.2);
    Network network(count, 100);
    for (std::size_t index = 1; index < network.nodes.size(); ++index)
        network.nodes[index].dead = index % 5 == 4 && deadShare > 0;
    const auto livingPeers = 2 * (1 - deadShare);
    const auto bound = std::log(count) / std::log(1 + livingPeers) + std::log(count) / livingPeers + 4;
    std::vector<Network::Node*> pushing { network.nodes.data() };
    network.nodes[0].informed = true;
    int rounds = 0;
    const auto isDone = [](const auto& node) { return node.dead || node.informed; };
    while (rounds < 100 && !std::all_of(network.nodes.begin(), network.nodes.end(), isDone)) {
        pushing = network.run(pushing);
        ++rounds;
    }
    CAPTURE(count, deadShare, rounds, bound);
    CHECK(rounds <= bound);
}
