#include "tool/workload.h"

#include <catch2/catch.hpp>

#include <set>

using namespace endivetrestle;
using namespace std::chrono_literals;

namespace {

WorkloadSettings settingsOf(DeploymentMix deployment)
{
    WorkloadSettings settings;
    settings.deployment = deployment;
    settings.databases = { DatabaseId("a"), DatabaseId("b"), DatabaseId("c") };
    settings.rate = 2000;
    settings.seed = 11;
    return settings;
}

std::vector<WorkItem> allItems(const WorkloadSettings& settings)
{
    Workload workload(settings);
    std::vector<WorkItem> items;
    while (auto item = workload.next())
        items.push_back(std::move(*item));
    return items;
}

} // namespace

// Guards against a run that cannot be repeated with its seed.
TEST_CASE("Workload, gives equal items for equal seeds and other items for another seed")
{
    auto settings = settingsOf(DeploymentMix::Prism);
    const auto items = allItems(settings);
    CHECK(items == allItems(settings));
    settings.seed = 12;
    CHECK(items != allItems(settings));
}

// Guards against payments or levy entries that are marked repeatable or get a wrong class.
TEST_CASE("Workload, marks requests as the deployments state them")
{
    const auto deployment = GENERATE(DeploymentMix::Saengchan, DeploymentMix::Prism);
    std::map<WorkName, int> counts;
    for (const auto& item : allItems(settingsOf(deployment))) {
        counts[item.name] += 1;
        CAPTURE(workName(item.name));
        const auto& statement = item.statements.back();
        CHECK((item.writes.empty() == (statement.kind == RequestKind::Read)));
        CHECK(statement.repeatable == item.writes.empty());
        CHECK((item.name == WorkName::Payment) == (statement.priority == Priority::Payment));
        CHECK((item.name == WorkName::StockGlance) == (statement.priority == Priority::Glance));
        CHECK((item.name == WorkName::StockGlance) == (statement.maxAge == Duration(1s)));
        CHECK((item.name == WorkName::CertificateCheck) == (statement.maxAge == Duration(10s)));
        CHECK(item.isTransaction() == (item.name == WorkName::Booking));
    }
    CHECK(counts.size() == (deployment == DeploymentMix::Saengchan ? 5U : 6U));
}

// Guards against a mark that is used twice, which the checker would take for a doubled write.
TEST_CASE("Workload, never writes a mark twice and keeps lists short")
{
    std::set<HistoryMark> marks;
    std::map<std::string, std::size_t> session;
    for (const auto& item : allItems(settingsOf(DeploymentMix::Prism))) {
        for (const auto& mark : item.writes) {
            CHECK(marks.insert(mark).second);
            CHECK(findMarks(item.statements.back().statement) == std::vector<HistoryMark> { mark });
            CHECK(session.try_emplace(mark.key, item.session).first->second == item.session);
        }
    }
    CHECK(marks.size() > 1000);
}

// Guards against a rate that does not follow the afternoon peak.
TEST_CASE("Workload, sends more items in the middle of a run with a peak")
{
    auto settings = settingsOf(DeploymentMix::Saengchan);
    settings.peakFactor = 3;
    std::array<int, 5> fifths {};
    for (const auto& item : allItems(settings))
        fifths.at(static_cast<std::size_t>(item.intendedAt / 2s)) += 1;
    CAPTURE(fifths[0], fifths[2], fifths[4]);
    CHECK(fifths[2] > 2 * fifths[0]);
    CHECK(fifths[2] > 2 * fifths[4]);
    CHECK(Workload(settings).rateAt(5s) == Approx(6000.0));
    CHECK(Workload(settings).rateAt(0s) == Approx(2000.0));
}

// Guards against marks of one database that are written to another.
TEST_CASE("Workload, sends statements to the database that its keys name")
{
    for (const auto& item : allItems(settingsOf(DeploymentMix::Saengchan))) {
        const auto& key = item.writes.empty() ? item.readKeys.front() : item.writes.front().key;
        CAPTURE(key);
        CHECK(key.find("run/" + item.database.value + "/") == 0);
    }
}
