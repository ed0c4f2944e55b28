#include "edge/endpoint_call_json.h"

#include "edge/compact_json.h"

#include <algorithm>
#include <array>
#include <utility>

namespace endivetrestle {

namespace {

using Reader = internal::CompactReader;
using Writer = internal::CompactWriter;

constexpr std::array<std::string_view, 6> kindNames = { "read", "write", "begin", "statement", "commit", "rollback" };

ExecuteKind readKind(Reader& reader)
{
    const auto name = reader.string("k");
    const auto* const found = std::find(kindNames.begin(), kindNames.end(), name);
    reader.require(found != kindNames.end());
    return static_cast<ExecuteKind>(found - kindNames.begin());
}

template <typename Value> Writer startTagged(const Tagged<Value>& call)
{
    Writer writer;
    writer.key("n").string(call.tag);
    return writer;
}

} // namespace

std::string toJson(const ExecuteCall& call)
{
    Writer writer;
    writer.key("n").number(call.callNumber);
    writer.key("r").string(call.requestId.value);
    writer.key("k").string(kindNames[static_cast<std::size_t>(call.kind)]);
    writer.key("q").string(call.statement);
    if (call.expectedTerm)
        writer.key("t").number(*call.expectedTerm);
    if (call.minPosition != Position {})
        writer.key("m").position(call.minPosition);
    return writer.finish();
}

template <> std::optional<ExecuteCall> fromJson(std::string_view text)
{
    Reader reader(text);
    ExecuteCall call;
    call.callNumber = reader.number("n");
    call.requestId.value = reader.string("r");
    call.kind = readKind(reader);
    call.statement = reader.string("q");
    call.expectedTerm = reader.optionalNumber("t");
    call.minPosition = reader.optionalPosition("m");
    return reader.finish(std::move(call));
}

std::string toJson(const ExecuteAnswer& answer)
{
    Writer writer;
    writer.key("n").number(answer.callNumber);
    writer.key("r").string(answer.requestId.value);
    if (answer.code != ErrorCode::None)
        writer.key("c").string(errorName(answer.code));
    if (!answer.rows.empty())
        writer.key("v").string(answer.rows);
    writer.key("p").position(answer.position);
    if (answer.replayed)
        writer.key("y").boolean(true);
    writer.key("s").status(answer.status);
    if (!answer.detail.empty())
        writer.key("d").string(answer.detail);
    return writer.finish();
}

template <> std::optional<ExecuteAnswer> fromJson(std::string_view text)
{
    Reader reader(text);
    ExecuteAnswer answer;
    answer.callNumber = reader.number("n");
    answer.requestId.value = reader.string("r");
    answer.code = reader.optionalCode("c");
    answer.rows = reader.optionalString("v");
    answer.position = reader.position("p");
    answer.replayed = reader.optionalBoolean("y");
    answer.status = reader.status("s");
    answer.detail = reader.optionalString("d");
    return reader.finish(std::move(answer));
}

std::string toJson(const CallRefusal& refusal)
{
    Writer writer;
    writer.key("c").string(errorName(refusal.code));
    writer.key("d").string(refusal.detail);
    return writer.finish();
}

template <> std::optional<CallRefusal> fromJson(std::string_view text)
{
    Reader reader(text);
    CallRefusal refusal;
    refusal.code = reader.optionalCode("c");
    reader.require(refusal.code != ErrorCode::None);
    refusal.detail = reader.optionalString("d");
    return reader.finish(std::move(refusal));
}

std::string toJson(const Tagged<EmptyCall>& call) { return startTagged(call).finish(); }

template <> std::optional<Tagged<EmptyCall>> fromJson(std::string_view text)
{
    Reader reader(text);
    return reader.finish(Tagged<EmptyCall> { reader.string("n"), {} });
}

std::string toJson(const Tagged<OpenCall>& call)
{
    auto writer = startTagged(call);
    if (call.value.control)
        writer.key("control").boolean(true);
    return writer.finish();
}

template <> std::optional<Tagged<OpenCall>> fromJson(std::string_view text)
{
    Reader reader(text);
    Tagged<OpenCall> call { reader.string("n"), {} };
    call.value.control = reader.optionalBoolean("control");
    return reader.finish(std::move(call));
}

std::string toJson(const Tagged<WatchCall>& call)
{
    auto writer = startTagged(call);
    writer.key("after").position(call.value.after);
    writer.key("waitUs").number(call.value.wait.count());
    return writer.finish();
}

template <> std::optional<Tagged<WatchCall>> fromJson(std::string_view text)
{
    Reader reader(text);
    Tagged<WatchCall> call { reader.string("n"), {} };
    call.value.after = reader.position("after");
    call.value.wait = reader.duration("waitUs");
    return reader.finish(std::move(call));
}

std::string toJson(const Tagged<FenceCall>& call)
{
    auto writer = startTagged(call);
    writer.key("term").number(call.value.term);
    writer.key("claimant").string(call.value.claimant.value);
    return writer.finish();
}

template <> std::optional<Tagged<FenceCall>> fromJson(std::string_view text)
{
    Reader reader(text);
    Tagged<FenceCall> call { reader.string("n"), {} };
    call.value.term = reader.number("term");
    call.value.claimant.value = reader.string("claimant");
    return reader.finish(std::move(call));
}

std::string toJson(const Tagged<ResolveCall>& call)
{
    auto writer = startTagged(call);
    writer.key("r").string(call.value.requestId.value);
    writer.key("t").number(call.value.expectedTerm);
    return writer.finish();
}

template <> std::optional<Tagged<ResolveCall>> fromJson(std::string_view text)
{
    Reader reader(text);
    Tagged<ResolveCall> call { reader.string("n"), {} };
    call.value.requestId.value = reader.string("r");
    call.value.expectedTerm = reader.number("t");
    return reader.finish(std::move(call));
}

std::string toJson(const Tagged<EndpointStatus>& answer)
{
    auto writer = startTagged(answer);
    writer.key("s").status(answer.value);
    return writer.finish();
}

template <> std::optional<Tagged<EndpointStatus>> fromJson(std::string_view text)
{
    Reader reader(text);
    Tagged<EndpointStatus> answer { reader.string("n"), {} };
    answer.value = reader.status("s");
    return reader.finish(std::move(answer));
}

std::string toJson(const Tagged<FenceAnswer>& answer)
{
    auto writer = startTagged(answer);
    writer.key("granted").boolean(answer.value.granted);
    writer.key("s").status(answer.value.status);
    return writer.finish();
}

template <> std::optional<Tagged<FenceAnswer>> fromJson(std::string_view text)
{
    Reader reader(text);
    Tagged<FenceAnswer> answer { reader.string("n"), {} };
    answer.value.granted = reader.boolean("granted");
    answer.value.status = reader.status("s");
    return reader.finish(std::move(answer));
}

std::string toJson(const Tagged<ResolveAnswer>& answer)
{
    auto writer = startTagged(answer);
    if (answer.value.code != ErrorCode::None)
        writer.key("c").string(errorName(answer.value.code));
    writer.key("ran").boolean(answer.value.ran);
    if (!answer.value.rows.empty())
        writer.key("v").string(answer.value.rows);
    writer.key("p").position(answer.value.position);
    writer.key("s").status(answer.value.status);
    return writer.finish();
}

template <> std::optional<Tagged<ResolveAnswer>> fromJson(std::string_view text)
{
    Reader reader(text);
    Tagged<ResolveAnswer> answer { reader.string("n"), {} };
    answer.value.code = reader.optionalCode("c");
    answer.value.ran = reader.boolean("ran");
    answer.value.rows = reader.optionalString("v");
    answer.value.position = reader.position("p");
    answer.value.status = reader.status("s");
    return reader.finish(std::move(answer));
}

} // namespace endivetrestle
