// One client sends many PREPARE messages ahead on one connection. Ordinary clients of the same process are not served.
#include "review/standins-3.h"

using namespace review;

namespace {

constexpr int daemonsCount = 4;
constexpr int messages = 60'000;
constexpr int watchedMs = 30'000;
// RecoveryS of the site: after the loss of all machines, requests are served again within this time.
constexpr int recoveryMs = 12'000;

} // namespace

int main(int argc, char** argv)
{
    if (argc < 3)
        return 2;
    signal(SIGPIPE, SIG_IGN);
    Processes::limit(112);
    const std::string directory = argv[1];
    Record record(argv[2]);
    const auto network = loopbackNetwork();
    const std::string ip = network + "250";

    Store store(ip, [](const std::string&, const std::string&) { return 409; });
    Service service(ip, "db1", 3);
    service.registerMembers(store);
    store.put("op", "config",
        configuration(1, json::array({ route("orders", "db1", "primary") }), json::array({ serviceEntry("db1") })));

    std::vector<std::unique_ptr<Daemon>> daemons;
    for (int i = 1; i <= daemonsCount; ++i)
        daemons.push_back(std::make_unique<Daemon>(directory, network, i, store.port(), ip));
    for (const auto& daemon : daemons) {
        if (!waitReady(*daemon)) {
            record.line("a daemon did not become ready");
            Processes::exit(2);
        }
    }
    sleepMs(4500);

    auto& daemon = *daemons[0];
    std::atomic<bool> stop { false };
    std::atomic<std::int64_t> lastServedMs { nowMs() };
    std::atomic<std::int64_t> longestMs { 0 };
    std::atomic<int> served { 0 };
    std::atomic<int> unserved { 0 };
    // Ordinary clients: a session each, two seconds for its start as the pages say, and one read.
    std::vector<std::thread> ordinary;
    for (int i = 0; i < 4; ++i) {
        ordinary.emplace_back([&, i] {
            while (!stop) {
                Client client(daemon.ip, "orders");
                const auto answer = client.isOpen() ? client.ask("READ k", 8000) : Answer();
                const auto now = nowMs();
                if (answer.succeeded()) {
                    longestMs = std::max<std::int64_t>(longestMs, now - lastServedMs.exchange(now));
                    ++served;
                } else {
                    ++unserved;
                    record.note("ordinary client " + std::to_string(i) + ": "
                        + (client.isOpen() ? answer.text() : std::string("no READY within 2 s")));
                }
                sleepMs(200);
            }
        });
    }
    sleepMs(2000);
    longestMs = 0;

    Client busy(daemon.ip, "orders");
    std::atomic<int> answered { 0 };
    std::thread reader([&] {
        // The answers are read as they come.
        for (int i = 0; i < messages && !stop; ++i) {
            while (!stop && busy.answer(500).word.empty()) { }
            ++answered;
        }
    });
    const auto start = nowMs();
    std::string text;
    for (int i = 0; i < messages; ++i) {
        // With TROUBLE=0 all messages prepare the same name.
        const auto name = "s" + std::to_string(troubleWanted() ? i : 0);
        text += "QUERY " + Client::nextId() + " PREPARE " + name + " READ q" + std::to_string(i % 100) + "\r\n";
    }
    record.line("one client sends " + std::to_string(messages) + " PREPARE messages, " + std::to_string(text.size())
        + " bytes in all");
    std::thread writer([&] { busy.stream.sendSome(text, 30'000); });
    int notReady = 0;
    for (int second = 0; second < watchedMs / 1000; ++second) {
        sleepMs(1000);
        const bool ready = daemon.ready();
        notReady += ready ? 0 : 1;
        if (second % 5 == 4)
            record.line("after " + std::to_string(nowMs() - start) + " ms: " + std::to_string(answered)
                + " answered, ready " + (ready ? "yes" : "no") + ", ordinary reads served " + std::to_string(served)
                + ", not served " + std::to_string(unserved));
        if (!daemon.running() || (answered == messages && nowMs() - start > 5000))
            break;
    }
    longestMs = std::max<std::int64_t>(longestMs, nowMs() - lastServedMs);
    record.line("longest time in which no ordinary read was served: " + std::to_string(longestMs)
        + " ms; readiness not answered with 200: " + std::to_string(notReady) + " times; process "
        + (daemon.running() ? "runs" : daemon.endText()));
    Processes::exit(longestMs > recoveryMs ? 1 : 0);
}
