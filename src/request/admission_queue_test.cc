#include "request/admission_queue.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <queue>

using namespace endivetrestle;
using namespace std::chrono_literals;

namespace {

const EndpointId primary("primary");
const EndpointId replica("replica");
const QueueTarget toPrimary { QueueTargetKind::Primary, {} };

QueueEntry entryOf(std::uint64_t id, Priority priority, const std::string& caller = "a", Time deadline = Time(10s))
{
    return { id, CallerId(caller), priority, toPrimary, deadline };
}

std::uint64_t popId(AdmissionQueue& queue, Time now = Time())
{
    const auto popped = queue.popFor(primary, EndpointRole::Primary, now);
    return popped ? popped->entry.id : 0;
}

using Step = std::tuple<std::uint8_t, std::uint8_t, std::uint8_t>;

// Runs random steps against a queue and compares the results with its own model of the queued entries.
struct QueueDriver {
    AdmissionQueueSettings settings { .maxEntries = 12, .maxPerCaller = 6, .minimumShare = {}, .minimumSamples = 4 };
    AdmissionQueue queue { this->settings };
    std::map<std::uint64_t, QueueEntry> queued;
    std::uint64_t lastId = 0;
    Time now;

    void push(std::size_t choice, std::size_t detail)
    {
        const std::vector<QueueTarget> targets { toPrimary, { QueueTargetKind::Replica, {} },
            { QueueTargetKind::Any, {} }, { QueueTargetKind::Endpoint, replica } };
        QueueEntry entry { ++this->lastId, CallerId(std::string(1, static_cast<char>('a' + choice % 3))),
            static_cast<Priority>(choice / 3 % 4), targets[choice / 12 % 4],
            this->now + std::chrono::milliseconds(detail * 4), 1 + static_cast<int>(detail % 3) };
        const auto refusal = this->queue.push(entry, this->now);
        if (refusal)
            RC_ASSERT(refusal->id == entry.id);
        else
            this->queued[entry.id] = entry;
    }

    static bool fits(const QueueEntry& entry, bool atPrimary)
    {
        const auto kind = entry.target.kind;
        return kind == QueueTargetKind::Any || (kind == QueueTargetKind::Primary) == atPrimary;
    }

    void pop(bool atPrimary)
    {
        const auto role = atPrimary ? EndpointRole::Primary : EndpointRole::Replica;
        const auto& endpoint = atPrimary ? primary : replica;
        const bool expected = this->queue.hasFor(endpoint, role, this->now);
        const auto popped = this->queue.popFor(endpoint, role, this->now);
        this->collect();
        RC_ASSERT(popped.has_value() == expected);
        for (const auto& [id, entry] : this->queued)
            RC_ASSERT((!fits(entry, atPrimary) || (popped && entry.priority >= popped->entry.priority)));
        if (!popped)
            return;
        RC_ASSERT(popped->entry == this->queued.at(popped->entry.id));
        RC_ASSERT(fits(popped->entry, atPrimary));
        RC_ASSERT(popped->entry.deadline > this->now);
        // Requests of one caller in one class and target come out in order of arrival.
        for (const auto& [id, entry] : this->queued)
            RC_ASSERT((id >= popped->entry.id || entry.caller != popped->entry.caller
                || entry.priority != popped->entry.priority || entry.target != popped->entry.target));
        this->queued.erase(popped->entry.id);
    }

    void collect()
    {
        for (const auto& refusal : this->queue.takeRefusals())
            RC_ASSERT(this->queued.erase(refusal.id) == 1U);
    }

