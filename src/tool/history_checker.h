#pragma once

#include "base/clock.h"
#include "base/identifier.h"
#include "base/outcome.h"
#include "base/position.h"

#include <nlohmann/json.hpp>

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

namespace endivetrestle {

// Text that a write leaves in the data, "KEY#NUMBER.". It names its key, so that an answer to another request is
// recognised, and is unique within the key, so that a write that is missing or was applied twice is recognised. A key
// consists of letters, digits and "/", "-" and "_".
struct HistoryMark {
    std::string key;
    std::uint64_t number = 0;

    bool operator==(const HistoryMark&) const = default;
    bool operator<(const HistoryMark& other) const
    {
        return std::tie(this->key, this->number) < std::tie(other.key, other.number);
    }
};

std::string toString(const HistoryMark& mark);

// All marks in a text in the order of their occurrence, whatever else the text contains.
std::vector<HistoryMark> findMarks(std::string_view text);

// How the writes of a key leave their marks.
enum class HistoryKeyType {
    // Each write appends its mark.
    List,
    // Each write replaces the value. Such a key has a single writer, which counts its marks upwards and sends one write
    // at a time.
    Register,
};

enum class HistoryEventType {
    // A request was sent for the first time.
    Sent,
    // Its answer arrived. A later answer to the same operation, from resolving it, replaces an unknown one.
    Answered,
    // It is known from outside the proxy that a primary of `number` (a term) was appointed for `database`.
    TermStarted,
    // `daemon` reported configuration version `number`.
    ConfigurationSeen,
};

// One event of a history. Only the members named for a type are used.
struct HistoryEvent {
    HistoryEventType type = HistoryEventType::Sent;
    // Times of all events come from the same clock.
    Time at;
    // Sent, Answered: identifies the request or the whole transaction.
    std::uint64_t operation = 0;
    // Sent.
    std::uint64_t session = 0;
    // Sent, TermStarted.
    DatabaseId database;
    // Sent: keys whose values the answer holds.
    std::vector<std::string> readKeys;
    // Sent: marks that the request leaves.
    std::vector<HistoryMark> writes;
    HistoryKeyType keyType = HistoryKeyType::List;
    std::optional<Duration> maxAge;
    // Sent: the read was sent after all other requests had ended, and must show every acknowledged write.
    bool audit = false;
    // Answered.
    OutcomeState state = OutcomeState::Unknown;
    ErrorCode code = ErrorCode::None;
    std::string rows;
    Position position;
    std::string servedBy;
    bool replica = false;
    // ConfigurationSeen.
    DaemonId daemon;
    // TermStarted, ConfigurationSeen.
    std::uint64_t number = 0;
};

// One line that describes an event.
std::string toString(const HistoryEvent& event);

enum class ViolationKind {
    // An acknowledged write is missing from an audit read (I10).
    LostWrite,
    // A mark occurs twice (I6, I10).
    DoubledWrite,
    // The session's own acknowledged write is missing (I1).
    OwnWriteNotSeen,
    // A write that was acknowledged longer ago than the stated age is missing (I11).
    DataTooOld,
    // The answer holds a mark of a key that was not asked for (I4).
    CrossedAnswer,
    // A request reported as "did not run" has left its mark (I5).
    DidNotRunRan,
    // A write that was sent after a newer primary had answered was acknowledged in an older term (I2).
    ReplacedPrimary,
    // A daemon reported an older configuration version than before (I9).
    ConfigurationReverted,
};
inline constexpr std::size_t violationKindCount = 8;

// Lower-case name such as "lost_write".
std::string_view violationKindName(ViolationKind kind);

// One broken invariant with the events that show it, in the order in which they happened.
struct Violation {
    ViolationKind kind = ViolationKind::LostWrite;
    std::string detail;
    std::vector<HistoryEvent> events;
};

nlohmann::json toJson(const Violation& violation);
std::string toString(const Violation& violation);

// Checks a history while it is recorded. Events are added in the order of their times. Answers are judged when they
// arrive, so only writes are kept, about 400 bytes each. Not thread-safe.
//
// Example:
//     HistoryChecker checker;
//     checker.add(sent);
//     checker.add(answered);
//     for (const auto& violation : checker.violations())
//         std::cerr << toString(violation) << "\n";
class HistoryChecker {
public:
    void add(const HistoryEvent& event);

