// A member answers a SET with FAILED, behind a second copy of the answer to an earlier one. The statement that follows
// runs without the value.
#include "review/standins-3.h"

using namespace review;

namespace {

constexpr int daemonsCount = 4;

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
    Service service(ip, "db1", 3);
    std::mutex mutex;
    std::map<std::string, std::string> values;
    service.onRun = [&](const Service::Run& run) {
        const std::lock_guard lock(mutex);
        const auto found = run.values.find("tenant");
        values[run.id] = found == run.values.end() ? "" : found->second;
        record.note(run.member + " ran " + run.id + " " + run.text + " with tenant=" + values[run.id]);
    };
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
    sleepMs(3000);

    int asked = 0;
    int wrong = 0;
    for (const auto& daemon : daemons) {
        Client first(daemon->ip, "orders");
        first.ask("SET tenant one");
        first.ask("READ a");
        Client second(daemon->ip, "orders");
        second.ask("SET tenant two");
        service.failSet = troubleWanted();
        const auto answer = second.ask("READ a");
        ++asked;
        const std::lock_guard lock(mutex);
        const auto held = values[second.lastId];
        record.line("sent " + second.lastId + " READ a with tenant=two to " + daemon->ip + ", answered " + answer.text()
            + "; it ran with tenant=" + held);
        wrong += answer.succeeded() && held != "two" ? 1 : 0;
    }
    record.line("reads " + std::to_string(asked) + ", with other values " + std::to_string(wrong));
    Processes::exit(wrong > 0 ? 1 : 0);
}
