#include "process/lease_batch.h"

#include <algorithm>
#include <utility>

namespace endivetrestle {

StoreChange renewalChange(const std::vector<LeaseRenewal>& renewals)
{
    StoreChange change;
    const auto& epoch = renewals.front().row.epochVersion;
    change.conditions.push_back({ fleetTable, toString(EraKey { epoch.era, epochKey }), epoch });
    for (const auto& renewal : renewals) {
        auto row = encodeRow(renewal.row);
        change.conditions.push_back({ leaseTable, row.key, renewal.rowVersion });
        change.writes.push_back(std::move(row));
    }
    return change;
}

LeaseBatch::LeaseBatch(TableStore& store, TimerService& timers)
    : store(store)
    , timers(timers)
{
}

LeaseBatch::~LeaseBatch()
{
    if (this->timer != 0)
        this->timers.cancel(this->timer);
}

void LeaseBatch::add(const LeaseRenewal& renewal, Time now, Callback callback)
{
    const bool fits = std::all_of(this->pending.begin(), this->pending.end(), [&](const Entry& entry) {
        return entry.renewal.row.daemon != renewal.row.daemon
            && entry.renewal.row.epochVersion == renewal.row.epochVersion;
    });
    if (!fits) {
        callback(StoreResult { StoreStatus::Refused });
        return;
    }
    this->pending.push_back({ renewal, std::move(callback) });
    if (this->pending.size() >= maxRenewals) {
        this->flush();
        return;
    }
    const auto latest = now + (renewal.urgent ? urgentWindow : window);
    if (this->timer != 0 && this->flushDue <= latest)
        return;
    if (this->timer != 0)
        this->timers.cancel(this->timer);
    this->flushDue = latest;
    this->timer = this->timers.subscribeAt(latest, [this](Time at) {
        this->timer = 0;
        this->onWindowEnd(at);
    });
}

void LeaseBatch::onWindowEnd(Time now)
{
    if (this->outstandingCalls == 0 || now >= this->flushDue + outstandingCallWait) {
        this->flush();
        return;
    }
    this->timer = this->timers.subscribeAt(this->flushDue + outstandingCallWait, [this](Time) {
        this->timer = 0;
        this->flush();
    });
}

void LeaseBatch::flush()
{
    if (this->timer != 0)
        this->timers.cancel(std::exchange(this->timer, 0));
    std::vector<LeaseRenewal> renewals;
    std::vector<Callback> callbacks;
    for (auto& entry : std::exchange(this->pending, {})) {
        renewals.push_back(entry.renewal);
        callbacks.push_back(std::move(entry.callback));
    }
    ++this->outstandingCalls;
    this->store.change(renewalChange(renewals),
        [this, weak = std::weak_ptr<int>(this->lifetime), callbacks = std::move(callbacks)](const StoreResult& result) {
            if (weak.expired())
                return;
            --this->outstandingCalls;
            for (const auto& callback : callbacks)
                callback(result);
            // A batch that became due in the meantime has waited for this answer.
            if (!weak.expired() && !this->pending.empty() && result.answeredAt >= this->flushDue)
                this->flush();
        });
}

} // namespace endivetrestle
