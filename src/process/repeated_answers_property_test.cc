// What clients get, and what endpoints run, when endpoints send answers a second time.
#include "process/repeated_answers_simulation_test.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace endivetrestle;
using namespace endivetrestle::testing;

namespace {

// Endpoints that refuse and fail some statements, lose some answers and repeat none.
EndpointBehaviour faulty()
{
    EndpointBehaviour behaviour;
    behaviour.errors = 6;
    behaviour.failedSessionCommands = 6;
    behaviour.lost = 1;
    return behaviour;
}

EndpointBehaviour repeatingStatements()
{
    auto behaviour = faulty();
    behaviour.repeatedForwarded = 10;
    return behaviour;
}

EndpointBehaviour repeatingCommands()
{
    auto behaviour = faulty();
    behaviour.repeatedOwn = 10;
    return behaviour;
}

EndpointBehaviour repeatingErrors()
{
    auto behaviour = faulty();
    behaviour.repeatedErrors = 30;
    return behaviour;
}

EndpointBehaviour failingSessionCommands()
{
    EndpointBehaviour behaviour;
    behaviour.failedSessionCommands = 15;
    behaviour.repeatedOwn = 10;
    behaviour.repeatedErrors = 30;
    return behaviour;
}

EndpointBehaviour repeatingAll()
{
    auto behaviour = faulty();
    behaviour.repeatedForwarded = 10;
    behaviour.repeatedOwn = 10;
    behaviour.repeatedErrors = 30;
    return behaviour;
}

// Seed of one simulation. It is not shrunk, because a smaller seed is not a simpler simulation.
rc::Gen<std::uint64_t> genSeed()
{
    return rc::gen::noShrink(rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<std::uint64_t>()));
}

// Results that clients get in a simulation at least.
constexpr std::size_t minResults = 50;

// Checks in many simulations that the rule is kept.
void checkRule(Rule rule, const EndpointBehaviour& behaviour)
{
    const bool kept = rc::check(ruleNames.at(static_cast<std::size_t>(rule)), [&] {
        const auto seed = *genSeed();
        RepeatedAnswersSimulation simulation(seed, behaviour);
        simulation.run();
        const auto& results = simulation.results();
        RC_LOG() << "simulation seed " << seed << ": " << results.count(rule) << " violations in "
                 << results.resultCount() << " statements; " << results.example(rule) << std::endl;
        RC_ASSERT(results.count(rule) == 0U);
        RC_ASSERT(simulation.stuckSessions() == 0U);
        // A scheduler that refuses everything breaks no rule.
        RC_ASSERT(results.resultCount() > minResults);
    });
    CHECK(kept);
}

} // namespace

// Guards against a client that gets the rows or the signature of another statement.
TEST_CASE("GroupScheduler, passes no answer on to another statement when endpoints answer statements twice")
{
    checkRule(Rule::Mixed, repeatingStatements());
}

// Guards against a client that gets the rows or the signature of another statement.
TEST_CASE("GroupScheduler, passes no answer on to another statement when endpoints answer the proxy's commands twice")
{
    checkRule(Rule::Mixed, repeatingCommands());
}

// Guards against a client that gets the rows or the signature of another statement.
TEST_CASE("GroupScheduler, passes no answer on to another statement when endpoints send errors twice")
{
    checkRule(Rule::Mixed, repeatingErrors());
}

// Guards against a client that gets the rows or the signature of another statement.
TEST_CASE("GroupScheduler, passes no answer on to another statement when session commands fail and are answered twice")
{
    checkRule(Rule::Mixed, failingSessionCommands());
}

// Guards against a client that gets the rows or the signature of another statement.
TEST_CASE("GroupScheduler, passes no answer on to another statement when endpoints answer twice")
{
    checkRule(Rule::Mixed, repeatingAll());
}

// Guards against a statement that runs in another transaction, with other session values or in another shape.
TEST_CASE("GroupScheduler, runs statements with their session's state and in their transaction when endpoints answer "
          "statements twice")
{
    checkRule(Rule::Pinned, repeatingStatements());
}

// Guards against a statement that runs in another transaction, with other session values or in another shape.
TEST_CASE("GroupScheduler, runs statements with their session's state and in their transaction when endpoints answer "
          "the proxy's commands twice")
{
    checkRule(Rule::Pinned, repeatingCommands());
}

