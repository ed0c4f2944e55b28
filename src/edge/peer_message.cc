#include "edge/peer_message.h"

#include "edge/capnp_text.h"

#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <array>

namespace endivetrestle::internal {

namespace {

constexpr auto lastKind = static_cast<unsigned>(RequestKind::Resolve);
constexpr auto lastPriority = static_cast<unsigned>(Priority::Glance);
constexpr auto lastState = static_cast<unsigned>(OutcomeState::Unknown);

void writePosition(rpc::Position::Builder builder, const Position& position)
{
    builder.setTerm(position.term);
    builder.setIndex(position.index);
}

Position readPosition(rpc::Position::Reader reader) { return { reader.getTerm(), reader.getIndex() }; }

} // namespace

void writeRequest(rpc::ForwardRequest::Builder builder, const Request& request, Duration remaining)
{
    builder.setId(textOf(request.id.value));
    builder.setCaller(textOf(request.caller.value));
    builder.setDatabase(textOf(request.database.value));
    builder.setKind(static_cast<std::uint8_t>(request.kind));
    builder.setPriority(static_cast<std::uint8_t>(request.priority));
    builder.setRepeatable(request.repeatable);
    builder.setStatement(textOf(request.statement));
    builder.setMaxAgeUs(request.maxAge ? request.maxAge->count() : -1);
    writePosition(builder.initMinPosition(), request.minPosition);
    builder.setRequiresPrimary(request.requiresPrimary);
    builder.setRemainingUs(remaining.count());
    builder.setTransaction(textOf(request.transaction.value));
}

std::optional<Request> readRequest(rpc::ForwardRequest::Reader reader, Time now)
{
    if (reader.getKind() > lastKind || reader.getPriority() > lastPriority)
        return std::nullopt;
    Request request;
    request.id = RequestId(stringOf(reader.getId()));
    request.caller = CallerId(stringOf(reader.getCaller()));
    request.database = DatabaseId(stringOf(reader.getDatabase()));
    request.kind = static_cast<RequestKind>(reader.getKind());
    request.priority = static_cast<Priority>(reader.getPriority());
    request.repeatable = reader.getRepeatable();
    request.statement = stringOf(reader.getStatement());
    if (reader.getMaxAgeUs() >= 0)
        request.maxAge = Duration(reader.getMaxAgeUs());
    request.minPosition = readPosition(reader.getMinPosition());
    request.requiresPrimary = reader.getRequiresPrimary();
    request.deadline = now + Duration(reader.getRemainingUs());
    request.transaction = TransactionId(stringOf(reader.getTransaction()));
    return request;
}

void writeOutcome(rpc::ForwardOutcome::Builder builder, const RequestId& id, const Outcome& outcome)
{
    builder.setId(textOf(id.value));
    builder.setState(static_cast<std::uint8_t>(outcome.state));
    const auto code = static_cast<ErrorCode>(outcome.code.value());
    builder.setCode(textOf(code == ErrorCode::None ? std::string() : std::string(errorName(code))));
    builder.setRows(textOf(outcome.rows));
    writePosition(builder.initPosition(), outcome.position);
    builder.setServedBy(textOf(outcome.servedBy.value));
    builder.setServedByReplica(outcome.servedByReplica);
    builder.setTransaction(textOf(outcome.transaction.value));
    builder.setRetryAfterUs(outcome.retryAfter.count());
    builder.setDetail(textOf(outcome.detail));
}

Outcome readOutcome(rpc::ForwardOutcome::Reader reader, const RequestId& expectedId)
{
    if (reader.getState() > lastState || stringOf(reader.getId()) != expectedId.value)
        return unknownOutcome(ErrorCode::AnswerMismatch, "the owner's answer is for another request");
    Outcome outcome;
    outcome.state = static_cast<OutcomeState>(reader.getState());
    const auto code = stringOf(reader.getCode());
    if (!code.empty())
        outcome.code = errorFromName(code);
    outcome.rows = stringOf(reader.getRows());
    outcome.position = readPosition(reader.getPosition());
    outcome.servedBy = EndpointId(stringOf(reader.getServedBy()));
    outcome.servedByReplica = reader.getServedByReplica();
    outcome.transaction = TransactionId(stringOf(reader.getTransaction()));
    outcome.retryAfter = Duration(reader.getRetryAfterUs());
    outcome.detail = stringOf(reader.getDetail());
    return outcome;
}

std::string loginMac(const std::string& fleetKey, const std::string& daemon, const std::string& nonce)
{
    const std::string message = daemon + ":" + nonce;
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest {};
    unsigned length = 0;
    HMAC(EVP_sha256(), fleetKey.data(), static_cast<int>(fleetKey.size()),
        reinterpret_cast<const unsigned char*>(message.data()), message.size(), digest.data(), &length);
    static constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    for (unsigned i = 0; i < length; ++i) {
        text += digits[digest[i] >> 4U];
        text += digits[digest[i] & 15U];
    }
    return text;
}

} // namespace endivetrestle::internal
