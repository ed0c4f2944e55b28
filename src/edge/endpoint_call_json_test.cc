#include "edge/endpoint_call_json.h"

#include <nlohmann/json.hpp>

#include <catch2/catch.hpp>

using namespace endivetrestle;
using namespace std::chrono_literals;

namespace {

const EndpointStatus status { EndpointId("a\"1\n"), 7, EndpointRole::Fenced, { 6, 18446744073709551615U }, { 5, 2 },
    1500us, 3 };

// Checks that a value survives the conversion, and that no text with a field removed, added or mistyped is accepted.
template <typename Value> void checkStrict(const Value& value, std::size_t optionalFields = 0)
{
    const auto text = toJson(value);
    CAPTURE(text);
    const auto parsed = fromJson<Value>(text);
    REQUIRE(parsed);
    CHECK(*parsed == value);
    const auto document = nlohmann::json::parse(text);
    std::size_t accepted = 0;
    for (const auto& [key, field] : document.items()) {
        CAPTURE(key);
        auto without = document;
        without.erase(key);
        accepted += fromJson<Value>(without.dump()) ? 1 : 0;
        for (const auto& wrong : { nlohmann::json(nullptr), nlohmann::json(-1), nlohmann::json(1.5),
                 nlohmann::json::object(), nlohmann::json::array({ 1 }) }) {
            auto changed = document;
            changed[key] = wrong;
            CHECK_FALSE(fromJson<Value>(changed.dump()));
        }
    }
    CHECK(accepted == optionalFields);
    auto extra = document;
    extra["extra"] = 1;
    CHECK_FALSE(fromJson<Value>(extra.dump()));
    CHECK_FALSE(fromJson<Value>(text.substr(0, text.size() - 1)));
    CHECK_FALSE(fromJson<Value>(text + "x"));
    CHECK_FALSE(fromJson<Value>("[]"));
    CHECK_FALSE(fromJson<Value>(""));
}

} // namespace

// Guards against an answer whose missing fields are read as zero or as success.
TEST_CASE("EndpointCallJson, rejects a text when a field is missing, added or of another type")
{
    ExecuteCall call { 4, RequestId("r1"), ExecuteKind::Write, "put k \"v\"\t\\", 3, { 2, 9 } };
    checkStrict(call, 2);
    checkStrict(ExecuteCall { 1, {}, ExecuteKind::Rollback, "", std::nullopt, {} });
    checkStrict(
        ExecuteAnswer { 4, RequestId("r1"), ErrorCode::WrongTerm, R"(["é"])", { 2, 9 }, true, status, "detail" }, 4);
    checkStrict(CallRefusal { ErrorCode::ConnectionLimit, "full" }, 1);
    checkStrict(Tagged<EmptyCall> { "d/1", {} });
    checkStrict(Tagged<OpenCall> { "d/1", { true } }, 1);
    checkStrict(Tagged<WatchCall> { "d/1", { { 1, 2 }, 5ms } });
    checkStrict(Tagged<FenceCall> { "d/1", { 3, DaemonId("d") } });
    checkStrict(Tagged<ResolveCall> { "d/1", { RequestId("r"), 3 } });
    checkStrict(Tagged<EndpointStatus> { "d/1", status });
    checkStrict(Tagged<FenceAnswer> { "d/1", { true, status } });
    checkStrict(Tagged<ResolveAnswer> { "d/1", { ErrorCode::NotPrimary, true, "[1]", { 1, 2 }, status } }, 2);
}

// Guards against statuses with a wrong number of items, an unknown role or an unknown error code.
TEST_CASE("EndpointCallJson, rejects a status when an item is out of range")
{
    const std::string good = R"({"n":"t","s":["a",1,0,1,1,1,1,0,0]})";
    CHECK(fromJson<Tagged<EndpointStatus>>(good));
    for (const auto* items : { R"(["a",1,3,1,1,1,1,0,0])", R"(["a",1,0,1,1,1,1,0])", R"(["a",1,0,1,1,1,1,-5,0])",
             R"(["a",1,0,1,1,1,1,0,99999999999])", R"(["a",1,0,1,1,1,1,9999999999999999999,0])",
             R"([1,1,0,1,1,1,1,0,0])", R"(["a",1,0,"1",1,1,1,0,0])" }) {
        CAPTURE(items);
        CHECK_FALSE(fromJson<Tagged<EndpointStatus>>(R"({"n":"t","s":)" + std::string(items) + "}"));
    }
    CHECK_FALSE(fromJson<CallRefusal>(R"({"c":"no_such_code","d":""})"));
    CHECK_FALSE(fromJson<CallRefusal>(R"({"c":"none","d":""})"));
}
