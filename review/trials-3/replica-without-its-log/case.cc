// Acknowledged commits of a service with SyncReplicas 1. One replica receives nothing for a while, the other one starts
// again and holds nothing of before, and the primary crashes while that one receives the log anew. The primary comes
// back with its log.
#include "review/standins-3.h"

#include <set>

using namespace review;

namespace {

constexpr int writers = 6;
constexpr int daemonsCount = 4;
constexpr int replicaDownMs = 1000;
constexpr int crashAfterMs = 300;
constexpr int primaryDownMs = 6900;
constexpr int deafMs = 6400;
// Three heartbeats of 1,200 ms after which a silent member's entry is removed, less the age of its last heartbeat.
constexpr int lapseMs = 3000;

} // namespace

int main(int argc, char** argv)
{
    if (argc < 3)
        return 2;
    signal(SIGPIPE, SIG_IGN);
    Processes::limit(110);
    const std::string directory = argv[1];
    Record record(argv[2]);
    const auto network = loopbackNetwork();
    const std::string ip = network + "250";

    Service service(ip, "db1", 3);
    Store store(ip, [&](const std::string& name, const std::string& id) {
        const int status = service.promote(id);
        record.line("POST /promote " + name + " " + id + " -> " + std::to_string(status));
        return status;
    });
    service.syncReplicas = 1;
    service.lagMs = 20;
    service.slowReplica = 2;

    std::mutex mutex;
    std::vector<std::string> acknowledged;
    std::size_t missing = 0;
    service.onRun = [&](const Service::Run& run) { record.note("ran " + run.id + " at " + run.member); };
    service.onPromoted = [&](const std::string& id, const std::vector<Service::Commit>& log) {
        const std::lock_guard lock(mutex);
        std::set<std::string> held;
        for (const auto& commit : log)
            held.insert(commit.id);
        std::size_t lacking = 0;
        for (const auto& write : acknowledged) {
            if (held.count(write) == 0) {
                ++lacking;
                record.note("acknowledged and not in the log of " + id + ": " + write);
            }
        }
        missing += lacking;
        record.line(id + " leads with " + std::to_string(log.size()) + " commits; of "
            + std::to_string(acknowledged.size()) + " acknowledged ones " + std::to_string(lacking) + " are missing");
    };
    service.registerMembers(store);
    store.put("op", "config",
        configuration(
            1, json::array({ route("orders", "db1", "primary") }), json::array({ serviceEntry("db1", 16, 1) })));

    std::vector<std::unique_ptr<Daemon>> daemons;
    for (int i = 1; i <= daemonsCount; ++i)
        daemons.push_back(std::make_unique<Daemon>(directory, network, i, store.port(), ip));
    for (const auto& daemon : daemons) {
        if (!waitReady(*daemon)) {
            record.line("a daemon did not become ready");
            Processes::exit(2);
        }
    }
    sleepMs(3000);

    std::atomic<bool> stop { false };
    std::vector<std::thread> threads;
    for (int i = 0; i < writers; ++i) {
        threads.emplace_back([&, i] {
            std::optional<Client> client;
            for (int n = 1; !stop; ++n) {
                if (!client)
                    client.emplace(daemons[static_cast<std::size_t>(i % daemonsCount)]->ip, "orders");
                if (!client->isOpen()) {
                    client.reset();
                    sleepMs(100);
                    continue;
                }
                const auto answer = client->ask("WRITE k" + std::to_string(i) + " v" + std::to_string(n));
                {
                    const std::lock_guard lock(mutex);
                    record.note("sent " + client->lastId + ", answered " + answer.text());
                    if (answer.succeeded())
                        acknowledged.push_back(client->lastId);
                }
                if (answer.word.empty())
                    client.reset();
                sleepMs(40);
            }
        });
    }
    sleepMs(2000);

    if (troubleWanted()) {
        const auto from = nowMs();
        const auto waitUntil
            = [from](int ms) { sleepMs(static_cast<int>(std::max<std::int64_t>(0, from + ms - nowMs()))); };
        record.line("one replica receives nothing");
        service.slowLagMs = 1'000'000;
        waitUntil(1500);
        record.line("the other replica ends");
        service.crash(1);
        waitUntil(1500 + replicaDownMs);
        service.commitsPerTick = 1;
        // KEEP_LOG=1 lets it come back with its log: nothing is lost then.
        if (std::getenv("KEEP_LOG") == nullptr) {
            service.restartEmpty(1);
            record.line("it starts again and holds nothing");
        } else
            service.restart(1);
        constexpr int crashAt = 1500 + replicaDownMs + crashAfterMs;
        waitUntil(crashAt);
        service.crash(0);
        record.line("the primary crashes");
        waitUntil(crashAt + lapseMs);
        service.lapse(0);
        waitUntil(deafMs);
        service.slowLagMs = 0;
        waitUntil(crashAt + primaryDownMs);
        service.restart(0);
        record.line("the primary is back with its log");
    }
    sleepMs(8000);
    stop = true;
    for (auto& thread : threads)
        thread.join();
    record.line("acknowledged " + std::to_string(acknowledged.size()) + ", lost " + std::to_string(missing));
    if (acknowledged.empty())
        Processes::exit(2);
    Processes::exit(missing > 0 ? 1 : 0);
}