// Guards against a statement that runs in another transaction, with other session values or in another shape.
TEST_CASE("GroupScheduler, runs statements with their session's state and in their transaction when endpoints send "
          "errors twice")
{
    checkRule(Rule::Pinned, repeatingErrors());
}

// Guards against a statement that runs in another transaction, with other session values or in another shape.
TEST_CASE("GroupScheduler, runs statements with their session's state and in their transaction when session commands "
          "fail and are answered twice")
{
    checkRule(Rule::Pinned, failingSessionCommands());
}

// Guards against a statement that runs in another transaction, with other session values or in another shape.
TEST_CASE(
    "GroupScheduler, runs statements with their session's state and in their transaction when endpoints answer twice")
{
    checkRule(Rule::Pinned, repeatingAll());
}

// Guards against a transaction of which a part is committed although its client has not asked for it.
TEST_CASE("GroupScheduler, commits only what clients have asked for when endpoints answer statements twice")
{
    checkRule(Rule::Unasked, repeatingStatements());
}

// Guards against a transaction of which a part is committed although its client has not asked for it.
TEST_CASE("GroupScheduler, commits only what clients have asked for when endpoints answer the proxy's commands twice")
{
    checkRule(Rule::Unasked, repeatingCommands());
}

// Guards against a transaction of which a part is committed although its client has not asked for it.
TEST_CASE("GroupScheduler, commits only what clients have asked for when endpoints send errors twice")
{
    checkRule(Rule::Unasked, repeatingErrors());
}

// Guards against a transaction of which a part is committed although its client has not asked for it.
TEST_CASE("GroupScheduler, commits only what clients have asked for when session commands fail and are answered twice")
{
    checkRule(Rule::Unasked, failingSessionCommands());
}

// Guards against a transaction of which a part is committed although its client has not asked for it.
TEST_CASE("GroupScheduler, commits only what clients have asked for when endpoints answer twice")
{
    checkRule(Rule::Unasked, repeatingAll());
}

// Guards against a write that is sent again although it has run.
TEST_CASE("GroupScheduler, lets no write take effect twice when endpoints answer statements twice")
{
    checkRule(Rule::Twice, repeatingStatements());
}

// Guards against a write that is sent again although it has run.
TEST_CASE("GroupScheduler, lets no write take effect twice when endpoints answer the proxy's commands twice")
{
    checkRule(Rule::Twice, repeatingCommands());
}

// Guards against a write that is sent again although it has run.
TEST_CASE("GroupScheduler, lets no write take effect twice when endpoints send errors twice")
{
    checkRule(Rule::Twice, repeatingErrors());
}

// Guards against a write that is sent again although it has run.
TEST_CASE("GroupScheduler, lets no write take effect twice when session commands fail and are answered twice")
{
    checkRule(Rule::Twice, failingSessionCommands());
}

// Guards against a write that is sent again although it has run.
TEST_CASE("GroupScheduler, lets no write take effect twice when endpoints answer twice")
{
    checkRule(Rule::Twice, repeatingAll());
}

// Guards against a client that repeats a write because it was told that nothing of the first one is kept.
TEST_CASE("GroupScheduler, keeps nothing of what it refuses when endpoints answer statements twice")
{
    checkRule(Rule::Refused, repeatingStatements());
}

// Guards against a client that repeats a write because it was told that nothing of the first one is kept.
TEST_CASE("GroupScheduler, keeps nothing of what it refuses when endpoints answer the proxy's commands twice")
{
    checkRule(Rule::Refused, repeatingCommands());
}

// Guards against a client that repeats a write because it was told that nothing of the first one is kept.
TEST_CASE("GroupScheduler, keeps nothing of what it refuses when endpoints send errors twice")
{
    checkRule(Rule::Refused, repeatingErrors());
}

// Guards against a client that repeats a write because it was told that nothing of the first one is kept.
TEST_CASE("GroupScheduler, keeps nothing of what it refuses when session commands fail and are answered twice")
{
    checkRule(Rule::Refused, failingSessionCommands());
}

