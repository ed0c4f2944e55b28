// A session on a read_your_writes route reads back its own write, while the route is moved to another service and back
// and the replicas are behind.
#include "review/standins-3.h"

using namespace review;

namespace {

constexpr int daemonsCount = 4;
constexpr int rounds = 5;
// Replicas that are 20 ms behind usually, 50 times as late.
constexpr int lagMs = 1000;
// Time between two configurations.
constexpr int configurationGapMs = 330;
constexpr int stalenessMs = 2500;

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

    Store store(ip, [](const std::string&, const std::string&) { return 409; });
    Service first(ip, "db1", 3);
    Service second(ip, "db2", 3);
    for (auto* service : { &first, &second }) {
        service->registerMembers(store);
        service->onRun = [&](const Service::Run& run) { record.note("ran " + run.id + " at " + run.member); };
    }
    int version = 0;
    const auto routeTo = [&](const std::string& service) {
        version += 3;
        store.put("op", "config",
            configuration(version,
                json::array({ route("stock", service, "read_your_writes", 800, stalenessMs),
                    route("orders", "db1", "primary") }),
                json::array({ serviceEntry("db1"), serviceEntry("db2") })));
        record.line("configuration " + std::to_string(version) + ": stock is served by " + service);
    };
    routeTo("db1");

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
    first.lagMs = second.lagMs = lagMs;

    int stale = 0;
    int read = 0;
    for (int round = 1; round <= rounds; ++round) {
        // A session of its own, so that its statements are all of one client connection.
        Client client(daemons[0]->ip, "stock");
        Client other(daemons[0]->ip, "orders");
        // Ordinary traffic, from which the daemon learns positions of the primary.
        for (int i = 0; i < 15; ++i) {
            other.ask("READ z");
            client.ask("READ z");
            sleepMs(100);
        }
        const auto value = "v" + std::to_string(round);
        const auto ask = [&](const std::string& text) {
            const auto answer = client.ask(text);
            record.line("session " + std::to_string(round) + " sent " + client.lastId + " " + text + ", answered "
                + answer.text() + (answer.row.empty() ? "" : ", row " + answer.row));
            return answer;
        };
        if (!ask("WRITE item " + value).succeeded())
            continue;
        const auto writtenAt = nowMs();
        if (troubleWanted()) {
            routeTo("db2");
            sleepMs(configurationGapMs);
        }
        ask("WRITE other " + value);
        if (troubleWanted()) {
            routeTo("db1");
            sleepMs(configurationGapMs);
        }
        const auto answer = ask("READ item");
        if (answer.succeeded()) {
            ++read;
            if (answer.row != value) {
                ++stale;
                record.line("STALE: the read, sent " + std::to_string(nowMs() - writtenAt)
                    + " ms after the session's own write was acknowledged, ran on a log without it");
            }
        }
        sleepMs(1500);
    }
    record.line("reads " + std::to_string(read) + ", stale " + std::to_string(stale));
    if (read == 0)
        Processes::exit(2);
    Processes::exit(stale > 0 ? 1 : 0);
}
