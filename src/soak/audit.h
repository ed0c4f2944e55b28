#pragma once

#include "base/clock.h"
#include "base/position.h"
#include "request/statement.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace endivetrestle::soak {

// What a client promises itself of a statement when it sends it.
struct SentStatement {
    std::string group;
    std::string session;
    bool reads = false;
    // Largest age of the data, or none if the read must see everything that was acknowledged before.
    std::optional<Duration> maxStaleness;
    // Last write that the session must see.
    std::optional<Position> ownWrite;
    // Session values acknowledged to the client.
    std::map<std::string, std::string> values;
};

// Order to promote an endpoint, as the platform receives it.
struct PromotionOrderSeen {
    std::string group;
    std::string endpoint;
    std::string holder;
    std::uint64_t token = 0;
};

// Checks the promises of the product from what clients and endpoints see. Positions name records of a group's log; a
// record that a promotion dropped counts as rolled back.
class Audit {
public:
    void onSent(const std::string& id, const SentStatement& statement, Time now);
    // An endpoint runs a statement. `log` is the endpoint's applied position; `contains` tells whether its log holds a
    // position.
    template <typename Contains>
    void onRun(const std::string& id, const std::map<std::string, std::string>& values, const Contains& contains)
    {
        const auto found = this->sent.find(id);
        if (found == this->sent.end()) {
            this->violate("endpoint ran statement " + id + " that no client sent");
            return;
        }
        if (found->second.statement.values != values)
            this->violate("statement " + id + " ran with other session values");
        if (!found->second.statement.reads)
            return;
        for (const auto& required : found->second.required) {
            if (!this->isRolledBack(found->second.statement.group, required) && !contains(required))
                this->violate("read " + id + " missed " + toString(required));
        }
    }
    // A write took effect. `superseded`: at an endpoint that had been replaced already.
    void onCommitted(const std::string& id, const std::string& group, const Position& position, bool superseded);
    // A promotion dropped all positions of the group after the given one.
    void onRolledBack(const std::string& group, const Position& after, std::uint64_t newTerm);
    // A client got its reply. `commits`: the statement was a write or a commit; `refused`: the code promises that
    // nothing is kept. `writes` are the statements whose effect the reply decides.
    void onAcknowledged(const std::string& group, const std::vector<std::string>& writes, Time now);
    void onRefused(const std::vector<std::string>& writes);
    // Position at which a write took effect.
    [[nodiscard]] std::optional<Position> positionOf(const std::string& write) const;
    // A daemon orders a promotion. Tokens never decrease, no two daemons use the same one, and two daemons do not
    // replace the primary of a group in turn while all daemons are in touch with the store.
    void onPromotion(const PromotionOrderSeen& order, bool inTouch, Time now);
    void violate(const std::string& what);

    [[nodiscard]] const std::vector<std::string>& violations() const { return this->found; }
    [[nodiscard]] std::uint64_t acknowledged() const { return this->acknowledgedCount; }
    [[nodiscard]] std::uint64_t checkedReads() const { return this->readCount; }

private:
    struct Sent {
        SentStatement statement;
        std::vector<Position> required;
    };
    struct Commit {
        Position position;
        int count = 0;
        bool superseded = false;
    };
    struct Promoted {
        PromotionOrderSeen order;
        bool inTouch = false;
        Time at;
    };
    struct RollBack {
        Position after;
        std::uint64_t newTerm = 0;
    };

    void checkTurns();
    [[nodiscard]] bool isRolledBack(const std::string& group, const Position& position) const;

    std::map<std::string, Sent> sent;
    std::map<std::string, Commit> commits;
    std::map<std::string, bool> refused;
    std::map<std::string, std::vector<RollBack>> rollBacks;
    // Acknowledged positions of each group with the time of their acknowledgement; positions rise.
    std::map<std::string, std::deque<std::pair<Time, Position>>> acknowledgements;
    // Promotion orders by their arrival; of those with one token the first one.
    std::vector<Promoted> promoted;
    std::uint64_t acknowledgedCount = 0;
    std::uint64_t readCount = 0;
    std::vector<std::string> found;
};

} // namespace endivetrestle::soak
