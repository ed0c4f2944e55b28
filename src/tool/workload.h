#pragma once

#include "base/clock.h"
#include "base/identifier.h"
#include "request/request.h"
#include "tool/history_checker.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace endivetrestle {

// Deployments whose mix of requests can be generated.
enum class DeploymentMix { Saengchan, Prism };

std::string_view deploymentName(DeploymentMix deployment);
std::optional<DeploymentMix> deploymentFromName(std::string_view name);

// What a generated item stands for.
enum class WorkName {
    Order,
    Payment,
    StockUpdate,
    StockGlance,
    OwnOrder,
    BatchEntry,
    LevyEntry,
    Booking,
    CertificateUpdate,
    CertificateCheck,
    OwnEntry,
};
inline constexpr std::size_t workNameCount = 11;

// Lower-case name such as "stock_glance".
std::string_view workName(WorkName name);

// One statement of an item.
struct WorkStatement {
    RequestKind kind = RequestKind::Read;
    Priority priority = Priority::Read;
    bool repeatable = false;
    std::string statement;
    std::optional<Duration> maxAge;

    bool operator==(const WorkStatement&) const = default;
};

// One thing that a session does: a single statement, or a transaction of several.
struct WorkItem {
    WorkName name = WorkName::Order;
    // Time since the start of the run at which the item is to be sent.
    Duration intendedAt {};
    std::size_t session = 0;
    DatabaseId database;
    // Statements in order; the load tool adds begin and commit if there are several.
    std::vector<WorkStatement> statements;
    // What the item reads and writes, for the history checker.
    std::vector<std::string> readKeys;
    std::vector<HistoryMark> writes;
    HistoryKeyType keyType = HistoryKeyType::List;

    [[nodiscard]] bool isTransaction() const { return this->statements.size() > 1; }
    bool operator==(const WorkItem&) const = default;
};

struct WorkloadSettings {
    DeploymentMix deployment = DeploymentMix::Saengchan;
    std::vector<DatabaseId> databases;
    std::size_t sessions = 100;
    // Items per second outside of the peak.
    double rate = 100;
    Duration duration = std::chrono::seconds(10);
    // Highest rate of the afternoon peak as a multiple of the rate; 1 gives a constant rate. The peak is in the middle
    // of the run.
    double peakFactor = 1;
    std::uint64_t seed = 1;
    // Prefix of all keys. Runs against the same data need different prefixes.
    std::string prefix = "run";
    // Age bounds of the reads that state one.
    Duration glanceAge = std::chrono::seconds(1);
    Duration certificateAge = std::chrono::seconds(10);
};

// Generates the items of a run in the order of their intended times. Depends on nothing but its settings, so equal
// settings give equal items. Sessions are assigned to databases in turn; glances and certificate checks visit other
// sessions' data in any database.
//
// The shares of a mix are assumptions, since the deployments state which requests they make but not how often:
// saengchan 15 % orders, 10 % payments, 5 % stock updates, 50 % stock glances, 20 % look-ups of own orders; prism 12 %
// batch entries, 10 % levy entries, 8 % bookings, 5 % certificate updates, 45 % certificate checks, 20 % look-ups of
// own entries.
class Workload {
public:
    explicit Workload(WorkloadSettings settings);

    // Next item; no value once the duration is over.
    std::optional<WorkItem> next();

    // Items per second at a time since the start of the run.
    [[nodiscard]] double rateAt(Duration offset) const;

    // Database of a session.
    [[nodiscard]] const DatabaseId& databaseOf(std::size_t session) const;

private:
    void addAppend(WorkItem& item, std::string_view table, Priority priority);
    void addPut(WorkItem& item, std::string_view table);
    void addRead(WorkItem& item, const std::string& key, Priority priority, std::optional<Duration> maxAge);
    void addOwnRead(WorkItem& item, std::string_view table);
    void addForeignRead(WorkItem& item, std::string_view table, Priority priority, Duration maxAge);
    void addBooking(WorkItem& item);
    void fill(WorkItem& item);
    [[nodiscard]] std::string listKey(std::size_t session, std::string_view table, std::uint64_t number) const;
    [[nodiscard]] std::string registerKey(std::size_t session, std::string_view table) const;

    WorkloadSettings settings;
    std::mt19937_64 random;
    std::discrete_distribution<int> shares;
    Duration clock {};
    // Marks written so far, by session and table.
    std::map<std::pair<std::size_t, std::string_view>, std::uint64_t> written;
};

} // namespace endivetrestle
