#include "edge/forward_codec.h"

#include "base/log.h"
#include "edge/capnp_text.h"
#include "edge/forward.capnp.h"

#include <capnp/message.h>
#include <capnp/serialize.h>

#include <cstring>

namespace endivetrestle {

namespace {

// Words of the first segment of a message that is built; larger messages get further segments.
constexpr std::size_t firstSegmentWords = 256;

std::string readData(capnp::Data::Reader reader)
{
    return { reinterpret_cast<const char*>(reader.begin()), reader.size() };
}

kj::ArrayPtr<const kj::byte> dataOf(const std::string& text)
{
    return { reinterpret_cast<const kj::byte*>(text.data()), text.size() };
}

void writePosition(wire::LogPosition::Builder builder, const Position& position)
{
    builder.setTerm(position.term);
    builder.setIndex(position.index);
}

Position readPosition(wire::LogPosition::Reader reader) { return { reader.getTerm(), reader.getIndex() }; }

template <typename Enum> std::optional<Enum> readEnum(unsigned value, Enum last)
{
    if (value > static_cast<unsigned>(last))
        return std::nullopt;
    return static_cast<Enum>(value);
}

void write(wire::Statement::Builder builder, const ForwardedStatement& message, Time now)
{
    const auto& work = message.work;
    builder.setNumber(message.number);
    builder.setGroup(textOf(message.group.value));
    builder.setConnection(message.transaction.value_or(0));
    builder.setKind(static_cast<std::uint8_t>(work.statement.kind));
    builder.setId(textOf(work.statement.id));
    builder.setText(textOf(work.statement.text));
    builder.setName(textOf(work.statement.name));
    builder.setArgument(textOf(work.statement.argument));
    if (work.prepared) {
        builder.setPreparedShape(textOf(work.prepared->shape));
        builder.setPreparedWrites(work.prepared->writes);
    }
    auto values = builder.initValues(static_cast<unsigned>(work.session->values.size()));
    unsigned index = 0;
    for (const auto& [name, value] : work.session->values) {
        auto entry = values[index++];
        entry.setName(textOf(name));
        entry.setValue(textOf(value));
    }
    builder.setStart(static_cast<std::uint8_t>(work.start));
    builder.setNeedsPrimary(work.needsPrimary);
    builder.setMaxStalenessUs(work.maxStaleness.count());
    builder.setRemainingUs((work.expiresAt - now).count());
    builder.setObjectiveUs(work.objective.count());
    if (work.lastWrite)
        writePosition(builder.initLastWrite(), *work.lastWrite);
    builder.setPriority(work.priority);
    if (!work.workspace.empty())
        builder.setWorkspace(textOf(work.workspace.value));
}

std::optional<ForwardMessage> read(wire::Statement::Reader reader, Time now)
{
    const auto kind = readEnum(reader.getKind(), StatementKind::Unknown);
    const auto start = readEnum(reader.getStart(), TransactionStart::ReadOnly);
    if (!kind || !start)
        return std::nullopt;
    ForwardedStatement message;
    message.number = reader.getNumber();
    message.group = DatabaseId(stringOf(reader.getGroup()));
    if (reader.getConnection() != 0)
        message.transaction = reader.getConnection();
    auto& work = message.work;
    work.statement.kind = *kind;
    work.statement.id = stringOf(reader.getId());
    work.statement.text = stringOf(reader.getText());
    work.statement.name = stringOf(reader.getName());
    work.statement.argument = stringOf(reader.getArgument());
    if (reader.getPreparedShape().size() > 0)
        work.prepared = PreparedStatement { reader.getPreparedWrites(), stringOf(reader.getPreparedShape()) };
    auto session = std::make_shared<SessionState>();
    for (const auto entry : reader.getValues())
        session->values[stringOf(entry.getName())] = stringOf(entry.getValue());
    work.session = std::move(session);
    work.start = *start;
    work.needsPrimary = reader.getNeedsPrimary();
    work.maxStaleness = Duration(reader.getMaxStalenessUs());
    work.arrivedAt = now;
    work.expiresAt = now + Duration(reader.getRemainingUs());
    work.objective = Duration(reader.getObjectiveUs());
    if (reader.hasLastWrite())
        work.lastWrite = readPosition(reader.getLastWrite());
    work.priority = reader.getPriority();
    work.workspace = WorkspaceId(stringOf(reader.getWorkspace()));
    return message;
}

void write(wire::Outcome::Builder builder, const ForwardedOutcome& message)
{
    const auto& result = message.result;
    builder.setNumber(message.number);
    builder.setDeclined(message.declined);
    builder.setSucceeded(result.answer.succeeded);
    builder.setCode(static_cast<std::uint8_t>(result.answer.code));
    builder.setErrorText(textOf(result.answer.errorText));
    builder.setPayload(dataOf(result.answer.payload));
    builder.setPhase(static_cast<std::uint8_t>(result.answer.phase));
    if (result.answer.position)
        writePosition(builder.initPosition(), *result.answer.position);
    builder.setReason(textOf(result.reason));
    builder.setEndpoint(textOf(result.endpoint));
    builder.setConnection(result.connection.value_or(0));
    builder.setFromEndpoint(result.fromEndpoint);
    builder.setAttempts(message.attempts);
}

std::optional<ForwardMessage> read(wire::Outcome::Reader reader)
{
    const auto code = readEnum(reader.getCode(), ReplyCode::Unknown);
    const auto phase = readEnum(reader.getPhase(), SessionPhase::FailedTransaction);
    if (!code || !phase)
        return std::nullopt;
    ForwardedOutcome message;
    message.number = reader.getNumber();
    message.declined = reader.getDeclined();
    auto& result = message.result;
    result.answer.succeeded = reader.getSucceeded();
    result.answer.code = *code;
    result.answer.errorText = stringOf(reader.getErrorText());
    result.answer.payload = readData(reader.getPayload());
    result.answer.phase = *phase;
    if (reader.hasPosition())
        result.answer.position = readPosition(reader.getPosition());
    result.reason = stringOf(reader.getReason());
    result.endpoint = stringOf(reader.getEndpoint());
    if (reader.getConnection() != 0)
        result.connection = reader.getConnection();
    result.fromEndpoint = reader.getFromEndpoint();
    message.attempts = reader.getAttempts();
    return message;
}

// No value for a shard that no division has, from which a coordinator would keep state.
std::optional<QuotaShard> readShard(std::uint32_t count, std::uint32_t index)
{
    constexpr std::uint32_t mostShards = 1024;
    if (count > mostShards || index >= count)
        return std::nullopt;
    return QuotaShard { count, index };
}

void write(wire::QuotaRequest::Builder builder, const QuotaRequest& message)
{
    builder.setNumber(message.number);
    builder.setDaemon(textOf(message.daemon.value));
    builder.setShards(message.shard.count);
    builder.setShard(message.shard.index);
    builder.setIncarnation(message.incarnation);
    builder.setStampUs(message.stampUs);
    builder.setDaemons(message.daemons);
    auto asks = builder.initAsks(static_cast<unsigned>(message.asks.size()));
    unsigned index = 0;
    for (const auto& ask : message.asks) {
        auto entry = asks[index++];
        entry.setWorkspace(textOf(ask.workspace.value));
        entry.setWaiting(ask.waiting);
        entry.setAhead(ask.ahead);
    }
}

std::optional<ForwardMessage> read(wire::QuotaRequest::Reader reader)
{
    const auto shard = readShard(reader.getShards(), reader.getShard());
    if (!shard)
        return std::nullopt;
    QuotaRequest message;
    message.number = reader.getNumber();
    message.daemon = DaemonId(stringOf(reader.getDaemon()));
    message.shard = *shard;
    message.incarnation = reader.getIncarnation();
    message.stampUs = reader.getStampUs();
    message.daemons = reader.getDaemons();
    for (const auto ask : reader.getAsks())
        message.asks.push_back({ WorkspaceId(stringOf(ask.getWorkspace())), ask.getWaiting(), ask.getAhead() });
    return message;
}

void write(wire::QuotaGrant::Builder builder, const QuotaGrant& message)
{
    builder.setNumber(message.number);
    builder.setShards(message.shard.count);
    builder.setShard(message.shard.index);
    builder.setIncarnation(message.incarnation);
    builder.setStampUs(message.stampUs);
    builder.setActive(message.active);
    builder.setCoordinator(textOf(message.coordinator.value));
    auto tokens = builder.initTokens(static_cast<unsigned>(message.tokens.size()));
    unsigned index = 0;
    for (const auto& answer : message.tokens) {
        auto entry = tokens[index++];
        entry.setWorkspace(textOf(answer.workspace.value));
        entry.setTokens(answer.tokens);
        entry.setEmpty(answer.empty);
    }
}

std::optional<ForwardMessage> read(wire::QuotaGrant::Reader reader)
{
    const auto shard = readShard(reader.getShards(), reader.getShard());
    if (!shard)
        return std::nullopt;
    QuotaGrant message;
    message.number = reader.getNumber();
    message.shard = *shard;
    message.incarnation = reader.getIncarnation();
    message.stampUs = reader.getStampUs();
    message.active = reader.getActive();
    message.coordinator = DaemonId(stringOf(reader.getCoordinator()));
    for (const auto entry : reader.getTokens())
        message.tokens.push_back({ WorkspaceId(stringOf(entry.getWorkspace())), entry.getTokens(), entry.getEmpty() });
    return message;
}

std::optional<ForwardMessage> read(wire::Message::Reader reader, Time now)
{
    switch (reader.which()) {
    case wire::Message::STATEMENT:
        return read(reader.getStatement(), now);
    case wire::Message::OUTCOME:
        return read(reader.getOutcome());
    case wire::Message::END:
        return ForwardedRollback { DatabaseId(stringOf(reader.getEnd().getGroup())), reader.getEnd().getConnection() };
    case wire::Message::ABANDON:
        return ForwardedAbandon { reader.getAbandon() };
    case wire::Message::OWNER_LEAVING:
        return OwnerLeaving {};
    case wire::Message::PROBE:
        return LinkProbe {};
    case wire::Message::PROBE_ANSWER:
        return LinkProbeAnswer {};
    case wire::Message::QUOTA_REQUEST:
        return read(reader.getQuotaRequest());
    case wire::Message::QUOTA_GRANT:
        return read(reader.getQuotaGrant());
    }
    return std::nullopt;
}

// Writes each kind of message into the union.
struct MessageWriter {
    wire::Message::Builder builder;
    Time now;

