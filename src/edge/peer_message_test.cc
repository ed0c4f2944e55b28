#include "edge/peer_message.h"

#include <capnp/message.h>
#include <catch2/catch.hpp>

using namespace endivetrestle;
using namespace std::chrono_literals;

TEST_CASE("PeerMessage, keeps every byte of a request and its outcome")
{
    // Guards against a caller's statement, or rows of an endpoint, that are cut off at a zero byte on their way.
    const std::string zero("a\0b", 3);
    Request request;
    request.id = RequestId(zero);
    request.caller = CallerId(zero + "1");
    request.database = DatabaseId(zero + "2");
    request.statement = zero + "3";
    request.transaction = TransactionId(zero + "4");
    capnp::MallocMessageBuilder requestMessage;
    const auto requestBuilder = requestMessage.initRoot<rpc::ForwardRequest>();
    internal::writeRequest(requestBuilder, request, 1s);
    const auto received = internal::readRequest(requestBuilder.asReader(), Time { 100s });
    REQUIRE(received);
    CHECK(received->id == request.id);
    CHECK(received->caller == request.caller);
    CHECK(received->database == request.database);
    CHECK(received->statement == request.statement);
    CHECK(received->transaction == request.transaction);

    Outcome outcome;
    outcome.state = OutcomeState::Completed;
    outcome.rows = zero + "5";
    outcome.servedBy = EndpointId(zero + "6");
    outcome.transaction = TransactionId(zero + "7");
    outcome.detail = zero + "8";
    capnp::MallocMessageBuilder outcomeMessage;
    const auto outcomeBuilder = outcomeMessage.initRoot<rpc::ForwardOutcome>();
    internal::writeOutcome(outcomeBuilder, request.id, outcome);
    const auto result = internal::readOutcome(outcomeBuilder.asReader(), request.id);
    CHECK(result.rows == outcome.rows);
    CHECK(result.servedBy == outcome.servedBy);
    CHECK(result.transaction == outcome.transaction);
    CHECK(result.detail == outcome.detail);
}
