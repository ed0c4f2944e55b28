#include "edge/endpoint_call_json.h"

#include <nlohmann/json.hpp>

#include <array>
#include <charconv>
#include <utility>

namespace endivetrestle {

namespace {

using Json = nlohmann::json;

// Appends JSON text without an intermediate document.
class Writer {
public:
    Writer() { this->text.reserve(160); }

    Writer& key(std::string_view name)
    {
        this->text += this->text.empty() ? "{\"" : ",\"";
        this->text += name;
        this->text += "\":";
        return *this;
    }

    void string(std::string_view value)
    {
        this->text += '"';
        for (const char c : value)
            this->character(c);
        this->text += '"';
    }

    template <typename Number> void number(Number value)
    {
        std::array<char, 24> digits {};
        const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), value).ptr;
        this->text.append(digits.data(), end);
    }

    void boolean(bool value) { this->text += value ? "true" : "false"; }

    void position(const Position& value)
    {
        this->text += '[';
        this->number(value.term);
        this->text += ',';
        this->number(value.index);
        this->text += ']';
    }

    void status(const EndpointStatus& value)
    {
        this->text += '[';
        this->string(value.endpoint.value);
        for (const auto number : { value.term, static_cast<std::uint64_t>(value.role), value.lastLog.term,
                 value.lastLog.index, value.applied.term, value.applied.index }) {
            this->text += ',';
            this->number(number);
        }
        this->text += ',';
        this->number(value.primaryContactAge.count());
        this->text += ',';
        this->number(value.busySlots);
        this->text += ']';
    }

    std::string finish()
    {
        this->text += this->text.empty() ? "{}" : "}";
        return std::move(this->text);
    }

private:
    void character(char c)
    {
        if (c == '"' || c == '\\') {
            this->text += '\\';
            this->text += c;
        } else if (static_cast<unsigned char>(c) < 0x20) {
            constexpr std::string_view hex = "0123456789abcdef";
            this->text += "\\u00";
            this->text += hex[static_cast<unsigned char>(c) >> 4U];
            this->text += hex[static_cast<unsigned char>(c) & 15U];
        } else {
            this->text += c;
        }
    }

    std::string text;
};

// Reads the fields of one object and remembers whether all of them were valid.
class Reader {
public:
    explicit Reader(std::string_view text)
        : value(Json::parse(text.begin(), text.end(), nullptr, false))
        , valid(this->value.is_object())
    {
    }

    std::string string(const char* key) { return this->toString(this->find(key, true)); }
    std::string optionalString(const char* key) { return this->toString(this->find(key, false)); }
    std::uint64_t number(const char* key) { return this->toNumber(this->find(key, true)); }

    std::optional<std::uint64_t> optionalNumber(const char* key)
    {
        auto* field = this->find(key, false);
        return field ? std::optional(this->toNumber(field)) : std::nullopt;
    }

    Duration duration(const char* key) { return this->toDuration(this->find(key, true)); }

    bool boolean(const char* key) { return this->toBoolean(this->find(key, true)); }
    bool optionalBoolean(const char* key) { return this->toBoolean(this->find(key, false)); }

    Position position(const char* key) { return this->toPosition(this->find(key, true)); }
    Position optionalPosition(const char* key) { return this->toPosition(this->find(key, false)); }

    ErrorCode optionalCode(const char* key)
    {
        auto* field = this->find(key, false);
        if (!field)
            return ErrorCode::None;
        const auto name = this->toString(field);
        const auto code = errorFromName(name);
        this->require(errorName(code) == name);
        return code;
    }

    EndpointStatus status(const char* key)
    {
        auto* field = this->find(key, true);
        EndpointStatus result;
        this->require(field && field->is_array() && field->size() == 9);
        if (!this->valid)
            return result;
        auto& items = *field;
        result.endpoint.value = this->toString(&items[0]);
        result.term = this->toNumber(&items[1]);
        const auto role = this->toNumber(&items[2]);
        this->require(role <= static_cast<std::uint64_t>(EndpointRole::Fenced));
        result.role = static_cast<EndpointRole>(role);
        result.lastLog = { this->toNumber(&items[3]), this->toNumber(&items[4]) };
        result.applied = { this->toNumber(&items[5]), this->toNumber(&items[6]) };
        result.primaryContactAge = this->toDuration(&items[7]);
        const auto slots = this->toNumber(&items[8]);
        this->require(slots <= INT32_MAX);
        result.busySlots = static_cast<int>(slots);
        return result;
    }

    // Marks the text as invalid unless the condition holds.
    void require(bool condition) { this->valid = this->valid && condition; }

    // The result, if every field was valid and the text has no other fields.
    template <typename Value> std::optional<Value> finish(Value result)
    {
        this->require(this->valid && this->found == this->value.size());
        return this->valid ? std::optional<Value>(std::move(result)) : std::nullopt;
    }

private:
    Json* find(const char* key, bool required)
    {
        if (!this->valid)
            return nullptr;
        const auto field = this->value.find(key);
        if (field == this->value.end()) {
            this->require(!required);
            return nullptr;
        }
        ++this->found;
        return &*field;
    }

    std::string toString(Json* field)
    {
        if (!field)
            return {};
        this->require(field->is_string());
        return field->is_string() ? std::move(field->get_ref<std::string&>()) : std::string();
    }

    std::uint64_t toNumber(const Json* field)
    {
        if (!field)
            return 0;
        this->require(field->is_number_unsigned());
        return field->is_number_unsigned() ? field->get<std::uint64_t>() : 0;
    }

    bool toBoolean(const Json* field)
    {
        if (!field)
            return false;
        this->require(field->is_boolean());
        return field->is_boolean() && field->get<bool>();
    }

    Duration toDuration(const Json* field)
    {
        const auto microseconds = this->toNumber(field);
        this->require(std::in_range<std::int64_t>(microseconds));
        return Duration(static_cast<std::int64_t>(microseconds));
    }

    Position toPosition(const Json* field)
    {
        if (!field)
            return {};
        this->require(field->is_array() && field->size() == 2);
        if (!this->valid)
            return {};
        return { this->toNumber(&(*field)[0]), this->toNumber(&(*field)[1]) };
    }

    Json value;
    bool valid;
    std::size_t found = 0;
};

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
