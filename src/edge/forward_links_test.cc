#include "edge/forward_links.h"

#include "edge/forward_codec.h"
#include "edge/framing.h"
#include "process/scheduler_fixture_test.h"

#include <asio.hpp>
#include <catch2/catch.hpp>

using namespace endivetrestle;
using namespace std::chrono_literals;

namespace {

const DaemonId owner { "owner" };

// A sender and an owner on one event loop with real sockets; the owner runs statements on a scheduler fixture.
struct Fixture {
    Fixture()
    {
        this->ownerLinks = std::make_unique<ForwardLinks>(this->context, this->ownerHooks());
        this->ownerLinks->listen({ "127.0.0.1", 0 });
        auto& hooks = this->senderHooks;
        hooks.now = [this] { return this->world.now; };
        hooks.outcome = [this](const DaemonId&, const DatabaseId& group, const ForwardedOutcome& outcome) {
            this->outcomes.push_back(outcome);
            this->outcomeGroups.push_back(group);
        };
        hooks.lost = [this](const DaemonId&, bool established) { this->losses.push_back(established); };
        hooks.runner = [](const DatabaseId&) { return nullptr; };
        hooks.accepts = [](const ForwardedStatement&, Time) { return false; };
        this->replaceSender();
    }

    void replaceSender()
    {
        this->sender = std::make_unique<ForwardLinks>(this->context, this->senderHooks);
        this->sender->setDaemons({ { owner, { "127.0.0.1", this->ownerLinks->port() } } });
    }

    ForwardLinkHooks ownerHooks()
    {
        ForwardLinkHooks hooks;
        hooks.now = [this] { return this->world.now; };
        hooks.outcome = [](const DaemonId&, const DatabaseId&, const ForwardedOutcome&) {};
        hooks.lost = [](const DaemonId&, bool) {};
        hooks.runner = [this](const DatabaseId&) { return this->world.scheduler.get(); };
        hooks.accepts = [](const ForwardedStatement&, Time) { return true; };
        return hooks;
    }

    static ForwardedStatement statement(std::uint64_t number, Time now)
    {
        ForwardedStatement message;
        message.number = number;
        message.group = DatabaseId("shop");
        message.work = SchedulerFixture::write();
        message.work.session = std::make_shared<SessionState>();
        message.work.expiresAt = now + 800ms;
        return message;
    }

    bool send(std::uint64_t number) { return this->sender->send(owner, statement(number, this->world.now)); }

    // Runs the event loop until the condition holds; a condition that never holds fails the test.
    template <typename Condition> void runUntil(const Condition& condition)
    {
        constexpr int maxRounds = 5000;
        for (int round = 0; round < maxRounds && !condition(); ++round)
            this->context.run_one_for(2ms);
        REQUIRE(condition());
    }

    asio::io_context context;
    // Keeps the loop from ending while no operation is under way.
    asio::executor_work_guard<asio::io_context::executor_type> work { this->context.get_executor() };
    SchedulerFixture world;
    ForwardLinkHooks senderHooks;
    std::unique_ptr<ForwardLinks> ownerLinks;
    std::unique_ptr<ForwardLinks> sender;
    std::vector<ForwardedOutcome> outcomes;
    std::vector<DatabaseId> outcomeGroups;
    std::vector<bool> losses;
};

} // namespace

TEST_CASE("ForwardLinks, carries a statement to the owner and its outcome back")
{
    Fixture fixture;
    REQUIRE(fixture.send(1));
    fixture.runUntil([&] { return !fixture.world.sent.empty(); });
    fixture.world.succeed(fixture.world.take());
    fixture.runUntil([&] { return !fixture.outcomes.empty(); });
    CHECK(fixture.outcomes.front().number == 1);
    CHECK(fixture.outcomes.front().result.answer.succeeded);
}

TEST_CASE("ForwardLinks, refuses to send when the daemon is unknown")
{
    Fixture fixture;
    CHECK_FALSE(fixture.sender->send(DaemonId("other"), Fixture::statement(1, fixture.world.now)));
}

// Guards against reporting a write as in doubt although no byte of it has left.
TEST_CASE("ForwardLinks, reports a link as never established when the owner refuses it")
{
    Fixture fixture;
    fixture.ownerLinks.reset();
    REQUIRE(fixture.send(1));
    fixture.runUntil([&] { return !fixture.losses.empty(); });
    CHECK(fixture.losses == std::vector<bool> { false });
}

