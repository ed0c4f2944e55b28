#include "tool/workload.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <numbers>

namespace endivetrestle {

namespace {

// Marks in one list. It bounds the length of answers, and with it the cost of a read, over a long run.
constexpr std::uint64_t marksPerList = 20;

constexpr std::array<std::string_view, workNameCount> workNames = { "order", "payment", "stock_update", "stock_glance",
    "own_order", "batch_entry", "levy_entry", "booking", "certificate_update", "certificate_check", "own_entry" };

struct Share {
    WorkName name;
    double weight;
};

constexpr std::array saengchanShares = { Share { WorkName::Order, 15 }, Share { WorkName::Payment, 10 },
    Share { WorkName::StockUpdate, 5 }, Share { WorkName::StockGlance, 50 }, Share { WorkName::OwnOrder, 20 } };
constexpr std::array prismShares = { Share { WorkName::BatchEntry, 12 }, Share { WorkName::LevyEntry, 10 },
    Share { WorkName::Booking, 8 }, Share { WorkName::CertificateUpdate, 5 }, Share { WorkName::CertificateCheck, 45 },
    Share { WorkName::OwnEntry, 20 } };

std::discrete_distribution<int> distributionOf(DeploymentMix deployment)
{
    std::vector<double> weights(workNameCount, 0.0);
    const auto add = [&](const Share& share) { weights[static_cast<std::size_t>(share.name)] = share.weight; };
    if (deployment == DeploymentMix::Saengchan)
        std::for_each(saengchanShares.begin(), saengchanShares.end(), add);
    else
        std::for_each(prismShares.begin(), prismShares.end(), add);
    return { weights.begin(), weights.end() };
}

} // namespace

std::string_view deploymentName(DeploymentMix deployment)
{
    return deployment == DeploymentMix::Saengchan ? "saengchan" : "prism";
}

std::optional<DeploymentMix> deploymentFromName(std::string_view name)
{
    for (const auto deployment : { DeploymentMix::Saengchan, DeploymentMix::Prism }) {
        if (deploymentName(deployment) == name)
            return deployment;
    }
    return std::nullopt;
}

std::string_view workName(WorkName name) { return workNames.at(static_cast<std::size_t>(name)); }

Workload::Workload(WorkloadSettings settings)
    : settings(std::move(settings))
    , random(this->settings.seed)
    , shares(distributionOf(this->settings.deployment))
{
    this->settings.sessions = std::max<std::size_t>(this->settings.sessions, 1);
    if (this->settings.databases.empty())
        this->settings.databases.emplace_back("db");
}

double Workload::rateAt(Duration offset) const
{
    const double share = toSeconds(offset) / std::max(toSeconds(this->settings.duration), 1e-6);
    const double height = std::pow(std::sin(std::numbers::pi * std::clamp(share, 0.0, 1.0)), 2);
    return this->settings.rate * (1.0 + (this->settings.peakFactor - 1.0) * height);
}

const DatabaseId& Workload::databaseOf(std::size_t session) const
{
    return this->settings.databases[session % this->settings.databases.size()];
}

std::optional<WorkItem> Workload::next()
{
    const double rate = std::max(this->rateAt(this->clock), 1e-3);
    const double gap = std::exponential_distribution<double>(rate)(this->random);
    this->clock += Duration(std::llround(gap * 1e6));
    if (this->clock >= this->settings.duration)
        return std::nullopt;
    WorkItem item;
    item.intendedAt = this->clock;
    item.session = std::uniform_int_distribution<std::size_t>(0, this->settings.sessions - 1)(this->random);
    item.database = this->databaseOf(item.session);
    item.name = static_cast<WorkName>(this->shares(this->random));
    this->fill(item);
    return item;
}

void Workload::fill(WorkItem& item)
{
    switch (item.name) {
    case WorkName::Order:
        return this->addAppend(item, "orders", Priority::Write);
    case WorkName::Payment:
        return this->addAppend(item, "payments", Priority::Payment);
    case WorkName::StockUpdate:
        return this->addPut(item, "stock");
    case WorkName::StockGlance:
        return this->addForeignRead(item, "stock", Priority::Glance, this->settings.glanceAge);
    case WorkName::OwnOrder:
        return this->addOwnRead(item, "orders");
    case WorkName::BatchEntry:
        return this->addAppend(item, "batches", Priority::Write);
    case WorkName::LevyEntry:
        return this->addAppend(item, "levies", Priority::Write);
    case WorkName::Booking:
        return this->addBooking(item);
    case WorkName::CertificateUpdate:
        return this->addPut(item, "certificates");
    case WorkName::CertificateCheck:
        return this->addForeignRead(item, "certificates", Priority::Read, this->settings.certificateAge);
    case WorkName::OwnEntry:
        return this->addOwnRead(item, "batches");
    }
}

std::string Workload::listKey(std::size_t session, std::string_view table, std::uint64_t number) const
{
    return this->registerKey(session, table) + "/" + std::to_string(number / marksPerList);
}

// The database is part of the key, so that an answer from another database is recognised as crossed.
std::string Workload::registerKey(std::size_t session, std::string_view table) const
{
    return this->settings.prefix + "/" + this->databaseOf(session).value + "/" + std::string(table) + "/"
        + std::to_string(session);
}

void Workload::addAppend(WorkItem& item, std::string_view table, Priority priority)
{
    const auto number = this->written[{ item.session, table }]++;
    const HistoryMark mark { this->listKey(item.session, table, number), number };
    item.writes.push_back(mark);
    item.statements.push_back(
        { RequestKind::Write, priority, false, "append " + mark.key + " " + toString(mark), std::nullopt });
}

void Workload::addPut(WorkItem& item, std::string_view table)
{
    const auto number = this->written[{ item.session, table }]++;
    const HistoryMark mark { this->registerKey(item.session, table), number };
    item.keyType = HistoryKeyType::Register;
    item.writes.push_back(mark);
    item.statements.push_back(
        { RequestKind::Write, Priority::Write, false, "put " + mark.key + " " + toString(mark), std::nullopt });
}

void Workload::addRead(WorkItem& item, const std::string& key, Priority priority, std::optional<Duration> maxAge)
{
    item.readKeys.push_back(key);
    item.statements.push_back({ RequestKind::Read, priority, true, "get " + key, maxAge });
}

void Workload::addOwnRead(WorkItem& item, std::string_view table)
{
    const auto count = this->written[{ item.session, table }];
    const auto latest = count == 0 ? 0 : count - 1;
    this->addRead(item, this->listKey(item.session, table, latest), Priority::Read, std::nullopt);
}

void Workload::addForeignRead(WorkItem& item, std::string_view table, Priority priority, Duration maxAge)
{
    const auto other = std::uniform_int_distribution<std::size_t>(0, this->settings.sessions - 1)(this->random);
    item.database = this->databaseOf(other);
    this->addRead(item, this->registerKey(other, table), priority, maxAge);
}

// Reads the bookings so far and adds one, in one transaction.
void Workload::addBooking(WorkItem& item)
{
    const auto number = this->written[{ item.session, "bookings" }];
    const auto key = this->listKey(item.session, "bookings", number);
    item.readKeys.push_back(key);
    item.statements.push_back({ RequestKind::Statement, Priority::Write, false, "get " + key, std::nullopt });
    this->addAppend(item, "bookings", Priority::Write);
    item.statements.back().kind = RequestKind::Statement;
}

} // namespace endivetrestle