    void operator()(const ForwardedStatement& message) { write(this->builder.initStatement(), message, this->now); }
    void operator()(const ForwardedOutcome& message) { write(this->builder.initOutcome(), message); }
    void operator()(const ForwardedRollback& message)
    {
        auto end = this->builder.initEnd();
        end.setGroup(textOf(message.group.value));
        end.setConnection(message.transaction);
    }
    void operator()(const ForwardedAbandon& message) { this->builder.setAbandon(message.number); }
    void operator()(const OwnerLeaving&) { this->builder.setOwnerLeaving(); }
    void operator()(const LinkProbe&) { this->builder.setProbe(); }
    void operator()(const LinkProbeAnswer&) { this->builder.setProbeAnswer(); }
    void operator()(const QuotaRequest& message) { write(this->builder.initQuotaRequest(), message); }
    void operator()(const QuotaGrant& message) { write(this->builder.initQuotaGrant(), message); }
};

} // namespace

std::string encodeForward(const ForwardMessage& message, Time now)
{
    capnp::MallocMessageBuilder builder(firstSegmentWords);
    std::visit(MessageWriter { builder.initRoot<wire::Message>(), now }, message);
    const auto words = capnp::messageToFlatArray(builder);
    const auto bytes = words.asBytes();
    return { reinterpret_cast<const char*>(bytes.begin()), bytes.size() };
}

std::optional<ForwardMessage> decodeForward(std::string_view frame, Time now)
{
    // The reader needs aligned words; the frame may begin anywhere in the receive buffer.
    if (frame.empty() || frame.size() % sizeof(capnp::word) != 0)
        return std::nullopt;
    auto words = kj::heapArray<capnp::word>(frame.size() / sizeof(capnp::word));
    std::memcpy(words.begin(), frame.data(), frame.size());
    try {
        capnp::FlatArrayMessageReader message(words);
        return read(message.getRoot<wire::Message>(), now);
    } catch (const kj::Exception& error) {
        logEvent(LogLevel::Warning, "peer_frame_unreadable",
            { { "bytes", frame.size() }, { "error", error.getDescription().cStr() } });
        return std::nullopt;
    }
}

} // namespace endivetrestle
