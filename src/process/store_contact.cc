#include "process/store_contact.h"

#include "base/log.h"

#include <utility>

namespace endivetrestle {

StoreContact::StoreContact(TableStore& store, std::function<void()> onRegained)
    : store(store)
    , onRegained(std::move(onRegained))
{
}

TableStore::Callback StoreContact::observed(Callback callback)
{
    return [this, callback = std::move(callback)](const StoreResult& result) {
        const bool answered = result.answered;
        callback(result);
        this->onCallEnded(answered);
    };
}

void StoreContact::onCallEnded(bool answered)
{
    if (answered != this->lost)
        return;
    this->lost = !answered;
    logEvent(LogLevel::Info, answered ? "store_answers_again" : "store_call_unanswered", {});
    if (answered)
        this->onRegained();
}

void StoreContact::readAll(const std::string& table, Callback callback)
{
    this->store.readAll(table, this->observed(std::move(callback)));
}

void StoreContact::change(const StoreChange& change, Callback callback)
{
    this->store.change(change, this->observed(std::move(callback)));
}

// A watch that waits tells its owner itself when it ends.
void StoreContact::watch(const std::string& table, std::uint64_t after, Duration wait, Callback callback)
{
    this->store.watch(
        table, after, wait, wait == Duration::zero() ? this->observed(std::move(callback)) : std::move(callback));
}

} // namespace endivetrestle
