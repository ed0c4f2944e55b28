#include "edge/framing.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <vector>

using namespace endivetrestle;

namespace {

// Lines of bytes that arrive in two parts, cut after the given number of bytes.
std::vector<std::string> linesOf(const std::string& bytes, std::size_t cut)
{
    std::vector<std::string> lines;
    std::string partial;
    for (const auto& part : { bytes.substr(0, cut), bytes.substr(cut) }) {
        partial += part;
        std::string_view input = partial;
        while (const auto line = takeUnit(Framing::Lines, input))
            lines.emplace_back(*line);
        partial = std::string(input);
    }
    lines.push_back(partial);
    return lines;
}

} // namespace

TEST_CASE("Framing, ends a line at CR LF only")
{
    // Guards against data with a line feed that is taken for several lines, so that what follows it runs as another
    // statement (review/8).
    const std::string statement = "QUERY 5c0e WRITE 1a4 note\nQUERY 9999 WRITE 7f0 free";
    const std::vector<std::pair<std::string, std::vector<std::string>>> cases {
        { statement + "\r\nnext\r\n", { statement, "next", "" } },
        { "a\rb\r\n", { "a\rb", "" } },
        { "a\n\r\n", { "a\n", "" } },
        { "a\r\r\nb\r\n", { "a\r", "b", "" } },
        { "\n\r\n\r\n", { "\n", "", "" } },
        { "a\n", { "a\n" } },
        { "a\r", { "a\r" } },
    };
    for (const auto& [bytes, lines] : cases) {
        // The CR may be the last byte of one read and the LF the first of the next one.
        for (std::size_t cut = 0; cut <= bytes.size(); ++cut) {
            CAPTURE(bytes, cut);
            CHECK(linesOf(bytes, cut) == lines);
        }
    }
}

TEST_CASE("Framing, never returns a line that contains CR LF, and returns all other bytes")
{
    rc::prop("lines joined by CR LF are the input", [](const std::vector<std::uint8_t>& choices) {
        std::string bytes;
        for (const auto choice : choices)
            bytes += "\r\nab "[choice % 5];
        std::string joined;
        const auto lines = linesOf(bytes, 0);
        for (const auto& line : lines) {
            RC_ASSERT(line.find("\r\n") == std::string::npos);
            joined += &line == &lines.front() ? line : "\r\n" + line;
        }
        RC_ASSERT(joined == bytes);
    });
}

TEST_CASE("Framing, returns the frames that were encoded")
{
    std::string bytes = encodeFrame("a\r\nb") + encodeFrame("") + encodeFrame(std::string(300, 'x'));
    bytes.pop_back();
    std::string_view input = bytes;
    CHECK(takeUnit(Framing::Lengths, input) == "a\r\nb");
    CHECK(takeUnit(Framing::Lengths, input) == "");
    CHECK_FALSE(takeUnit(Framing::Lengths, input));
}

TEST_CASE("Framing, does not count half a line end as a byte of the line")
{
    CHECK_FALSE(exceedsLimit(Framing::Lines, "abc", 3));
    CHECK_FALSE(exceedsLimit(Framing::Lines, "abc\r", 3));
    CHECK(exceedsLimit(Framing::Lines, "abcd", 3));
    CHECK(exceedsLimit(Framing::Lengths, "abc\r", 3));
}
