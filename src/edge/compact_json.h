#pragma once

#include "request/endpoint_call.h"

#include <nlohmann/json.hpp>

#include <array>
#include <charconv>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace endivetrestle::internal {

// Appends JSON text without an intermediate document.
class CompactWriter {
public:
    CompactWriter() { this->text.reserve(160); }

    CompactWriter& key(std::string_view name)
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
class CompactReader {
public:
    explicit CompactReader(std::string_view text)
        : value(nlohmann::json::parse(text.begin(), text.end(), nullptr, false))
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
    nlohmann::json* find(const char* key, bool required)
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

    std::string toString(nlohmann::json* field)
    {
        if (!field)
            return {};
        this->require(field->is_string());
        return field->is_string() ? std::move(field->get_ref<std::string&>()) : std::string();
    }

    std::uint64_t toNumber(const nlohmann::json* field)
    {
        if (!field)
            return 0;
        this->require(field->is_number_unsigned());
        return field->is_number_unsigned() ? field->get<std::uint64_t>() : 0;
    }

    bool toBoolean(const nlohmann::json* field)
    {
        if (!field)
            return false;
        this->require(field->is_boolean());
        return field->is_boolean() && field->get<bool>();
    }

    Duration toDuration(const nlohmann::json* field)
    {
        const auto microseconds = this->toNumber(field);
        this->require(std::in_range<std::int64_t>(microseconds));
        return Duration(static_cast<std::int64_t>(microseconds));
    }

    Position toPosition(const nlohmann::json* field)
    {
        if (!field)
            return {};
        this->require(field->is_array() && field->size() == 2);
        if (!this->valid)
            return {};
        return { this->toNumber(&(*field)[0]), this->toNumber(&(*field)[1]) };
    }

    nlohmann::json value;
    bool valid;
    std::size_t found = 0;
};

} // namespace endivetrestle::internal