// Guards against statements that wait for a connection to a host that is cut off.
TEST_CASE("ForwardLinks, takes no statements for a lost owner until the link is back")
{
    Fixture fixture;
    const auto port = fixture.ownerLinks->port();
    fixture.ownerLinks.reset();
    REQUIRE(fixture.send(1));
    fixture.runUntil([&] { return !fixture.losses.empty(); });
    fixture.world.now += ForwardLinks::refusedPause;
    CHECK_FALSE(fixture.send(2));
    fixture.ownerLinks = std::make_unique<ForwardLinks>(fixture.context, fixture.ownerHooks());
    fixture.ownerLinks->listen({ "127.0.0.1", port });
    fixture.sender->tick(fixture.world.now, 1s);
    fixture.runUntil([&] { return fixture.send(3); });
    fixture.runUntil([&] { return !fixture.world.sent.empty(); });
}

TEST_CASE("ForwardLinks, reports a link as lost when the owner ends")
{
    Fixture fixture;
    REQUIRE(fixture.send(1));
    fixture.runUntil([&] { return !fixture.world.sent.empty(); });
    fixture.ownerLinks.reset();
    fixture.runUntil([&] { return !fixture.losses.empty(); });
    CHECK(fixture.losses == std::vector<bool> { true });
}

// Guards against statements that wait for an owner which has lost power or is cut off: nothing resets the link.
TEST_CASE("ForwardLinks, gives a link up when the owner does not answer a probe")
{
    Fixture fixture;
    asio::ip::tcp::acceptor silent(fixture.context, { asio::ip::make_address("127.0.0.1"), 0 });
    fixture.sender->setDaemons({ { owner, { "127.0.0.1", silent.local_endpoint().port() } } });
    REQUIRE(fixture.send(1));
    fixture.world.now += ForwardLinks::quietLimit;
    fixture.sender->tick(fixture.world.now, 1s);
    CHECK(fixture.losses.empty());
    fixture.world.now += ForwardLinks::probeLimit;
    fixture.sender->tick(fixture.world.now, 1s);
    CHECK(fixture.losses.size() == 1);
}

// Guards against giving up an owner that only takes its time with a statement.
TEST_CASE("ForwardLinks, keeps a link when the owner answers the probe")
{
    Fixture fixture;
    REQUIRE(fixture.send(1));
    fixture.runUntil([&] { return !fixture.world.sent.empty(); });
    for (int round = 0; round < 5; ++round) {
        fixture.world.now += ForwardLinks::quietLimit;
        fixture.sender->tick(fixture.world.now, 1s);
        fixture.context.run_for(20ms);
        fixture.world.now += ForwardLinks::probeLimit;
        fixture.sender->tick(fixture.world.now, 1s);
        fixture.context.run_for(20ms);
    }
    CHECK(fixture.losses.empty());
}

TEST_CASE("ForwardLinks, sends no new statements when the owner is about to stop")
{
    Fixture fixture;
    REQUIRE(fixture.send(1));
    fixture.runUntil([&] { return !fixture.world.sent.empty(); });
    fixture.ownerLinks->announceLeaving();
    fixture.runUntil([&] { return !fixture.send(2); });
    CHECK(fixture.losses.empty());
}

// Guards against one daemon's rubbish that ends the process or the links of others.
TEST_CASE("ForwardLinks, closes a link that carries no messages and serves the others")
{
    Fixture fixture;
    asio::ip::tcp::socket socket(fixture.context);
    socket.connect({ asio::ip::make_address("127.0.0.1"), fixture.ownerLinks->port() });
    asio::write(socket, asio::buffer(std::string("\0\0\0\5hello", 9)));
    bool closed = false;
    std::array<char, 64> buffer {};
    socket.async_read_some(
        asio::buffer(buffer), [&](const asio::error_code& error, std::size_t) { closed = static_cast<bool>(error); });
    fixture.runUntil([&] { return closed; });
    REQUIRE(fixture.send(1));
    fixture.runUntil([&] { return !fixture.world.sent.empty(); });
}

// Guards against an outcome that is sent twice, or that an owner made up, and reaches another statement.
TEST_CASE("ForwardLinks, passes on one outcome for each statement that was sent on the link")
{
    Fixture fixture;
    asio::ip::tcp::acceptor acceptor(fixture.context, { asio::ip::make_address("127.0.0.1"), 0 });
    fixture.sender->setDaemons({ { owner, { "127.0.0.1", acceptor.local_endpoint().port() } } });
    REQUIRE(fixture.send(1));
    std::optional<asio::ip::tcp::socket> peer;
    acceptor.async_accept(
        [&](const asio::error_code&, asio::ip::tcp::socket accepted) { peer.emplace(std::move(accepted)); });
    fixture.runUntil([&] { return peer.has_value(); });
    REQUIRE(fixture.send(2));
    const auto answer = [&](std::uint64_t number) {
        ForwardedOutcome outcome;
        outcome.number = number;
        asio::write(*peer, asio::buffer(encodeFrame(encodeForward(outcome, fixture.world.now))));
    };
    for (const std::uint64_t number : { 1, 1, 3, 2 })
        answer(number);
    fixture.runUntil([&] { return !fixture.outcomes.empty() && fixture.outcomes.back().number == 2; });
    REQUIRE(fixture.outcomes.size() == 2);
    CHECK(fixture.outcomes.front().number == 1);
}

