#include "standin/group_core.h"

#include <catch2/catch.hpp>

#include <random>
#include <set>

using namespace endivetrestle;
using namespace endivetrestle::standin;
using namespace std::chrono_literals;

namespace {

const Time start(100s);
const std::vector<EndpointId> names { EndpointId("a"), EndpointId("b"), EndpointId("c") };

// Random writes, replication with losses, and promotions out of a fenced majority.
class RandomHistory {
public:
    explicit RandomHistory(unsigned seed)
        : random(seed)
    {
    }

    void step()
    {
        const auto kind = this->below(100);
        if (kind == 0)
            this->changePrimary(this->below(4));
        else if (kind < 30)
            this->write(this->below(3));
        else
            this->replicate(this->below(3), this->below(3));
        this->noteHeld();
    }

    // Fences all endpoints but one (none if `spared` is 3) and promotes the one with the highest last position.
    std::size_t changePrimary(std::size_t spared)
    {
        const FenceCall claim { ++this->term, DaemonId("d") };
        std::optional<std::size_t> best;
        for (std::size_t index = 0; index < 3; ++index) {
            if (index == spared)
                continue;
            REQUIRE(this->cores[index].fence(claim, start).granted);
            if (!best || this->cores[index].lastLog() > this->cores[*best].lastLog())
                best = index;
        }
        REQUIRE(this->cores[*best].promote(claim, start).granted);
        return *best;
    }

    std::vector<GroupCore> cores = makeGroup(names, start);
    // Positions of writes that two endpoints held while both were in the term of the write.
    std::map<std::string, Position> held;

private:
    std::size_t below(std::size_t limit)
    {
        return std::uniform_int_distribution<std::size_t>(0, limit - 1)(this->random);
    }

    void write(std::size_t index)
    {
        ExecuteCall call;
        call.kind = ExecuteKind::Write;
        call.requestId = RequestId("r" + std::to_string(this->below(300)));
        call.statement = "append log " + call.requestId.value + ",";
        const auto answer = this->cores[index].execute(1, call, start);
        if (answer.code == ErrorCode::None)
            this->written[call.requestId.value] = answer.position;
    }

    void replicate(std::size_t from, std::size_t to)
    {
        if (from == to)
            return;
        const auto request = this->cores[from].replicationRequest(names[to], 3);
        if (!request || this->below(4) == 0)
            return;
        const auto answer = this->cores[to].onReplication(*request, start);
        this->cores[to].applyUpTo(this->below(this->cores[to].records().size() + 1));
        if (this->below(4) != 0)
            this->cores[from].onReplicationAnswer(answer);
    }

    void noteHeld()
    {
        for (const auto& [requestId, position] : this->written) {
            int holders = 0;
            for (const auto& core : this->cores)
                holders += core.logContains(position) && core.currentTerm() == position.term ? 1 : 0;
            if (holders >= 2)
                this->held[requestId] = position;
        }
    }

    std::mt19937 random;
    std::uint64_t term = 1;
    std::map<std::string, Position> written;
};

std::size_t occurrences(const std::string& text, const std::string& word)
{
    std::size_t count = 0;
    for (auto at = text.find(word); at != std::string::npos; at = text.find(word, at + 1))
        ++count;
    return count;
}

} // namespace

// Guards against the loss or repetition of a write that a majority held in its term, over random failovers, losses and
// repeated sends (I10, I6).
TEST_CASE("GroupCore, keeps every write that a majority held when primaries change at random")
{
    const auto seed = GENERATE(range(1U, 31U));
    CAPTURE(seed);
    RandomHistory history(seed);
    for (int step = 0; step < 1500; ++step)
        history.step();
    REQUIRE(!history.held.empty());
    const auto& primary = history.cores[history.changePrimary(3)];
    const auto log = "," + (primary.table().contains("log") ? primary.table().at("log") : "");
    for (const auto& [requestId, position] : history.held) {
        CAPTURE(requestId, toString(position));
        CHECK(primary.logContains(position));
        CHECK(occurrences(log, "," + requestId + ",") == 1);
    }
}
