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
    void watch(const std::string&, std::uint64_t, Duration, Callback callback) override { callback(this->next); }
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
    StoreContact contact(store, [&] { ++regained; });
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
    StoreContact contact(store, [&] { ++regained; });
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
    StoreContact contact(store, [&] { ++regained; });
    contact.watch("op", 0, 28s, [](const StoreResult&) {});
    store.next = resultOf(StoreStatus::Done, true);
    contact.readAll("leases", [](const StoreResult&) {});
    CHECK(regained == 0);
    store.next = resultOf(StoreStatus::Unknown, false);
    contact.watch("op", 0, Duration::zero(), [](const StoreResult&) {});
    store.next = resultOf(StoreStatus::Done, true);
    contact.readAll("leases", [](const StoreResult&) {});
    CHECK(regained == 1);
}