// Guards against a client that repeats a write because it was told that nothing of the first one is kept.
TEST_CASE("GroupScheduler, keeps nothing of what it refuses when endpoints answer twice")
{
    checkRule(Rule::Refused, repeatingAll());
}

// Guards against an old position that counts as covering newer commits.
TEST_CASE("GroupScheduler, reads every commit that a read must see when endpoints answer statements twice")
{
    checkRule(Rule::Stale, repeatingStatements());
}

// Guards against an old position that counts as covering newer commits.
TEST_CASE("GroupScheduler, reads every commit that a read must see when endpoints answer the proxy's commands twice")
{
    checkRule(Rule::Stale, repeatingCommands());
}

// Guards against an old position that counts as covering newer commits.
TEST_CASE("GroupScheduler, reads every commit that a read must see when endpoints send errors twice")
{
    checkRule(Rule::Stale, repeatingErrors());
}

// Guards against an old position that counts as covering newer commits.
TEST_CASE("GroupScheduler, reads every commit that a read must see when session commands fail and are answered twice")
{
    checkRule(Rule::Stale, failingSessionCommands());
}

// Guards against an old position that counts as covering newer commits.
TEST_CASE("GroupScheduler, reads every commit that a read must see when endpoints answer twice")
{
    checkRule(Rule::Stale, repeatingAll());
}

// Guards against a primary that is judged by the answer to another command.
TEST_CASE("GroupScheduler, takes no other answer for that of a control command when endpoints answer statements twice")
{
    checkRule(Rule::Status, repeatingStatements());
}

// Guards against a primary that is judged by the answer to another command.
TEST_CASE("GroupScheduler, takes no other answer for that of a control command when endpoints answer the proxy's "
          "commands twice")
{
    checkRule(Rule::Status, repeatingCommands());
}

// Guards against a primary that is judged by the answer to another command.
TEST_CASE("GroupScheduler, takes no other answer for that of a control command when endpoints send errors twice")
{
    checkRule(Rule::Status, repeatingErrors());
}

// Guards against a primary that is judged by the answer to another command.
TEST_CASE("GroupScheduler, takes no other answer for that of a control command when session commands fail and are "
          "answered twice")
{
    checkRule(Rule::Status, failingSessionCommands());
}

// Guards against a primary that is judged by the answer to another command.
TEST_CASE("GroupScheduler, takes no other answer for that of a control command when endpoints answer twice")
{
    checkRule(Rule::Status, repeatingAll());
}

// Guards against a simulation that breaks the rules by itself.
TEST_CASE("GroupScheduler, keeps all rules when endpoints fail but answer once")
{
    const bool kept = rc::check("control", [] {
        const auto seed = *genSeed();
        RepeatedAnswersSimulation simulation(seed, faulty());
        simulation.run();
        const auto& results = simulation.results();
        RC_LOG() << "simulation seed " << seed << std::endl;
        for (std::size_t rule = 0; rule < ruleCount; ++rule)
            RC_ASSERT(results.example(static_cast<Rule>(rule)) == std::string());
        RC_ASSERT(simulation.stuckSessions() == 0U);
        RC_ASSERT(results.resultCount() > 100U);
    });
    CHECK(kept);
}

// Guards against connections that are closed so often that clients are not served any more.
TEST_CASE("GroupScheduler, serves nine reads in ten when endpoints send a tenth of their answers twice")
{
    constexpr std::size_t requiredPercent = 90;
    EndpointBehaviour behaviour;
    behaviour.repeatedForwarded = 10;
    behaviour.repeatedOwn = 10;
    behaviour.repeatedErrors = 10;
    const bool served = rc::check("liveness", [&] {
        const auto seed = *genSeed();
        RepeatedAnswersSimulation simulation(seed, behaviour);
        simulation.run();
        RC_LOG() << "simulation seed " << seed << ": " << simulation.successfulReads() << " of "
                 << simulation.repeatableReads() << " reads" << std::endl;
        RC_ASSERT(simulation.repeatableReads() > 100U);
        RC_ASSERT(simulation.successfulReads() * 100 >= simulation.repeatableReads() * requiredPercent);
        RC_ASSERT(simulation.stuckSessions() == 0U);
    });
    CHECK(served);
}