    // Violations found so far, at most 100 in detail; all are counted.
    [[nodiscard]] const std::vector<Violation>& violations() const { return this->found; }
    [[nodiscard]] std::uint64_t violationCount(ViolationKind kind) const
    {
        return this->counts.at(static_cast<std::size_t>(kind));
    }
    [[nodiscard]] std::uint64_t violationCount() const;
    // Answers that were judged.
    [[nodiscard]] std::uint64_t checkedAnswers() const { return this->answers; }
    // Writes whose last known state is unknown.
    [[nodiscard]] std::uint64_t unresolvedWrites() const;
    // Keys written so far with the session that wrote them, for audit reads.
    struct WrittenKey {
        DatabaseId database;
        std::string key;
        std::uint64_t session = 0;
        HistoryKeyType keyType = HistoryKeyType::List;
    };
    [[nodiscard]] std::vector<WrittenKey> writtenKeys() const;

private:
    // One operation that writes, without the texts of its answer.
    struct Write {
        DatabaseId database;
        std::uint64_t session = 0;
        Time sentAt;
        std::vector<HistoryMark> marks;
        std::optional<Time> answeredAt;
        OutcomeState state = OutcomeState::Unknown;
        ErrorCode code = ErrorCode::None;
        Position position;
        std::string servedBy;
        // First answer to another operation that showed one of the marks; released once the write is completed.
        std::unique_ptr<HistoryEvent> seenIn;
    };
    struct Key {
        DatabaseId database;
        std::uint64_t session = 0;
        HistoryKeyType keyType = HistoryKeyType::List;
        // Operation by mark number.
        std::map<std::uint64_t, std::uint64_t> writes;
    };
    using MarkCounts = std::map<HistoryMark, int>;

    void addSent(const HistoryEvent& event);
    void addAnswered(const HistoryEvent& event);
    void addTerm(const DatabaseId& database, std::uint64_t term, const HistoryEvent& event);
    void addConfiguration(const HistoryEvent& event);
    void answerWrite(std::uint64_t operation, const HistoryEvent& answer);
    void checkTerm(std::uint64_t operation, const Write& write);
    void checkMarks(const HistoryEvent& sent, const HistoryEvent& answer, const MarkCounts& marks);
    void noteSeen(const HistoryMark& mark, const HistoryEvent& sent, const HistoryEvent& answer);
    void checkRead(
        const HistoryEvent& sent, const HistoryEvent& answer, const std::string& name, const MarkCounts& marks);
    [[nodiscard]] bool isUnknownWrite(const Key& key, std::uint64_t number) const;
    [[nodiscard]] static std::optional<ViolationKind> requirement(const HistoryEvent& sent, const Write& write);
    [[nodiscard]] HistoryEvent sentEvent(std::uint64_t operation, const Write& write) const;
    [[nodiscard]] HistoryEvent answeredEvent(std::uint64_t operation, const Write& write) const;
    void report(ViolationKind kind, std::string detail, std::vector<HistoryEvent> events);

    std::map<std::string, Key> keys;
    std::map<std::uint64_t, Write> writes;
    // Operations that were sent and not yet answered.
    std::map<std::uint64_t, HistoryEvent> open;
    // By database: events that made a higher term known than all before.
    std::map<DatabaseId, std::vector<std::pair<std::uint64_t, HistoryEvent>>> terms;
    std::map<DaemonId, HistoryEvent> configurations;
    std::vector<Violation> found;
    std::array<std::uint64_t, violationKindCount> counts {};
    std::uint64_t answers = 0;
};

} // namespace endivetrestle
