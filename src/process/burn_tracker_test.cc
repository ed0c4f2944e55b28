#include "process/burn_tracker.h"

#include <catch2/catch.hpp>

#include <thread>

using namespace endivetrestle;
using namespace std::chrono_literals;

namespace {

const DatabaseId shop("shop-1");
const BurnEvent good { OutcomeState::Completed, ErrorCode::None, 1ms };
const BurnEvent unreachable { OutcomeState::DidNotRun, ErrorCode::EndpointUnreachable, 1ms };

BurnSeriesReport seriesOf(BurnTracker& burn, BurnKind kind, Time now)
{
    for (const auto& series : burn.report(now).series) {
        if (series.database == shop && series.kind == kind)
            return series;
    }
    return {};
}

std::uint64_t causeOf(const BurnWindowReport& window, BurnCause cause)
{
    return window.causes.at(static_cast<std::size_t>(cause));
}

void recordMany(BurnTracker& burn, BurnTracker::SeriesHandle series, const BurnEvent& event, int count, Time now)
{
    for (int i = 0; i < count; ++i)
        burn.record(series, event, now);
}

} // namespace

// Guards against a burn rate that is not relative to the allowed share.
TEST_CASE("Burn, rate is the fraction of bad requests divided by the allowed fraction")
{
    BurnTracker burn({});
    burn.setObjective(shop, BurnKind::Write, { 0.99, 100ms });
    const auto series = burn.series(shop, BurnKind::Write);
    recordMany(burn, series, good, 95, Time(1000s));
    recordMany(burn, series, unreachable, 3, Time(1000s));
    burn.record(series, { OutcomeState::Unknown, ErrorCode::NotHeldByMajority, 1ms }, Time(1000s));
    burn.record(series, { OutcomeState::Completed, ErrorCode::None, 101ms }, Time(1000s));
    const auto report = seriesOf(burn, BurnKind::Write, Time(1000s));
    for (const auto& window : report.windows) {
        CAPTURE(window.name, window.bad);
        CHECK(window.total == 100);
        CHECK(window.burnRate == Approx(5.0));
        CHECK(causeOf(window, BurnCause::Slow) == 1);
        CHECK(causeOf(window, BurnCause::EndpointError) == 4);
    }
    CHECK(seriesOf(burn, BurnKind::Read, Time(1000s)).windows[0].total == 0);
}

// Guards against alerts caused by invalid requests.
TEST_CASE("Burn, ignores invalid requests and counts rejected statements as good")
{
    BurnTracker burn({});
    const auto series = burn.series(shop, BurnKind::Read);
    burn.record(series, { OutcomeState::DidNotRun, ErrorCode::TokenExpired, 1ms }, Time(1000s));
    burn.record(series, { OutcomeState::DidNotRun, ErrorCode::Forbidden, 1ms }, Time(1000s));
    burn.record(series, { OutcomeState::DidNotRun, ErrorCode::StatementFailed, 1ms }, Time(1000s));
    const auto window = seriesOf(burn, BurnKind::Read, Time(1000s)).windows[0];
    CHECK(window.total == 1);
    CHECK(window.bad == 0);
}

// Guards against windows that never drop old events, or that drop recent ones.
TEST_CASE("Burn, drops events when they are older than a window")
{
    BurnTracker burn({});
    const auto series = burn.series(shop, BurnKind::Read);
    recordMany(burn, series, unreachable, 10, Time(1000s));
    const auto badAfter = [&](Duration age) {
        std::vector<std::uint64_t> bad;
        for (const auto& window : seriesOf(burn, BurnKind::Read, Time(1000s) + age).windows)
            bad.push_back(window.bad);
        return bad;
    };
    CHECK(badAfter(280s) == std::vector<std::uint64_t> { 10, 10, 10, 10 });
    CHECK(badAfter(320s) == std::vector<std::uint64_t> { 0, 10, 10, 10 });
    CHECK(badAfter(2h) == std::vector<std::uint64_t> { 0, 0, 10, 10 });
    CHECK(badAfter(7h) == std::vector<std::uint64_t> { 0, 0, 0, 10 });
    CHECK(badAfter(76h) == std::vector<std::uint64_t> { 0, 0, 0, 0 });
}

// Guards against memory use that grows with time or with the number of databases that callers name.
TEST_CASE("Burn, limits the number of history points and databases")
{
    BurnSettings settings;
    settings.maximumDatabases = 2;
    BurnTracker burn(settings);
    const auto series = burn.series(shop, BurnKind::Read);
    for (int second = 0; second < 100000; second += 5)
        burn.record(series, good, Time(std::chrono::seconds(second)));
    CHECK(seriesOf(burn, BurnKind::Read, Time(100000s)).history.size() <= 31);
    for (int i = 0; i < 50; ++i) {
        burn.series(DatabaseId("db-" + std::to_string(i)), BurnKind::Read);
        burn.series(DatabaseId("db-" + std::to_string(i)), BurnKind::Write);
    }
    CHECK(burn.report(Time(100000s)).series.size() <= 6);
}