    void step(const Step& step)
    {
        const auto [kind, choice, detail] = step;
        if (kind % 8 < 4)
            this->push(choice, detail);
        else if (kind % 8 < 6)
            this->pop(choice % 2 == 0);
        else if (kind % 8 == 6)
            this->now += std::chrono::milliseconds(choice);
        else if (choice % 4 == 0)
            RC_ASSERT(this->queue.cancel(detail) == (this->queued.erase(detail) == 1));
        else if (choice % 16 == 1)
            this->queue.refuseEndpoint(replica, ErrorCode::EndpointUnreachable);
        else if (choice % 64 == 2)
            this->queue.refuseAll(ErrorCode::ShuttingDown, 1s);
        else
            this->queue.expire(this->now);
        this->collect();
        RC_ASSERT(this->queue.size() == this->queued.size());
        RC_ASSERT(this->queue.size() <= this->settings.maxEntries);
        for (const auto* caller : { "a", "b", "c" })
            RC_ASSERT(this->queue.sizeOf(CallerId(caller)) <= this->settings.maxPerCaller);
    }
};

struct LoadResult {
    std::array<int, priorityCount> offered {};
    std::array<int, priorityCount> served {};
    int late = 0;
};

// Runs one endpoint with 2 slots and 5 ms per statement (400 statements/s) under an evenly spaced load for 10 s. Of ten
// requests one is a payment and three each are writes, reads and glances; every request waits at most 300 ms.
LoadResult runLoad(int perSecond)
{
    AdmissionQueue queue({});
    LoadResult result;
    std::priority_queue<Time, std::vector<Time>, std::greater<>> finishTimes;
    constexpr std::array mix { 0, 1, 2, 3, 1, 2, 3, 1, 2, 3 };
    std::vector<QueueEntry> entries;
    const auto dispatch = [&](Time now) {
        while (finishTimes.size() < 2) {
            const auto popped = queue.popFor(primary, EndpointRole::Primary, now);
            if (!popped)
                return;
            finishTimes.push(now + 5ms);
            ++result.served[static_cast<std::size_t>(popped->entry.priority)];
            result.late += popped->entry.deadline < now + 5ms ? 1 : 0;
        }
    };
    for (int number = 0; number < perSecond * 10; ++number) {
        const Time now { std::chrono::microseconds(1000000LL * number / perSecond) };
        while (!finishTimes.empty() && finishTimes.top() <= now) {
            const auto freed = finishTimes.top();
            finishTimes.pop();
            dispatch(freed);
        }
        const auto priority = mix[static_cast<std::size_t>(number) % mix.size()];
        const auto caller = number % 7 == 0 ? "light" : "heavy";
        ++result.offered[static_cast<std::size_t>(priority)];
        queue.push({ static_cast<std::uint64_t>(number) + 1, CallerId(caller), static_cast<Priority>(priority),
                       toPrimary, now + 300ms },
            now);
        dispatch(now);
    }
    return result;
}

} // namespace

// Guards against entries that are returned twice or never, wrong endpoints, wrong order and exceeded limits.
TEST_CASE("AdmissionQueue, pops or refuses every entry exactly once when steps are random")
{
    REQUIRE(rc::check([] {
        const auto steps = *rc::gen::scale(8.0, rc::gen::arbitrary<std::vector<Step>>());
        QueueDriver driver;
        for (const auto& step : steps)
            driver.step(step);
    }));
}

// Guards against a collapse of goodput under overload, and against payments that wait behind lower classes. The bound
// of 90 % is the goodput target of the design page.
TEST_CASE("AdmissionQueue, keeps goodput at 90 % of the capacity or more when the load is three times the capacity")
{
    const auto result = runLoad(1200);
    CAPTURE(result.offered, result.served, result.late);
    const auto served = result.served[0] + result.served[1] + result.served[2] + result.served[3];
    CHECK(served - result.late >= 0.9 * 4000);
    CHECK(result.served[0] >= result.offered[0] - 2);
    CHECK(result.served[3] >= 0.04 * served);
}

// Guards against refusals when the capacity is sufficient.
TEST_CASE("AdmissionQueue, refuses nothing when the load is below the capacity")
{
    const auto result = runLoad(380);
    CAPTURE(result.offered, result.served);
    const auto served = result.served[0] + result.served[1] + result.served[2] + result.served[3];
    CHECK(served >= 3800 - 2);
    CHECK(result.late == 0);
}

// Guards against a lower class that never runs.
TEST_CASE("AdmissionQueue, gives a lower class its minimum share when higher classes always have entries")
{
    AdmissionQueue queue({ .maxPerCaller = 1000 });
    for (std::uint64_t id = 1; id <= 400; ++id)
        REQUIRE_FALSE(queue.push(entryOf(id, id <= 200 ? Priority::Payment : Priority::Glance), Time()));
    int glances = 0;
    for (int pops = 0; pops < 100; ++pops)
        glances += popId(queue) > 200 ? 1 : 0;
    CHECK(glances == 5);
}

// Guards against a caller with many requests that delays the others of its class.
TEST_CASE("AdmissionQueue, alternates between callers when one has a long queue")
{
    AdmissionQueue queue({});
    for (std::uint64_t id = 1; id <= 20; ++id)
        REQUIRE_FALSE(queue.push(entryOf(id, Priority::Read, "heavy"), Time()));
    REQUIRE_FALSE(queue.push(entryOf(21, Priority::Read, "light"), Time()));
    REQUIRE_FALSE(queue.push(entryOf(22, Priority::Read, "light"), Time()));
    CHECK(popId(queue) == 1);
    CHECK(popId(queue) == 21);
    CHECK(popId(queue) == 2);
    CHECK(popId(queue) == 22);
}

// Guards against round robin by the number of statements when statements differ in cost.
TEST_CASE("AdmissionQueue, charges a caller by cost when entries differ in cost")
{
    AdmissionQueue queue({});
    for (std::uint64_t id = 1; id <= 4; ++id) {
        auto entry = entryOf(id, Priority::Read, "expensive");
        entry.cost = 4;
        REQUIRE_FALSE(queue.push(entry, Time()));
    }
    for (std::uint64_t id = 11; id <= 30; ++id)
        REQUIRE_FALSE(queue.push(entryOf(id, Priority::Read, "cheap"), Time()));
    int expensive = 0;
    for (int pops = 0; pops < 10; ++pops)
        expensive += popId(queue) <= 4 ? 1 : 0;
    CHECK(expensive == 2);
}

