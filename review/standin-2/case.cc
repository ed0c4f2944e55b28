// The scripted cases of the review. Usage: case NAME RECORD; run in the repository root. TROUBLE=0 leaves out the
// disruption.
#include "scene.h"

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
    for (const auto& run : runsOf(scene)) {
        const auto found = sent.find(run.id);
        if (found == sent.end())
            return verdict(record, true, "UNASKED: a member ran " + run.id + " [" + printable(run.text)
                    + "], whose id no client sent; it was inside the data of another statement");
        if (found->second != run.text)
            return verdict(record, true, "UNASKED: a member ran " + run.id + " with changed text");
    }
    if (!troubled() && runsOf(scene).empty())
        return couldNotRun;
    return verdict(record, false, "no member ran a statement that no client sent");
}

// A member executes a SET and answers FAILED. Another client's statement follows on the same connection.
int runFailedSet(Record& record)
{
    Scene scene(record, 2);
    const bool trouble = troubled();
    scene.service.failsAfterRun
        = [trouble](const std::string&, const std::string& text) { return trouble && text.rfind("SET ", 0) == 0; };
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
            return verdict(record, true, "PINNED: " + run.id + " ran with "
                    + (run.values.empty() ? "no session value" : "tenant=" + run.values.at("tenant"))
                    + ", which was not acknowledged to its client");
    }
    if (runsOf(scene).empty())
        return couldNotRun;
    return verdict(record, false, "all statements ran with the values of their sessions");
}

// Clients begin a transaction, send statements in a row and do not read the answers.
int runUnreadAnswers(Record& record)
{
    Scene scene(record, 2);
    scene.transactionIdleMs = 1500;
    if (!scene.start())
        return couldNotRun;
    constexpr int clients = 8;
    const bool trouble = troubled();
    std::vector<std::thread> threads;
    for (int i = 0; i < clients; ++i) {
        threads.emplace_back([&, i] {
            Client client("c" + std::to_string(i), record);
            if (!client.start(scene.frontend(0), "shop-primary"))
                return;
            client.query("t" + std::to_string(i), "BEGIN");
            std::string block;
            for (int n = 0; n < 1000; ++n)
                block += "QUERY q SET a " + std::to_string(n) + "\r\n";
            const int blocks = trouble ? 4000 : 1;
            std::size_t sent = 0;
            for (int n = 0; n < blocks && client.send(block, false); ++n)
                sent += block.size();
            record.line("c" + std::to_string(i) + " has sent " + std::to_string(sent) + " bytes of SET and read nothing");
            client.close();
        });
    }
    // Ordinary clients come and go meanwhile.
    bool lost = false;
    const auto until = std::chrono::steady_clock::now() + std::chrono::seconds(25);
    for (int n = 0; std::chrono::steady_clock::now() < until && scene.countEnded() == 0; ++n) {
        Client client("o" + std::to_string(n), record);
        lost = !client.start(scene.frontend(0), "shop-primary") || client.query("o" + std::to_string(n), "BEGIN").empty();
        client.query("p" + std::to_string(n), "READ 1a4");
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    for (auto& thread : threads)
        thread.join();
    const int ended = scene.countEnded();
    return verdict(record, ended > 0, "daemons that ended by themselves: " + std::to_string(ended) + (lost ? " (last client unserved)" : ""));
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
    if (name == "unread-answers")
        return review::runUnreadAnswers(record);
    std::cerr << "unknown case\n";
    return review::couldNotRun;
}
