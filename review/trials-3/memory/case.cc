// Clients run processes out of memory: one session that prepares large statements, and a crowd that stops half-way in a
// message.
#include "review/standins-3.h"

using namespace review;

namespace {

constexpr int daemonsCount = 4;
constexpr std::size_t messageBytes = 900'000;
// Messages of the one session, and sessions of the crowd.
constexpr int messages = 350;
constexpr int crowd = 350;
// A day counts 0 if processes of two machines end by themselves three times; memory over the limit counts.
constexpr int endsWanted = 3;

// One session prepares statements under names of its own; with no trouble, all under the same name.
void prepareLarge(Daemon& daemon, Record& record)
{
    Client client(daemon.ip, "orders");
    const std::string shape(messageBytes, 'q');
    int answered = 0;
    for (int i = 0; i < messages && daemon.residentMb() <= Daemon::memoryMb; ++i) {
        const auto name = "s" + std::to_string(troubleWanted() ? i : 0);
        if (!client.ask("PREPARE " + name + " READ " + shape, 20'000).succeeded())
            break;
        ++answered;
    }
    char text[160];
    std::snprintf(text, sizeof text, "one session at %s prepared %d statements of %zu bytes: %.0f of %d MB",
        daemon.ip.c_str(), answered, messageBytes, daemon.residentMb(), Daemon::memoryMb);
    record.line(text);
}

// Sessions send a message but for its end; with no trouble, they finish it and leave.
void stopHalfWay(Daemon& daemon, Record& record)
{
    std::vector<std::unique_ptr<Client>> clients;
    int opened = 0;
    for (int i = 0; i < crowd && daemon.residentMb() <= Daemon::memoryMb; ++i) {
        auto client = std::make_unique<Client>(daemon.ip, "orders");
        if (!client->isOpen())
            break;
        ++opened;
        client->stream.sendSome(
            "QUERY " + Client::nextId() + " PREPARE s READ " + std::string(messageBytes, 'q'), 2000);
        if (troubleWanted()) {
            clients.push_back(std::move(client));
            continue;
        }
        client->stream.send("\r\n");
        client->answer();
    }
    sleepMs(300);
    char text[160];
    std::snprintf(text, sizeof text, "%d sessions at %s each sent %zu bytes of a message%s: %.0f of %d MB", opened,
        daemon.ip.c_str(), messageBytes, troubleWanted() ? " and stopped" : "", daemon.residentMb(), Daemon::memoryMb);
    record.line(text);
}

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
    sleepMs(3000);

    const std::vector<std::function<void(Daemon&, Record&)>> crowds { prepareLarge, stopHalfWay };
    std::vector<int> ends(crowds.size(), 0);
    for (int round = 1; round <= endsWanted; ++round) {
        for (std::size_t i = 0; i < crowds.size(); ++i) {
            auto& daemon = *daemons[i];
            crowds[i](daemon, record);
            if (daemon.running() && daemon.residentMb() <= Daemon::memoryMb) {
                const auto answer = Client(daemon.ip, "orders").ask("READ k");
                record.line("an ordinary read at " + daemon.ip + ": " + answer.text());
                continue;
            }
            ++ends[i];
            // The platform kills a process that exceeds its memory.
            if (daemon.running())
                daemon.killNow();
            record.line(
                "the process at " + daemon.ip + " exceeded its memory, " + std::to_string(ends[i]) + " times so far");
            daemon.start();
            if (!waitReady(daemon)) {
                record.line("it did not become ready again");
                Processes::exit(2);
            }
        }
    }
    record.line("ends for lack of memory: " + std::to_string(ends[0]) + " and " + std::to_string(ends[1]));
    Processes::exit(*std::min_element(ends.begin(), ends.end()) >= endsWanted ? 1 : 0);
}
