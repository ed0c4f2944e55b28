#include "soak/standin_group.h"

#include "platform/line_codec.h"

#include <catch2/catch.hpp>

#include <set>

using namespace endivetrestle;
using namespace endivetrestle::soak;

namespace {

// A connection to the primary of a stand-in group.
class MemberConnection {
public:
    MemberConnection()
        : random(1)
        , group(this->context, "g1", this->audit, this->random)
        , member(*this->group.members.front())
    {
        // Commands fail only where a test asks for it.
        this->member.failCommands = 0;
    }

    void connect()
    {
        this->socket = std::make_shared<LineSocket>(asio::ip::tcp::socket(this->context), platform::maxLineBytes);
        this->socket->connect(
            { asio::ip::address_v4::loopback(), this->member.port() },
            [this] { this->socket->write("STARTUP g1 test " + this->member.id + "\r\n"); },
            [this](std::string_view line) {
                this->lines.emplace_back(line);
                return true;
            },
            [] {});
        this->runUntilAnswered(1);
    }

    void send(const std::string& query) { this->socket->write("QUERY " + query + "\r\n"); }
    void runFor(std::chrono::milliseconds duration) { this->context.run_for(duration); }

    // Runs until so many answers have arrived, or for a long time.
    void runUntilAnswered(std::size_t answers)
    {
        constexpr int maxSteps = 1000;
        for (int i = 0; i < maxSteps && this->linesOf("READY").size() < answers; ++i)
            this->runFor(std::chrono::milliseconds(10));
    }

    // Lines that begin with the word, in the order of their arrival.
    [[nodiscard]] std::vector<std::string> linesOf(const std::string& word) const
    {
        std::vector<std::string> result;
        for (const auto& line : this->lines) {
            if (line.rfind(word, 0) == 0)
                result.push_back(line);
        }
        return result;
    }

    asio::io_context context;
    Audit audit;
    std::mt19937_64 random;
    StandinGroup group;
    StandinMember& member;
    std::shared_ptr<LineSocket> socket;
    std::vector<std::string> lines;
};

} // namespace

// Guards against a soak that cannot see an answer which is taken for another statement's.
TEST_CASE("StandinMember, sends answers of every kind twice and byte for byte")
{
    MemberConnection connection;
    connection.member.answerTwice = 1;
    connection.connect();
    const std::vector<std::string> queries { "- RESET", "- SET a 1", "- PREPARE p READ q", "- BEGIN", "- ROLLBACK",
        "- STATUS", "- DEMOTE 0", "- EXECUTE unknown 1", "a EXECUTE p 1", "b READ 1", "c COMMIT" };
    for (const auto& query : queries)
        connection.send(query);
    // The first answer is the one to the start of the session.
    const auto answers = 2 * (queries.size() + 1);
    connection.runUntilAnswered(answers);
    connection.runFor(std::chrono::milliseconds(50));
    CHECK(connection.linesOf("READY").size() == answers);
    std::map<std::string, int> counts;
    for (const auto& line : connection.lines)
        ++counts[line];
    for (const auto& [line, count] : counts) {
        INFO(line);
        CHECK(count % 2 == 0);
    }
}

TEST_CASE("StandinMember, sends no answer twice on its own account")
{
    MemberConnection connection;
    connection.connect();
    for (int i = 0; i < 20; ++i)
        connection.send("- STATUS");
    connection.runUntilAnswered(21);
    connection.runFor(std::chrono::milliseconds(600));
    CHECK(connection.linesOf("READY").size() == 21);
}

// Guards against a soak that finds faults which members that keep the order never cause.
TEST_CASE("StandinMember, runs the requests of a connection in their order")
{
    MemberConnection connection;
    connection.connect();
    std::vector<std::string> expected { "READY I 1.0" };
    for (int i = 0; i < 20; ++i) {
        connection.send("- BEGIN");
        connection.send("- ROLLBACK");
        expected.insert(expected.end(), { "READY T 1.0", "READY I 1.0" });
    }
    connection.runUntilAnswered(expected.size());
    CHECK(connection.linesOf("READY") == expected);
}

// Guards against a second run that the audit takes for the first one.
TEST_CASE("StandinMember, signs each run of a statement anew")
{
    MemberConnection connection;
    connection.connect();
    for (int i = 0; i < 20; ++i)
        connection.send("a READ 1");
    connection.runUntilAnswered(21);
    const auto signatures = connection.linesOf("COMPLETE");
    CHECK(signatures.size() > 10);
    CHECK(std::set<std::string>(signatures.begin(), signatures.end()).size() == signatures.size());
}

TEST_CASE("StandinMember, answers commands as failed with and without their effect")
{
    MemberConnection connection;
    connection.member.failCommands = 1;
    connection.connect();
    for (int i = 0; i < 40; ++i) {
        connection.send("- PREPARE p" + std::to_string(i) + " READ q");
        connection.send("a EXECUTE p" + std::to_string(i) + " 1");
    }
    connection.runUntilAnswered(81);
    CHECK(connection.linesOf("ERROR FAILED").size() == 40);
    CHECK(connection.linesOf("ERROR NOSTMT").size() > 5);
    CHECK(connection.linesOf("COMPLETE").size() > 5);
}
