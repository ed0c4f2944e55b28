#pragma once

#include "edge/peer.capnp.h"
#include "request/request.h"

namespace endivetrestle::internal {

// Fills a message from a request. The deadline travels as the time that is left, since clocks are not compared.
void writeRequest(rpc::ForwardRequest::Builder builder, const Request& request, Duration remaining);

// Reads a request; a kind or priority out of range gives no value.
std::optional<Request> readRequest(rpc::ForwardRequest::Reader reader, Time now);

void writeOutcome(rpc::ForwardOutcome::Builder builder, const RequestId& id, const Outcome& outcome);

// Reads an outcome; a state out of range or an answer for another request gives Unknown with AnswerMismatch.
Outcome readOutcome(rpc::ForwardOutcome::Reader reader, const RequestId& expectedId);

// Hexadecimal HMAC-SHA-256 of "daemon:nonce" under the fleet key.
std::string loginMac(const std::string& fleetKey, const std::string& daemon, const std::string& nonce);

} // namespace endivetrestle::internal
