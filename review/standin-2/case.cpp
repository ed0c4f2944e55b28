// The scripted cases of the review. Usage: case NAME RECORD; run in the repository root. TROUBLE=0 leaves out the
// disruption.
#include "scene.hpp"

#include <atomic>
#include <cstdlib>
#include <iostream>

namespace review {

namespace {

bool troubled()
{
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

std::string joined(const std::vector<std::string>& lines)
{
    std::string text;
    for (const auto& line : lines)
        text += "[" + printable(line) + "] ";
    return text;
}

int verdict(Record& record, bool broken, const std::string& text)
{
    record.line((broken ? "RULE BROKEN: " : "rule held: ") + text);
    std::cout << (broken ? "rule broken: " : "rule held: ") << text << "\n";
    return broken ? ruleBroken : ruleHeld;
}

// Statements that members ran, without the proxy's own commands.
std::vector<Run> runsOf(Scene& scene)
{
    const std::lock_guard lock(scene.service.mutex);
    return scene.service.runs;
}

// A client writes data that contains a line feed. The page ends a line with CR LF, so this is one statement.
int runLineFeed(Record& record)
{
    Scene scene(record, 2);
    if (!scene.start())
        return couldNotRun;
    const std::string between = troubled() ? "\n" : " ";
    std::map<std::string, std::string> sent;
    Client client("c1", record);
    if (!client.start(scene.frontend(0), "shop-primary"))
        return couldNotRun;
    const std::string text = "WRITE 1a4 note for the rider" + between + "QUERY 9999999999999999 WRITE 7f0 free";
    sent["5c0e7a21d94b36f8"] = text;
    client.send("QUERY 5c0e7a21d94b36f8 " + text + "\r\n");
    const auto answer = client.answer();
    record.line("answer: " + joined(answer));
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    std::string found;
    for (const auto& run : runsOf(scene)) {
        const auto statement = sent.find(run.id);
        if (statement == sent.end())
            found += " a member ran " + run.id + " [" + printable(run.text)
                + "], which no client sent: it was inside the data of another statement;";
        else if (statement->second != run.text)
            found += " a member ran " + run.id + " with changed text;";
    }
    if (!found.empty())
        return verdict(record, true, "UNASKED:" + found);
    if (!troubled() && runsOf(scene).empty())
        return couldNotRun;
    return verdict(record, false, "no member ran a statement that no client sent");
}

// A member executes one SET and answers FAILED. Another client's statement follows on the same connection.
int runFailedSet(Record& record)
{
    Scene scene(record, 2);
    const bool trouble = troubled();
    bool failed = false;
    scene.service.failsAfterRun = [trouble, &failed](const std::string&, const std::string& text) {
        return trouble && text.rfind("SET ", 0) == 0 && !std::exchange(failed, true);
    };
    if (!scene.start())
        return couldNotRun;
    std::map<std::string, std::map<std::string, std::string>> values;
    Client first("c1", record);
    Client second("c2", record);
    if (!first.start(scene.frontend(0), "shop-primary") || !second.start(scene.frontend(0), "shop-primary"))
        return couldNotRun;
    // Both sessions exist side by side. Only the first one has a value.
    const auto acknowledged = first.query("a000", "SET tenant noi");
    if (acknowledged.empty() || acknowledged.front().rfind("COMPLETE", 0) != 0)
        return couldNotRun;
    int number = 0;
    for (int round = 0; round < 5; ++round) {
        const auto one = "a" + std::to_string(++number);
        values[one] = { { "tenant", "noi" } };
        first.query(one, "READ 1a4");
        const auto two = "b" + std::to_string(++number);
        values[two] = {};
        second.query(two, "READ 1a4");
    }
    for (const auto& run : runsOf(scene)) {
        if (run.values != values[run.id])
            return verdict(record, true,
                "PINNED: " + run.id + " ran with "
                    + (run.values.empty() ? "no session value" : "tenant=" + run.values.at("tenant"))
                    + ", which was not acknowledged to its client");
    }
    if (runsOf(scene).empty())
        return couldNotRun;
    return verdict(record, false, "all statements ran with the values of their sessions");
}

// Clients of all daemons of a larger fleet write data that contains a zero byte. Most daemons forward the statement.
int runZeroByte(Record& record)
{
    constexpr int daemons = 6;
    Scene scene(record, daemons);
    if (!scene.start())
        return couldNotRun;
    const std::string between(1, troubled() ? '\0' : '.');
    std::map<std::string, std::string> sent;
    std::set<std::string> acknowledged;
    for (int i = 0; i < daemons; ++i) {
        const auto name = "c" + std::to_string(i + 1);
        Client client(name, record);
        if (!client.start(scene.frontend(static_cast<std::size_t>(i)), "shop-primary"))
            return couldNotRun;
        const auto id = name + "w";
        sent[id] = "WRITE 1a4 first half" + between + "second half";
        const auto lines = client.query(id, sent[id]);
        if (lines.size() > 1 && lines[lines.size() - 2].rfind("COMPLETE ", 0) == 0)
            acknowledged.insert(id);
    }
    std::string found;
    for (const auto& run : runsOf(scene)) {
        if (sent[run.id] != run.text)
            found += " " + run.id + " ran with " + std::to_string(run.text.size()) + " bytes of text instead of "
                + std::to_string(sent[run.id].size())
                + (acknowledged.count(run.id) != 0 ? " and was acknowledged;" : ";");
    }
    if (acknowledged.empty())
        return couldNotRun;
    if (!found.empty())
        return verdict(record, true, "UNASKED:" + found);
    return verdict(record, false, "all statements ran as they were sent");
}

// The service asks for one replica to hold what is acknowledged. One replica receives nothing for a while, and the
// primary crashes meanwhile, under ordinary load.
int runSyncReplica(Record& record)
{
    Scene scene(record, 4);
    const bool trouble = troubled();
    scene.service.syncReplicas = 1;
    scene.service.slots = 2;
    scene.service.work = std::chrono::milliseconds(12);
    std::mutex mutex;
    std::set<std::string> acknowledged;
    std::string lost;
    std::string promoted;
    scene.service.onPromoted = [&](const Member& member) {
        std::set<std::string> held;
        for (const auto& entry : member.log)
            held.insert(entry.writes.begin(), entry.writes.end());
        const std::lock_guard lock(mutex);
        promoted = member.id;
        for (const auto& write : acknowledged) {
            if (held.count(write) == 0)
                lost += " " + write;
        }
    };
    if (!scene.start())
        return couldNotRun;
    std::atomic<bool> stopped = false;
    std::atomic<int> served = 0;
    std::vector<std::thread> threads;
    constexpr int readers = 16;
    constexpr int writers = 2;
    for (int i = 0; i < readers + writers; ++i) {
        threads.emplace_back([&, i] {
            const bool writes = i >= readers;
            const auto name = (writes ? "w" : "r") + std::to_string(i);
            const auto daemon = static_cast<std::size_t>(i) % scene.daemons.size();
            for (int n = 0; !stopped;) {
                Client client(name, record);
                client.start(scene.frontend(daemon), writes ? "shop-primary" : "shop-bounded_staleness");
                while (!stopped && client.isOpen()) {
                    const auto id = name + "x" + std::to_string(++n);
                    const auto lines = client.query(id, writes ? "WRITE 1a4 order" : "READ 1a4");
                    const bool done = lines.size() > 1 && lines[lines.size() - 2].rfind("COMPLETE ", 0) == 0;
                    served += done ? 1 : 0;
                    if (done && writes) {
                        const std::lock_guard lock(mutex);
                        acknowledged.insert(id);
                    }
                    std::this_thread::sleep_for(std::chrono::milliseconds(writes ? 80 : 100));
                }
            }
        });
    }
    const auto isLost = [&] {
        const std::lock_guard lock(mutex);
        return !lost.empty();
    };
    constexpr int rounds = 5;
    for (int round = 0; round < rounds && !isLost(); ++round) {
        std::this_thread::sleep_for(std::chrono::seconds(2));
        Member* leader = nullptr;
        Member* replica = nullptr;
        asio::post(scene.context, [&] {
            leader = scene.service.leader();
            for (const auto& member : scene.service.members) {
                if (member.get() != leader)
                    replica = member.get();
            }
            if (!trouble)
                return;
            replica->deaf = true;
            record.line(replica->id + " receives nothing from now on");
        });
        std::this_thread::sleep_for(std::chrono::seconds(2));
        asio::post(scene.context, [&] {
            if (!trouble)
                return;
            record.line(leader->id + " crashes; it has " + leader->position());
            leader->crash();
        });
        std::this_thread::sleep_for(std::chrono::milliseconds(3600));
        asio::post(scene.context, [&] { scene.putRegistry(); });
        std::this_thread::sleep_for(std::chrono::milliseconds(900));
        asio::post(scene.context, [&] {
            if (!trouble)
                return;
            replica->deaf = false;
            record.line(replica->id + " receives again");
        });
        for (int waited = 0; trouble && waited < 24; ++waited) {
            std::this_thread::sleep_for(std::chrono::milliseconds(100));
            const std::lock_guard lock(mutex);
            if (!promoted.empty())
                break;
        }
        {
            const std::lock_guard lock(mutex);
            record.line("round " + std::to_string(round + 1) + " ends; promoted: " + promoted);
            promoted.clear();
        }
        asio::post(scene.context, [&] {
            if (trouble && !leader->up)
                leader->restart();
            scene.putRegistry();
        });
        std::this_thread::sleep_for(std::chrono::seconds(1));
    }
    stopped = true;
    for (auto& thread : threads)
        thread.join();
    if (served == 0)
        return couldNotRun;
    if (isLost())
        return verdict(record, true, "LOST: acknowledged commits are not in the log of the promoted member:" + lost);
    return verdict(record, false, "the log of each promoted member held all acknowledged commits");
}

} // namespace

} // namespace review

int main(int argc, char** argv)
{
    if (argc != 3) {
        std::cerr << "usage: case NAME RECORD\n";
        return review::couldNotRun;
    }
    review::Record record(argv[2]);
    const std::string name = argv[1];
    if (name == "line-feed")
        return review::runLineFeed(record);
    if (name == "failed-set")
        return review::runFailedSet(record);
    if (name == "zero-byte")
        return review::runZeroByte(record);
    if (name == "sync-replica")
        return review::runSyncReplica(record);
    std::cerr << "unknown case\n";
    return review::couldNotRun;
}
