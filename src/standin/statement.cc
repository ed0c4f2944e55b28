#include "standin/statement.h"

#include <nlohmann/json.hpp>

#include <charconv>
#include <utility>

namespace endivetrestle::standin {

namespace {

struct Form {
    std::string_view name;
    OperationKind kind;
    std::size_t words;
    bool writes;
};

constexpr Form forms[] = {
    { "put", OperationKind::Put, 3, true },
    { "get", OperationKind::Get, 2, false },
    { "add", OperationKind::Add, 3, true },
    { "append", OperationKind::Append, 3, true },
    { "del", OperationKind::Del, 2, true },
    { "count", OperationKind::Count, 2, false },
};

std::vector<std::string_view> splitWords(std::string_view text)
{
    std::vector<std::string_view> words;
    while (true) {
        const auto start = text.find_first_not_of(" \t\r\n");
        if (start == std::string_view::npos)
            return words;
        text.remove_prefix(start);
        const auto end = std::min(text.find_first_of(" \t\r\n"), text.size());
        words.push_back(text.substr(0, end));
        text.remove_prefix(end);
    }
}

bool parseInteger(std::string_view text, std::int64_t& result)
{
    const auto* const end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, result);
    return parsed.ec == std::errc() && parsed.ptr == end;
}

const Form* findForm(std::string_view name)
{
    for (const auto& form : forms) {
        if (form.name == name)
            return &form;
    }
    return nullptr;
}

void parseOperation(const std::vector<std::string_view>& words, ParsedStatement& result)
{
    const auto* form = findForm(words[0]);
    if (!form || words.size() != form->words) {
        result.problem = "not an operation: " + std::string(words[0]);
        return;
    }
    Operation operation { form->kind, std::string(words[1]), words.size() > 2 ? std::string(words[2]) : "", 0 };
    if (operation.kind == OperationKind::Add && !parseInteger(words[2], operation.amount)) {
        result.problem = "not an integer: " + operation.value;
        return;
    }
    result.writes = result.writes || form->writes;
    result.operations.push_back(std::move(operation));
}

// Runs the operations of one statement.
class Run {
public:
    Run(const Table& table, Changes& changes)
        : table(table)
        , changes(changes)
    {
    }

    void operate(const Operation& operation)
    {
        switch (operation.kind) {
        case OperationKind::Put:
            this->changes[operation.key] = operation.value;
            return;
        case OperationKind::Get:
            if (const auto* value = this->find(operation.key))
                this->row(*value);
            return;
        case OperationKind::Add:
            this->add(operation);
            return;
        case OperationKind::Append: {
            const auto* value = this->find(operation.key);
            this->changes[operation.key] = (value ? *value : "") + operation.value;
            return;
        }
        case OperationKind::Del:
            this->changes[operation.key] = std::nullopt;
            return;
        case OperationKind::Count:
            this->row(std::to_string(this->count(operation.key)));
            return;
        }
    }

    StatementResult finish()
    {
        if (!this->result.rows.empty())
            this->result.rows += ']';
        return std::move(this->result);
    }

    [[nodiscard]] bool failed() const { return !this->result.problem.empty(); }

private:
    [[nodiscard]] const std::string* find(const std::string& key) const
    {
        const auto change = this->changes.find(key);
        if (change != this->changes.end())
            return change->second ? &*change->second : nullptr;
        const auto found = this->table.find(key);
        return found == this->table.end() ? nullptr : &found->second;
    }

    void add(const Operation& operation)
    {
        const auto* value = this->find(operation.key);
        std::int64_t current = 0;
        std::int64_t sum = 0;
        if ((value && !parseInteger(*value, current)) || __builtin_add_overflow(current, operation.amount, &sum)) {
            this->result.problem = "not an integer or out of range: " + operation.key;
            return;
        }
        this->changes[operation.key] = std::to_string(sum);
        this->row(std::to_string(sum));
    }

    [[nodiscard]] std::size_t count(const std::string& prefix) const
    {
        std::size_t total = 0;
        for (auto row = this->table.lower_bound(prefix); row != this->table.end() && row->first.starts_with(prefix);
             ++row)
            total += this->changes.count(row->first) == 0 ? 1 : 0;
        for (auto change = this->changes.lower_bound(prefix);
             change != this->changes.end() && change->first.starts_with(prefix); ++change)
            total += change->second ? 1 : 0;
        return total;
    }

    void row(const std::string& value)
    {
        this->result.rows += this->result.rows.empty() ? '[' : ',';
        this->result.rows += nlohmann::json(value).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    }

    const Table& table;
    Changes& changes;
    StatementResult result;
};

} // namespace

ParsedStatement parseStatement(std::string_view text)
{
    ParsedStatement result;
    while (!text.empty() && result.problem.empty()) {
        const auto end = std::min(text.find(';'), text.size());
        const auto words = splitWords(text.substr(0, end));
        if (!words.empty())
            parseOperation(words, result);
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return result;
}

StatementResult runStatement(const ParsedStatement& statement, const Table& table, Changes& changes)
{
    if (!statement.problem.empty())
        return { {}, statement.problem };
    // The changes of a failed statement are dropped, so they are collected apart if others exist already.
    Changes own = changes;
    Run run(table, own);
    for (const auto& operation : statement.operations) {
        run.operate(operation);
        if (run.failed())
            return { {}, run.finish().problem };
    }
    changes = std::move(own);
    return run.finish();
}

void mergeChanges(Changes changes, Table& table)
{
    for (auto& [key, value] : changes) {
        if (value)
            table[key] = std::move(*value);
        else
            table.erase(key);
    }
}

} // namespace endivetrestle::standin