// Guards against a request for quota that waits until a statement opens the link, and against an answer that goes to
// another daemon.
TEST_CASE("ForwardLinks, opens a link for a request for quota and carries the answer back on it")
{
    Fixture fixture;
    std::vector<QuotaRequest> requests;
    auto ownerHooks = fixture.ownerHooks();
    ownerHooks.quotaRequest = [&](const QuotaRequest& request, Time) {
        requests.push_back(request);
        return QuotaGrant { request.number, request.shard, 5, 9, true, {}, { { WorkspaceId("w"), 2, false } } };
    };
    ForwardLinks coordinator(fixture.context, std::move(ownerHooks));
    coordinator.listen({ "127.0.0.1", 0 });
    std::vector<std::pair<DaemonId, QuotaGrant>> grants;
    auto senderHooks = fixture.ownerHooks();
    senderHooks.quotaGrant
        = [&](const DaemonId& from, const QuotaGrant& grant, Time) { grants.emplace_back(from, grant); };
    ForwardLinks sender(fixture.context, std::move(senderHooks));
    sender.setDaemons({ { owner, { "127.0.0.1", coordinator.port() } } });
    const QuotaRequest request { 3, DaemonId("asking"), {}, 0, 0, 2, { { WorkspaceId("w"), 1, 1 } } };
    REQUIRE(sender.send(owner, request));
    fixture.runUntil([&] { return !grants.empty(); });
    CHECK(requests == std::vector { request });
    CHECK(grants.front().first == owner);
    CHECK(grants.front().second.number == 3);
    CHECK(grants.front().second.tokens == std::vector { QuotaTokens { WorkspaceId("w"), 2, false } });
}

// Guards against a lost link that is taken for silent, or a silent one for reached.
TEST_CASE("ForwardLinks, reports the evidence of a link")
{
    Fixture fixture;
    std::vector<LinkEvidence> evidence;
    fixture.senderHooks.evidence = [&](const DaemonId&, LinkEvidence item) { evidence.push_back(item); };
    fixture.replaceSender();
    REQUIRE(fixture.send(1));
    fixture.runUntil([&] { return !fixture.world.sent.empty(); });
    using Evidence = LinkEvidence;
    CHECK(evidence
        == std::vector<Evidence> { Evidence::OpenStarted, Evidence::Sent, Evidence::Answered, Evidence::Sent });
    evidence.clear();
    fixture.sender->test(owner, fixture.world.now);
    fixture.runUntil([&] { return evidence.size() >= 3; });
    // The statement is still unanswered after the answer to the probe.
    CHECK(evidence == std::vector<Evidence> { Evidence::ProbeSent, Evidence::Answered, Evidence::Sent });
    evidence.clear();
    fixture.ownerLinks.reset();
    fixture.runUntil([&] { return !fixture.losses.empty(); });
    CHECK(evidence == std::vector<Evidence> { Evidence::Closed });
    evidence.clear();
    fixture.sender->test(owner, fixture.world.now);
    fixture.runUntil([&] { return fixture.losses.size() == 2; });
    // The host refuses the link, which is an answer.
    CHECK(evidence == std::vector<Evidence> { Evidence::OpenStarted, Evidence::Answered, Evidence::Closed });
}

// Guards against a link that is given up earlier because it was tested: a write on it would be in doubt for no reason.
TEST_CASE("ForwardLinks, gives a tested link up no earlier than an untested one")
{
    Fixture fixture;
    asio::ip::tcp::acceptor silent(fixture.context, { asio::ip::make_address("127.0.0.1"), 0 });
    fixture.sender->setDaemons({ { owner, { "127.0.0.1", silent.local_endpoint().port() } } });
    REQUIRE(fixture.send(1));
    fixture.context.run_for(20ms);
    fixture.sender->test(owner, fixture.world.now);
    fixture.sender->giveUpOpening(owner);
    fixture.world.now += ForwardLinks::quietLimit;
    fixture.sender->tick(fixture.world.now, 1s);
    fixture.world.now += ForwardLinks::probeLimit - 1ms;
    fixture.sender->tick(fixture.world.now, 1s);
    CHECK(fixture.losses.empty());
    fixture.world.now += 1ms;
    fixture.sender->tick(fixture.world.now, 1s);
    CHECK(fixture.losses == std::vector<bool> { true });
}
