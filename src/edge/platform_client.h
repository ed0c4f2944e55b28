#pragma once

#include "base/clock.h"
#include "base/outcome.h"

#include <kj/async-io.h>
#include <kj/timer.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace endivetrestle {

// Answer of the platform, or the reason for which there is none. StoreUnavailable: no answer arrived in time or the
// service refused; an operation that writes may still have taken effect. AnswerMismatch: malformed answer.
template <typename Answer> struct StoreResult {
    ErrorCode error = ErrorCode::None;
    Answer answer {};
    std::string detail;
};

// One row of the table service.
struct TableRow {
    std::string key;
    std::string value;
    // Counts the changes of the row from 1. 0 is the revision of a row that does not exist.
    std::uint64_t revision = 0;
    // Operation id of the put that made this revision.
    std::string operationId;

    bool operator==(const TableRow&) const = default;
};

// A put that takes effect only if the row's revision is the expected one.
struct TablePut {
    std::string key;
    std::string value;
    // 0 requires that the row does not exist.
    std::uint64_t expectedRevision = 0;
    // Unique per operation. A repeated id returns the first result, so a put may be sent again after a lost answer.
    std::string operationId;

    bool operator==(const TablePut&) const = default;
};

// Result of a put.
struct TablePutAnswer {
    bool applied = false;
    // Revision made by this operation if it was applied, else the row's current revision.
    std::uint64_t revision = 0;

    bool operator==(const TablePutAnswer&) const = default;
};

// The platform's transactional table service.
class TableService {
public:
    virtual ~TableService() noexcept(false) = default;
    // No value if the row does not exist.
    virtual kj::Promise<StoreResult<std::optional<TableRow>>> get(std::string key) = 0;
    // Rows whose key starts with the prefix, in order of keys.
    virtual kj::Promise<StoreResult<std::vector<TableRow>>> list(std::string prefix) = 0;
    virtual kj::Promise<StoreResult<TablePutAnswer>> put(TablePut put) = 0;
};

// The platform's store of immutable objects.
class ObjectStore {
public:
    virtual ~ObjectStore() noexcept(false) = default;
    // True if the store holds exactly this content under the name afterwards; false if the name holds other content.
    virtual kj::Promise<StoreResult<bool>> put(std::string name, std::string content) = 0;
    // No value if there is no such object.
    virtual kj::Promise<StoreResult<std::optional<std::string>>> get(std::string name) = 0;
};

// State of a host in the platform's list.
enum class HostState { Live, Leaving };

// One host of the platform's list.
struct ListedHost {
    std::string host;
    // Numeric "address:port" of the process on that host.
    std::string address;
    HostState state = HostState::Live;
    // Place of the host; empty if the platform does not tell.
    std::string dataCentre;
    std::string region;

    bool operator==(const ListedHost&) const = default;
};

// The platform's list of live and leaving hosts, which lags behind the actual state.
class LiveList {
public:
    virtual ~LiveList() noexcept(false) = default;
    virtual kj::Promise<StoreResult<std::vector<ListedHost>>> hosts() = 0;
};

struct PlatformOptions {
    // Numeric "address:port" of the platform service.
    std::string address;
    std::string daemon;
    std::string dataCentre;
    // Time for one operation, including the connection if one must be opened.
    Duration timeout = std::chrono::seconds(2);
    std::size_t bodyLimit = std::size_t { 8 } << 20;
};

// HTTP/1.1 and JSON implementations. Each call uses an idle connection or opens one; a failed call is never sent again.
// The network and the timer must outlive the client, and the client must outlive its calls.
kj::Own<TableService> newTableService(kj::Network& network, kj::Timer& timer, PlatformOptions options);
kj::Own<ObjectStore> newObjectStore(kj::Network& network, kj::Timer& timer, PlatformOptions options);
kj::Own<LiveList> newLiveList(kj::Network& network, kj::Timer& timer, PlatformOptions options);

} // namespace endivetrestle
