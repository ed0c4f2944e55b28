#include "process/store_contact.h"

#include <catch2/catch.hpp>

using namespace endivetrestle;
using namespace std::chrono_literals;

namespace {

// A fake store that answers each call at once, as the test says.
class AnsweringStore : public TableStore {
public:
    void readAll(const std::string&, Callback callback) override { callback(this->next); }
    void change(const StoreChange&, Callback callback) override { callback(this->next); }
    void watch(const std::string&, StoreVersion, Duration, Callback callback) override { callback(this->next); }
    void abandonWatches(const std::string&) override { }

    StoreResult next;
};

StoreResult resultOf(StoreStatus status, bool answered)
{
    StoreResult result;
    result.status = status;
    result.answered = answered;
    return result;
}

} // namespace

TEST_CASE("StoreContact, tells once when the store answers again")
{
    // Guards against a watch that a silent store has lost and that nobody repeats.
    AnsweringStore store;
    int regained = 0;
    int ended = 0;
    StoreContact contact(store, { [&] { ++regained; }, [](std::uint64_t) {} });
    const auto count = [&](const StoreResult&) { ++ended; };
    contact.readAll("leases", count);
    contact.change({}, count);
    CHECK(regained == 0);
    store.next = resultOf(StoreStatus::Done, true);
    contact.change({}, count);
    contact.readAll("leases", count);
    CHECK(regained == 1);
    CHECK(ended == 4);
}

TEST_CASE("StoreContact, does not take a refusal for a lost answer")
{
    // Guards against watches that are repeated whenever a busy store refuses a call.
    AnsweringStore store;
    int regained = 0;
    StoreContact contact(store, { [&] { ++regained; }, [](std::uint64_t) {} });
    store.next = resultOf(StoreStatus::Refused, true);
    contact.change({}, [](const StoreResult&) {});
    store.next = resultOf(StoreStatus::Done, true);
    contact.change({}, [](const StoreResult&) {});
    CHECK(regained == 0);
}

TEST_CASE("StoreContact, ignores how watches end that wait")
{
    AnsweringStore store;
    int regained = 0;
    StoreContact contact(store, { [&] { ++regained; }, [](std::uint64_t) {} });
    contact.watch("op", {}, 28s, [](const StoreResult&) {});
    store.next = resultOf(StoreStatus::Done, true);
    contact.readAll("leases", [](const StoreResult&) {});
    CHECK(regained == 0);
    store.next = resultOf(StoreStatus::Unknown, false);
    contact.watch("op", {}, Duration::zero(), [](const StoreResult&) {});
    store.next = resultOf(StoreStatus::Done, true);
    contact.readAll("leases", [](const StoreResult&) {});
    CHECK(regained == 1);
}

namespace {

StoreResult answerOf(StoreStatus status, StoreVersion version)
{
    auto result = resultOf(status, true);
    result.version = version;
    result.rows.resize(1);
    return result;
}

// Notes the eras that a contact tells, and the status of the last answer that it passed on.
struct EraFixture {
    void change(StoreVersion expected)
    {
        StoreChange change;
        change.conditions.push_back({ "fleet", "row", expected });
        this->contact.change(change, [this](const StoreResult& result) { this->last = result; });
    }

    AnsweringStore store;
    std::vector<std::uint64_t> eras;
    StoreResult last;
    StoreContact contact { store, { [] {}, [this](std::uint64_t era) { this->eras.push_back(era); } } };
};

} // namespace

// Guards against daemons that learn of a restored store only from the versions, which may have been given out again.
TEST_CASE("StoreContact, tells each new era of the store before it passes the answer on")
{
    EraFixture fixture;
    fixture.store.next = answerOf(StoreStatus::Done, { 4, 9 });
    fixture.contact.readAll("fleet", [](const StoreResult&) {});
    CHECK(fixture.eras.empty());
    fixture.store.next = answerOf(StoreStatus::Refused, { 5, 0 });
    bool told = false;
    fixture.contact.readAll(
        "fleet", [&](const StoreResult&) { told = fixture.eras == std::vector<std::uint64_t> { 5 }; });
    CHECK(told);
    CHECK(fixture.contact.era() == 5);
    // An answer without an era changes nothing.
    fixture.store.next = answerOf(StoreStatus::Refused, {});
    fixture.contact.readAll("fleet", [](const StoreResult&) {});
    CHECK(fixture.contact.era() == 5);
}

// Guards against a condition of before that holds for a row whose version was given out again.
TEST_CASE("StoreContact, does not count a change that another era has answered")
{
    EraFixture fixture;
    for (const auto status : { StoreStatus::Done, StoreStatus::Conflict }) {
        fixture.store.next = answerOf(status, { 5, 20 });
        fixture.change({ 4, 12 });
        CHECK(fixture.last.status == StoreStatus::EraChanged);
        CHECK(fixture.last.rows.empty());
        fixture.change({ 5, 12 });
        CHECK(fixture.last.status == status);
    }
    fixture.store.next = answerOf(StoreStatus::Refused, { 5, 20 });
    fixture.change({ 4, 12 });
    CHECK(fixture.last.status == StoreStatus::Refused);
}

// Guards against changes that are missed because the store has given out the watched version again.
TEST_CASE("StoreContact, takes the history for lost when another era answers a watch")
{
    EraFixture fixture;
    fixture.store.next = answerOf(StoreStatus::Done, { 5, 30 });
    const auto note = [&](const StoreResult& result) { fixture.last = result; };
    for (const Duration wait : { Duration::zero(), Duration(28s) }) {
        fixture.contact.watch("op", { 4, 20 }, wait, note);
        CHECK(fixture.last.status == StoreStatus::HistoryLost);
        fixture.contact.watch("op", { 5, 20 }, wait, note);
        CHECK(fixture.last.status == StoreStatus::Done);
    }
}

// Guards against an answer of the lost store that arrives after one of the restored store.
TEST_CASE("StoreContact, takes what arrives late from an earlier era for not answered")
{
    EraFixture fixture;
    fixture.store.next = answerOf(StoreStatus::Done, { 5, 30 });
    fixture.change({ 5, 1 });
    fixture.store.next = answerOf(StoreStatus::Done, { 4, 90 });
    fixture.change({ 4, 1 });
    CHECK(fixture.last.status == StoreStatus::Unknown);
    CHECK(fixture.contact.era() == 5);
}
