#include "process/gossip.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck/catch.h>

#include <map>
#include <random>

using namespace endivetrestle;

namespace {

const std::string hash(64, 'a');

DaemonInfo daemon(const std::string& id, std::uint64_t incarnation = 1, DaemonState state = DaemonState::Alive,
    const std::string& centre = "a", const std::string& region = "r")
{
    return { DaemonId(id), { "10.0.0.1", 7000 }, DataCentre(centre), Region(region), incarnation, state };
}

RandomSource seeded()
{
    return [engine = std::mt19937_64(20261204)](std::uint64_t bound) mutable { return engine() % bound; };
}

struct Node {
    explicit Node(const std::string& id, std::uint64_t incarnation = 1)
        : membership(daemon(id, incarnation))
        , gossip(membership, {}, seeded())
    {
    }
    Membership membership;
    Gossip gossip;
};

void send(Node& from, Node& to)
{
    const auto text = from.gossip.message(to.membership.self().id);
    CHECK(text.size() <= 1200);
    REQUIRE(to.gossip.receive(Time(), from.membership.self().id, text));
}

void exchange(Node& left, Node& right)
{
    send(left, right);
    send(right, left);
}

} // namespace

// Guards against messages above the size limit, and against views that digests do not make converge.
TEST_CASE("Gossip, makes two different views converge with messages of bounded size")
{
    Node left("left");
    Node right("right");
    for (int index = 0; index < 200; ++index) {
        auto& node = index % 2 == 0 ? left : right;
        // An entry with incarnation 0 comes from the live list and is not a pending update, so only digests can find
        // the difference.
        node.membership.merge(Time(), daemon("a-rather-long-daemon-name-" + std::to_string(index), 0));
    }
    int exchanges = 0;
    for (; left.membership.view() != right.membership.view() && exchanges < 100; ++exchanges)
        exchange(left, right);
    // A message has room for at least 8 entries of about 100 bytes, and the 200 entries take turns.
    CHECK(exchanges <= 200 / 8 + 2);
}

// Guards against a suspicion that is not refuted although the daemon is alive.
TEST_CASE("Gossip, tells a suspected peer immediately so that it can refute the suspicion")
{
    Node left("left");
    Node right("right", 5);
    exchange(left, right);
    left.membership.merge(Time(), daemon("right", 5, DaemonState::Suspected));
    exchange(left, right);
    CHECK(left.membership.find(DaemonId("right")) == daemon("right", 6));
}

// Guards against regions that stop exchanging with each other, and against rounds wasted on dead daemons.
TEST_CASE("Gossip, chooses peers of all distances and regularly retries failed ones")
{
    Node node("self");
    for (int index = 0; index < 20; ++index) {
        node.membership.merge(Time(), daemon("near-" + std::to_string(index)));
        node.membership.merge(Time(), daemon("centre-" + std::to_string(index), 1, DaemonState::Alive, "b"));
        node.membership.merge(Time(), daemon("region-" + std::to_string(index), 1, DaemonState::Alive, "c", "s"));
        node.membership.merge(Time(), daemon("bad-" + std::to_string(index), 1, DaemonState::Suspected));
    }
    std::map<std::string, int> chosen;
    for (int round = 0; round < 800; ++round) {
        const auto peers = node.gossip.round();
        REQUIRE(peers.size() == 2);
        CHECK(peers[0].id != peers[1].id);
        for (const auto& peer : peers)
            ++chosen[peer.id.value.substr(0, peer.id.value.find('-'))];
    }
    CHECK(chosen["bad"] == 100);
    // 1,500 draws with shares of 1/4, 1/2 and 1/4; five standard deviations are at most 97.
    CHECK(std::abs(chosen["near"] - 375) < 97);
    CHECK(std::abs(chosen["centre"] - 750) < 97);
    CHECK(std::abs(chosen["region"] - 375) < 97);
    CHECK(node.gossip.announce(1, hash).size() == 3);
    CHECK(Node("alone").gossip.round().empty());
}

// Guards against reports of versions in force that are not passed on.
TEST_CASE("Gossip, relays which daemons have its version in force")
{
    Node left("left");
    Node middle("middle");
    Node right("right");
    for (auto* node : { &left, &middle, &right })
        node->gossip.announce(4, hash);
    exchange(left, middle);
    const auto received = right.gossip.receive(Time(), DaemonId("middle"), middle.gossip.message(DaemonId("right")));
    REQUIRE(received);
    CHECK(received->hint == VersionHint { 4, hash, DaemonId("middle") });
    CHECK(received->inForce
        == std::vector<std::pair<DaemonId, std::uint64_t>> { { DaemonId("middle"), 4 }, { DaemonId("left"), 4 } });
}

// Guards against a crash, an exception or a polluted view when a message is malformed.
TEST_CASE("Gossip, handles malformed messages")
{
    Node node("self");
    const auto receive = [&](const std::string& text) { return node.gossip.receive(Time(), DaemonId("peer"), text); };
    for (const std::string text : { "", "[]", "null", "{", "\xff\xfe", "{\"c\":\"\xff\"}" })
        CHECK_FALSE(receive(text));
    CHECK_FALSE(receive("{\"x\":\"" + std::string(1200, 'x') + "\"}"));
    CHECK_FALSE(receive(std::string(1200, '[')));
    for (const std::string text :
        { "{}", R"({"c":[-1,"a"],"d":7,"m":{},"f":3})", R"({"c":[1.5,"a"],"d":"zz","m":[[]]})",
            R"({"c":["1",2],"m":[["a","host:1","b","c",1,0],["a","1.2.3.4:5","b","c",-1,0]]})",
            R"({"m":[["a b","1.2.3.4:5","b","c",1,0],["a","1.2.3.4:5","b","c",1,9],[[[]]]]})",
            R"({"m":[["a","1.2.3.4:5","b","c",18446744073709551615,0]],"unknown":{"k":1}})" }) {
        CAPTURE(text);
        const auto received = receive(text);
        REQUIRE(received);
        CHECK(received->changes == 0);
        CHECK_FALSE(received->hint);
    }
    CHECK(receive(R"({"c":[18446744073709551615,"x"],"f":[1,"b"]})")->hint->version == UINT64_MAX);
    CHECK(node.membership.size() == 1);
}

// Guards against a crash on a corrupted message.
TEST_CASE("Gossip, handles corrupted bytes in a valid message")
{
    rc::prop("corrupted messages are handled", [] {
        Node sender("sender");
        sender.gossip.announce(3, hash);
        Node node("self");
        auto text = sender.gossip.message(DaemonId("self"));
        for (int damage = *rc::gen::inRange(1, 6); damage > 0; --damage)
            text[*rc::gen::inRange<std::size_t>(0, text.size())] = *rc::gen::arbitrary<char>();
        node.gossip.receive(Time(), DaemonId("sender"), text);
        RC_ASSERT(node.membership.size() <= 2U);
        RC_ASSERT(node.gossip.message(DaemonId("sender")).size() <= 1200U);
    });
}