// Guards against a page for a single failed request, and against a delayed page.
TEST_CASE("Burn, pages on a fast burn and opens a ticket on a slow one")
{
    BurnTracker burn({});
    const auto series = burn.series(shop, BurnKind::Read);
    burn.record(series, unreachable, Time(1000s));
    CHECK(seriesOf(burn, BurnKind::Read, Time(1000s)).alert == AlertLevel::None);
    recordMany(burn, series, unreachable, 20, Time(1000s));
    recordMany(burn, series, good, 900, Time(1000s));
    CHECK(seriesOf(burn, BurnKind::Read, Time(1000s)).alertWindows == "5m+1h");
    CHECK(seriesOf(burn, BurnKind::Read, Time(1400s)).alert == AlertLevel::Page);
    CHECK(seriesOf(burn, BurnKind::Read, Time(1400s)).alertWindows == "1h+6h");
    CHECK(seriesOf(burn, BurnKind::Read, Time(2h)).alert == AlertLevel::Ticket);
    CHECK(seriesOf(burn, BurnKind::Read, Time(8h)).alert == AlertLevel::None);
}

// Guards against reporting requests that a failover delayed or refused with the causes Slow or Shed.
TEST_CASE("Burn, attributes bad events to a failover when they overlap it in time")
{
    BurnTracker burn({});
    const auto series = burn.series(shop, BurnKind::Write);
    burn.record(series, { OutcomeState::DidNotRun, ErrorCode::QueueFull, 1ms }, Time(999s));
    burn.beginFailover(shop, 17, Time(1000s));
    burn.record(series, { OutcomeState::DidNotRun, ErrorCode::QueueFull, 1ms }, Time(1000s));
    burn.record(series, { OutcomeState::DidNotRun, ErrorCode::StoreUnavailable, 1ms }, Time(1000s));
    burn.record(series, { OutcomeState::DidNotRun, ErrorCode::DeadlineExceeded, 1ms, BurnCause::Lag }, Time(1000s));
    burn.endFailover(shop, Time(1001s));
    burn.record(series, { OutcomeState::Completed, ErrorCode::None, 900ms }, Time(1001s) + 300ms);
    burn.record(series, { OutcomeState::Completed, ErrorCode::None, 900ms }, Time(1005s));
    burn.record(series, { OutcomeState::DidNotRun, ErrorCode::NoPrimary, 1ms }, Time(1006s));
    const auto report = seriesOf(burn, BurnKind::Write, Time(1007s));
    const auto& window = report.windows[0];
    CHECK(causeOf(window, BurnCause::Shed) == 1);
    CHECK(causeOf(window, BurnCause::StoreOutage) == 1);
    CHECK(causeOf(window, BurnCause::Lag) == 1);
    CHECK(causeOf(window, BurnCause::Slow) == 1);
    CHECK(causeOf(window, BurnCause::Failover) == 3);
    CHECK(report.failovers == std::vector<FailoverImpact> { { 17, 2 }, { 0, 1 } });
}

// Guards against losing parts of a report between the daemon and the report command.
TEST_CASE("Burn, report is unchanged when it is converted to JSON and back")
{
    BurnTracker burn(BurnSettings {}.scaledBy(60));
    const auto series = burn.series(shop, BurnKind::Read);
    recordMany(burn, series, unreachable, 7, Time(1000s));
    recordMany(burn, series, good, 7, Time(1010s));
    burn.record(series, { OutcomeState::DidNotRun, ErrorCode::NoPrimary, 1ms, BurnCause::Failover, 3 }, Time(1011s));
    const auto report = burn.report(Time(1012s));
    CHECK(report.series[0].windows[0].length == 5s);
    CHECK(burnReportFromJson(toJson(report)) == report);
    CHECK(toTable(report).find("#3 1") != std::string::npos);
}

// Guards against averaging the burn rates of the daemons instead of computing the rate from the totals.
TEST_CASE("Burn, computes the burn rate from the totals when reports are merged")
{
    const auto reportWith = [](int bad, int ok) {
        BurnTracker burn({});
        const auto series = burn.series(shop, BurnKind::Read);
        recordMany(burn, series, unreachable, bad, Time(1000s));
        recordMany(burn, series, good, ok, Time(1000s));
        return burn.report(Time(1001s));
    };
    const auto merged = mergeBurnReports({ reportWith(10, 0), reportWith(0, 990) }, {});
    REQUIRE(merged.series.size() == 1);
    CHECK(merged.series[0].windows[0].burnRate == Approx(10.0));
    REQUIRE(merged.series[0].history.size() == 1);
    CHECK(merged.series[0].history[0].total == 1000);
    CHECK(merged.alert() == AlertLevel::Page);
}

// Guards against percentiles that are off by more than the width of a bucket.
TEST_CASE("Burn, coarse percentile lies within the bucket of the latency")
{
    for (const auto latency : { 50us, 100us, 1000us, 250000us }) {
        CoarseLatency counts {};
        counts[coarseBucketOf(latency)] = 100;
        const auto p50 = coarsePercentile(counts, 50);
        CAPTURE(latency.count(), p50.count());
        CHECK(std::abs(toMilliseconds(p50 - latency)) <= 0.42 * toMilliseconds(latency));
    }
}

// Guards against lost updates when several threads record concurrently.
TEST_CASE("Burn, counts every event when several threads record")
{
    BurnTracker burn({});
    const auto series = burn.series(shop, BurnKind::Read);
    std::vector<std::thread> threads;
    for (int i = 0; i < 4; ++i)
        threads.emplace_back([&] { recordMany(burn, series, good, 5000, Time(1000s)); });
    for (auto& thread : threads)
        thread.join();
    CHECK(seriesOf(burn, BurnKind::Read, Time(1000s)).windows[0].total == 20000);
}
