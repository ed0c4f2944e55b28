#pragma once

#include "tool/caller_client.h"
#include "tool/load.h"
#include "tool/raw_sender.h"

#include <deque>
#include <optional>
#include <random>
#include <set>

namespace endivetrestle::internal {

// One run of a load on an event loop. Internal to runLoadTest().
class LoadRun {
public:
    LoadRun(kj::AsyncIoContext& io, const LoadSettings& settings);

    LoadResult run();

private:
    struct Session {
        std::deque<WorkItem> waiting;
        bool busy = false;
        std::string token;
    };
    // An item from its first request to its last answer.
    struct Activity {
        WorkItem item;
        std::uint64_t operation = 0;
        // Calls sent so far, part of the request ids.
        std::uint64_t calls = 0;
        // Rows of the statements of a transaction so far.
        std::string rows;
        TransactionId transaction;
        // Request id by which an unknown outcome is resolved.
        RequestId resolvable;
        bool wasUnknown = false;
        Time resolveUntil;
    };

    kj::Promise<void> dispatchItems();
    void dispatch(WorkItem item);
    kj::Promise<void> reportProgress();
    [[nodiscard]] std::string progressLine() const;
    kj::Promise<void> waitUntilIdle();
    kj::Promise<void> auditAll();
    kj::Promise<void> auditNext();
    kj::Promise<void> auditKey(HistoryChecker::WrittenKey key, int attemptsLeft);
    void startNext(std::size_t session);
    kj::Promise<void> perform(Activity& activity);
    kj::Promise<CallerAnswer> single(Activity& activity);
    kj::Promise<CallerAnswer> transaction(Activity& activity);
    kj::Promise<CallerAnswer> statements(Activity& activity, std::size_t next);
    kj::Promise<CallerAnswer> commit(Activity& activity);
    kj::Promise<CallerAnswer> abandon(Activity& activity, CallerAnswer answer);
    kj::Promise<CallerAnswer> call(Activity& activity, CallerCall call);
    kj::Promise<void> finish(Activity& activity, CallerAnswer answer);
    kj::Promise<void> resolve(Activity& activity);
    void recordSent(const Activity& activity);
    void recordAnswered(std::uint64_t operation, const CallerAnswer& answer);
    void count(const Activity& activity, const CallerAnswer& answer);
    void countWriteGap(const Activity& activity, Time now);
    void countPoint(bool completed, Duration latency);
    void closePoint();
    kj::Promise<CallerAnswer> send(std::size_t session, CallerCall call);

    kj::AsyncIoContext& io;
    kj::Timer& timer;
    const LoadSettings& settings;
    CallerClient client;
    RawSender rawSender;
    Workload workload;
    HistoryChecker checker;
    LoadResult result;
    std::mt19937_64 random;
    std::vector<Session> sessions;
    std::uint64_t lastOperation = 0;
    std::size_t activeSessions = 0;
    std::optional<WorkItem> upcoming;
    Time start;
    std::map<DatabaseId, Time> lastWrite;
    std::int64_t pointSecond = 0;
    LoadPoint point;
    LatencyHistogram pointLatency;
    std::vector<HistoryChecker::WrittenKey> auditKeys;
    // Set while the audit runs.
    std::optional<Time> auditUntil;

    // Ends the promises of all sessions before the members that they use.
    class Failures : public kj::TaskSet::ErrorHandler {
    public:
        void taskFailed(kj::Exception&& exception) override;
    };
    Failures failures;
    kj::TaskSet tasks;
};

} // namespace endivetrestle::internal
