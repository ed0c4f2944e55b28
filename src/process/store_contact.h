#pragma once

#include "process/table_store.h"

#include <cstdint>
#include <functional>

namespace endivetrestle {

// Callbacks of a StoreContact.
struct StoreContactHooks {
    // The store answers again after a call has had no answer.
    std::function<void()> regained;
    // The store has come back from a copy. Called with the number of the new era before the answer that tells it is
    // passed on.
    std::function<void(std::uint64_t era)> eraChanged;
    // A call has had no answer, or one is answered again after that. May be null.
    std::function<void(bool answered)> answering;
};

// Passes calls on to the store, tells when it answers again after a call has had no answer, and keeps the eras of the
// store apart.
//
// An answer that is lost closes no connection, but nothing arrives there any more. A watch that waits on such a
// connection notices that only at the end of its wait. What happened to other calls meanwhile may tell it earlier.
//
// An answer counts only in the era for which the call was made: versions are given out again when the store comes back
// from a copy, so the same condition may then hold for another row. A change that is answered in another era than that
// of its conditions ends with EraChanged, a watch with HistoryLost, and what arrives late from an earlier era counts as
// not answered.
//
// Example:
//     StoreContact contact(client, { [&] { feed.watchAgain(); }, [&](std::uint64_t era) { fleet.onEraChanged(era); }
//     }); contact.readAll("leases", callback);
class StoreContact : public TableStore {
public:
    // The store must outlive this object.
    StoreContact(TableStore& store, StoreContactHooks hooks);

    void readAll(const std::string& table, Callback callback) override;
    void change(const StoreChange& change, Callback callback) override;
    void watch(const std::string& table, StoreVersion after, Duration wait, Callback callback) override;
    void abandonWatches(const std::string& table) override { this->store.abandonWatches(table); }

    // Newest era that an answer has told; 0 before the first one.
    [[nodiscard]] std::uint64_t era() const { return this->presentEra; }

private:
    // Decides which status an answer of the present era has.
    using Rule = std::function<StoreStatus(const StoreResult&)>;

    [[nodiscard]] Callback observed(Callback callback, Rule rule);
    [[nodiscard]] Callback inPresentEra(Callback callback, Rule rule);
    void takeEra(std::uint64_t era);
    void onCallEnded(bool answered);

    TableStore& store;
    StoreContactHooks hooks;
    std::uint64_t presentEra = 0;
    // Whether a call has had no answer, and none has been answered since.
    bool lost = false;
};

} // namespace endivetrestle