// Guards against payments that are refused because the queue is full of lower classes, and against displacing the wrong
// entry.
TEST_CASE("AdmissionQueue, displaces the newest entry of the lowest class when full")
{
    AdmissionQueue queue({ .maxEntries = 3 });
    REQUIRE_FALSE(queue.push(entryOf(1, Priority::Glance), Time()));
    REQUIRE_FALSE(queue.push(entryOf(2, Priority::Glance), Time()));
    REQUIRE_FALSE(queue.push(entryOf(3, Priority::Read), Time()));
    REQUIRE_FALSE(queue.push(entryOf(4, Priority::Payment), Time()));
    auto refusals = queue.takeRefusals();
    REQUIRE(refusals.size() == 1);
    CHECK(refusals[0].id == 2);
    CHECK(refusals[0].code == ErrorCode::QueueFull);
    // An entry cannot displace one of its own class and caller, but it can displace one of a caller with more of them.
    CHECK(queue.push(entryOf(5, Priority::Glance), Time())->code == ErrorCode::QueueFull);
    REQUIRE_FALSE(queue.push(entryOf(6, Priority::Write), Time()));
    REQUIRE_FALSE(queue.push(entryOf(7, Priority::Write), Time()));
    CHECK(queue.takeRefusals().size() == 2);
    CHECK(queue.push(entryOf(8, Priority::Read), Time())->code == ErrorCode::QueueFull);
    REQUIRE_FALSE(queue.push(entryOf(9, Priority::Write, "b"), Time()));
    refusals = queue.takeRefusals();
    REQUIRE(refusals.size() == 1);
    CHECK(refusals[0].id == 7);
}

// Guards against entries that occupy the queue although they cannot be served before their deadline.
TEST_CASE("AdmissionQueue, refuses at once when the estimated wait exceeds the deadline")
{
    AdmissionQueue queue({ .minimumSamples = 4 });
    Time now;
    for (std::uint64_t id = 1; id <= 30; ++id)
        REQUIRE_FALSE(queue.push(entryOf(id, Priority::Read), now));
    for (int pops = 0; pops < 10; ++pops, now += 10ms)
        REQUIRE(popId(queue, now) != 0);
    // 20 entries at 10 ms each are ahead.
    const auto refusal = queue.push(entryOf(31, Priority::Read, "a", now + 150ms), now);
    REQUIRE(refusal);
    CHECK(refusal->code == ErrorCode::Overloaded);
    CHECK(refusal->retryAfter == 200ms);
    CHECK_FALSE(queue.push(entryOf(32, Priority::Read, "a", now + 250ms), now));
    CHECK_FALSE(queue.push(entryOf(33, Priority::Payment, "a", now + 5ms), now));
}

// Guards against idle time that is measured as service time after queued entries were cancelled or expired.
TEST_CASE("AdmissionQueue, does not count idle time as service when the queue was emptied without a pop")
{
    AdmissionQueue queue({ .minimumSamples = 4 });
    Time now;
    for (std::uint64_t id = 1; id <= 10; ++id)
        REQUIRE_FALSE(queue.push(entryOf(id, Priority::Read, "a", Time(1s)), now));
    for (int pops = 0; pops < 8; ++pops, now += 10ms)
        REQUIRE(popId(queue, now) != 0);
    REQUIRE(queue.cancel(9));
    queue.expire(Time(1s));
    now = Time(100s);
    for (std::uint64_t id = 11; id <= 21; ++id)
        REQUIRE_FALSE(queue.push(entryOf(id, Priority::Read, "a", Time(200s)), now));
    REQUIRE(popId(queue, now) == 11);
    CHECK(queue.estimateWait(entryOf(22, Priority::Read)) == 100ms);
    CHECK_FALSE(queue.overloaded(primary, now));
}

// Guards against a standing queue, and against shedding higher classes for which there is capacity.
TEST_CASE("AdmissionQueue, sheds the lowest class first when the delay stays above the target")
{
    AdmissionQueue queue({ .minimumSamples = 1000 });
    Time now;
    for (std::uint64_t id = 1; id <= 80; ++id)
        REQUIRE_FALSE(queue.push(entryOf(id, id % 2 == 0 ? Priority::Write : Priority::Glance), now));
    std::vector<QueueRefusal> refusals;
    for (int pops = 0; pops < 36; ++pops, now += 10ms) {
        popId(queue, now);
        for (const auto& refusal : queue.takeRefusals())
            refusals.push_back(refusal);
        if (now < Time(260ms))
            CHECK(refusals.empty());
    }
    CHECK(queue.overloaded(primary, now));
    REQUIRE_FALSE(refusals.empty());
    for (const auto& refusal : refusals) {
        CHECK(refusal.id % 2 == 1);
        CHECK(refusal.code == ErrorCode::Overloaded);
    }
}
