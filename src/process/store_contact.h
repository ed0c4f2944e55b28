#pragma once

#include "process/table_store.h"

#include <functional>

namespace endivetrestle {

// Passes calls on to the store, and tells when it answers again after a call has had no answer.
//
// An answer that is lost closes no connection, but nothing arrives there any more. A watch may wait for half a minute
// on such a connection. Only what happened to other calls meanwhile tells that the watch may be lost as well.
//
// Example:
//     StoreContact contact(client, [&] { feed.watchAgain(); });
//     contact.readAll("leases", callback);
class StoreContact : public TableStore {
public:
    // The store must outlive this object.
    StoreContact(TableStore& store, std::function<void()> onRegained);

    void readAll(const std::string& table, Callback callback) override;
    void change(const StoreChange& change, Callback callback) override;
    void watch(const std::string& table, std::uint64_t after, Duration wait, Callback callback) override;
    void abandonWatches(const std::string& table) override { this->store.abandonWatches(table); }

private:
    [[nodiscard]] Callback observed(Callback callback);
    void onCallEnded(bool answered);

    TableStore& store;
    std::function<void()> onRegained;
    // Whether a call has had no answer, and none has been answered since.
    bool lost = false;
};

} // namespace endivetrestle
