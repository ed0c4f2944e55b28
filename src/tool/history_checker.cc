#include "tool/history_checker.h"

#include <algorithm>
#include <numeric>
#include <set>

namespace endivetrestle {

namespace {

// Violations kept with their events. A fault usually breaks the same invariant many times.
constexpr std::size_t maximumDetails = 100;

bool isWrittenBy(const HistoryEvent& sent, const std::string& key)
{
    return std::any_of(
        sent.writes.begin(), sent.writes.end(), [&](const HistoryMark& mark) { return mark.key == key; });
}

bool isAskedFor(const HistoryEvent& sent, const std::string& key)
{
    return std::find(sent.readKeys.begin(), sent.readKeys.end(), key) != sent.readKeys.end() || isWrittenBy(sent, key);
}

} // namespace

void HistoryChecker::add(const HistoryEvent& event)
{
    switch (event.type) {
    case HistoryEventType::Sent:
        return this->addSent(event);
    case HistoryEventType::Answered:
        return this->addAnswered(event);
    case HistoryEventType::TermStarted:
        return this->addTerm(event.database, event.number, event);
    case HistoryEventType::ConfigurationSeen:
        return this->addConfiguration(event);
    }
}

void HistoryChecker::addSent(const HistoryEvent& event)
{
    this->open[event.operation] = event;
    if (event.writes.empty())
        return;
    Write write;
    write.database = event.database;
    write.session = event.session;
    write.sentAt = event.at;
    write.marks = event.writes;
    for (const auto& mark : event.writes) {
        auto& key = this->keys[mark.key];
        key.database = event.database;
        key.session = event.session;
        key.keyType = event.keyType;
        key.writes[mark.number] = event.operation;
    }
    this->writes.insert_or_assign(event.operation, std::move(write));
}

void HistoryChecker::addAnswered(const HistoryEvent& event)
{
    this->answers += 1;
    const auto sent = this->open.find(event.operation);
    if (sent != this->open.end()) {
        MarkCounts marks;
        for (auto& mark : findMarks(event.rows))
            marks[std::move(mark)] += 1;
        this->checkMarks(sent->second, event, marks);
        if (event.state == OutcomeState::Completed) {
            for (const auto& key : sent->second.readKeys)
                this->checkRead(sent->second, event, key, marks);
        }
    }
    this->answerWrite(event.operation, event);
    if (sent != this->open.end())
        this->open.erase(sent);
}

void HistoryChecker::answerWrite(std::uint64_t operation, const HistoryEvent& answer)
{
    const auto found = this->writes.find(operation);
    if (found == this->writes.end())
        return;
    auto& write = found->second;
    const bool known = write.answeredAt && write.state != OutcomeState::Unknown;
    if (known && answer.state != OutcomeState::Unknown && answer.state != write.state)
        this->report(ViolationKind::DidNotRunRan, "two answers contradict each other",
            { this->sentEvent(operation, write), this->answeredEvent(operation, write), answer });
    if (known)
        return;
    write.answeredAt = answer.at;
    write.state = answer.state;
    write.code = answer.code;
    write.position = answer.position;
    write.servedBy = answer.servedBy;
    if (write.state == OutcomeState::DidNotRun && write.seenIn)
        this->report(ViolationKind::DidNotRunRan, "mark was seen before the answer",
            { this->sentEvent(operation, write), *write.seenIn, answer });
    if (write.state != OutcomeState::Completed)
        return;
    write.seenIn.reset();
    this->checkTerm(operation, write);
    this->addTerm(write.database, write.position.term, this->answeredEvent(operation, write));
}

void HistoryChecker::checkTerm(std::uint64_t operation, const Write& write)
{
    const auto& known = this->terms[write.database];
    const auto later
        = std::find_if(known.rbegin(), known.rend(), [&](const auto& entry) { return entry.second.at < write.sentAt; });
    if (later == known.rend() || write.position.term == 0 || later->first <= write.position.term)
        return;
    this->report(ViolationKind::ReplacedPrimary,
        "acknowledged in term " + std::to_string(write.position.term) + " although term " + std::to_string(later->first)
            + " was known before it was sent",
        { later->second, this->sentEvent(operation, write), this->answeredEvent(operation, write) });
}

void HistoryChecker::addTerm(const DatabaseId& database, std::uint64_t term, const HistoryEvent& event)
{
    auto& known = this->terms[database];
    if (known.empty() || known.back().first < term)
        known.emplace_back(term, event);
}

void HistoryChecker::addConfiguration(const HistoryEvent& event)
{
    const auto [known, isNew] = this->configurations.try_emplace(event.daemon, event);
    if (isNew)
        return;
    if (event.number < known->second.number)
        this->report(ViolationKind::ConfigurationReverted,
            event.daemon.value + " went from version " + std::to_string(known->second.number) + " to "
                + std::to_string(event.number),
            { known->second, event });
    else
        known->second = event;
}

void HistoryChecker::noteSeen(const HistoryMark& mark, const HistoryEvent& sent, const HistoryEvent& answer)
{
    const auto key = this->keys.find(mark.key);
    const auto operation
        = key == this->keys.end() ? decltype(key->second.writes.end()) {} : key->second.writes.find(mark.number);
    if (key == this->keys.end() || operation == key->second.writes.end()) {
        this->report(ViolationKind::CrossedAnswer, "mark " + toString(mark) + " was never written", { sent, answer });
        return;
    }
    auto& write = this->writes.at(operation->second);
    if (operation->second == sent.operation)
        return;
    if (write.answeredAt && write.state == OutcomeState::DidNotRun)
        this->report(ViolationKind::DidNotRunRan, "mark " + toString(mark) + " is in the data",
            { this->sentEvent(operation->second, write), this->answeredEvent(operation->second, write), sent, answer });
    else if (write.state != OutcomeState::Completed && !write.seenIn)
        write.seenIn = std::make_unique<HistoryEvent>(answer);
}

void HistoryChecker::checkMarks(const HistoryEvent& sent, const HistoryEvent& answer, const MarkCounts& marks)
{
    for (const auto& [mark, count] : marks) {
        if (!isAskedFor(sent, mark.key)) {
            this->report(ViolationKind::CrossedAnswer, "answer holds " + toString(mark), { sent, answer });
            continue;
        }
        // The answer to a write may repeat what a read in the same request returned.
        if (count > 1 && !isWrittenBy(sent, mark.key))
            this->report(ViolationKind::DoubledWrite,
                "mark " + toString(mark) + " occurs " + std::to_string(count) + " times", { sent, answer });
        this->noteSeen(mark, sent, answer);
    }
}

std::optional<ViolationKind> HistoryChecker::requirement(const HistoryEvent& sent, const Write& write)
{
    if (!write.answeredAt || write.state != OutcomeState::Completed || *write.answeredAt >= sent.at)
        return std::nullopt;
    if (sent.audit)
        return ViolationKind::LostWrite;
    if (write.session == sent.session)
        return ViolationKind::OwnWriteNotSeen;
    if (sent.maxAge && *write.answeredAt < sent.at - *sent.maxAge)
        return ViolationKind::DataTooOld;
    return std::nullopt;
}

bool HistoryChecker::isUnknownWrite(const Key& key, std::uint64_t number) const
{
    const auto operation = key.writes.find(number);
    return operation != key.writes.end() && this->writes.at(operation->second).state == OutcomeState::Unknown;
}

void HistoryChecker::checkRead(
    const HistoryEvent& sent, const HistoryEvent& answer, const std::string& name, const MarkCounts& marks)
{
    const auto found = this->keys.find(name);
    if (found == this->keys.end())
        return;
    const auto& key = found->second;
    // Marks order by key and number, so those of one key are adjacent.
    const auto above = marks.upper_bound({ name, UINT64_MAX });
    const bool showsAny = above != marks.begin() && std::prev(above)->first.key == name;
    const auto newest = showsAny ? std::prev(above)->first.number : 0;
    const bool isRegister = key.keyType == HistoryKeyType::Register;
    // An unresolved write of a register can take effect late and replace newer values.
    if (isRegister && showsAny && this->isUnknownWrite(key, newest))
        return;
    for (auto entry = key.writes.rbegin(); entry != key.writes.rend(); ++entry) {
        const auto& [number, operation] = *entry;
        const bool present = isRegister ? showsAny && newest >= number : marks.contains({ name, number });
        if (present && isRegister)
            return;
        const auto& write = this->writes.at(operation);
        const auto kind = present ? std::nullopt : requirement(sent, write);
        if (!kind)
            continue;
        this->report(*kind, "mark " + toString(HistoryMark { name, number }) + " is missing",
            { this->sentEvent(operation, write), this->answeredEvent(operation, write), sent, answer });
        if (isRegister)
            return;
    }
}

HistoryEvent HistoryChecker::sentEvent(std::uint64_t operation, const Write& write) const
{
    HistoryEvent event;
    event.type = HistoryEventType::Sent;
    event.at = write.sentAt;
    event.operation = operation;
    event.session = write.session;
    event.database = write.database;
    event.writes = write.marks;
    return event;
}

HistoryEvent HistoryChecker::answeredEvent(std::uint64_t operation, const Write& write) const
{
    HistoryEvent event;
    event.type = HistoryEventType::Answered;
    event.at = write.answeredAt.value_or(write.sentAt);
    event.operation = operation;
    event.session = write.session;
    event.database = write.database;
    event.state = write.state;
    event.code = write.code;
    event.position = write.position;
    event.servedBy = write.servedBy;
    return event;
}

void HistoryChecker::report(ViolationKind kind, std::string detail, std::vector<HistoryEvent> events)
{
    this->counts.at(static_cast<std::size_t>(kind)) += 1;
    if (this->found.size() < maximumDetails)
        this->found.push_back({ kind, std::move(detail), std::move(events) });
}

std::uint64_t HistoryChecker::violationCount() const
{
    return std::accumulate(this->counts.begin(), this->counts.end(), std::uint64_t { 0 });
}

std::uint64_t HistoryChecker::unresolvedWrites() const
{
    return static_cast<std::uint64_t>(std::count_if(this->writes.begin(), this->writes.end(),
        [](const auto& entry) { return entry.second.state == OutcomeState::Unknown; }));
}

std::vector<HistoryChecker::WrittenKey> HistoryChecker::writtenKeys() const
{
    std::vector<WrittenKey> result;
    for (const auto& [name, key] : this->keys)
        result.push_back({ key.database, name, key.session, key.keyType });
    return result;
}

} // namespace endivetrestle
