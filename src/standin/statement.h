#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace endivetrestle::standin {

// Operations of the stand-in's statement language, one per line:
//     put KEY VALUE      sets a value
//     get KEY            yields the value as a row, or no row
//     add KEY N          adds an integer to a value (0 if absent) and yields the sum as a row
//     append KEY VALUE   appends to a value (empty if absent)
//     del KEY            removes a key
//     count PREFIX       yields the number of keys with a prefix as a row
enum class OperationKind { Put, Get, Add, Append, Del, Count };

struct Operation {
    OperationKind kind = OperationKind::Get;
    std::string key;
    std::string value;
    std::int64_t amount = 0;
};

// Statement text split into its operations.
struct ParsedStatement {
    std::vector<Operation> operations;
    // Whether any operation changes data.
    bool writes = false;
    // What is wrong with the text; empty if it is valid.
    std::string problem;
};

// Splits a text at ';' into operations and each operation at blanks into words. An empty text has no operations.
ParsedStatement parseStatement(std::string_view text);

using Table = std::map<std::string, std::string>;

// Changes of a transaction that is not committed, on top of a table. No value marks a removed key.
using Changes = std::map<std::string, std::optional<std::string>>;

// Result of running a statement.
struct StatementResult {
    // Rows as a JSON array, or empty if there are none.
    std::string rows;
    // Why the statement failed; empty if it ran. A failed statement leaves no changes.
    std::string problem;
};

// Runs a statement on a table with the changes on top, and adds its own changes to them.
StatementResult runStatement(const ParsedStatement& statement, const Table& table, Changes& changes);

// Moves changes into a table.
void mergeChanges(Changes changes, Table& table);

} // namespace endivetrestle::standin
