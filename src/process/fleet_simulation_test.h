#pragma once

#include "process/fleet_controller.h"
#include "process/simulated_tables_test.h"
#include "process/store_contact.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace endivetrestle {

// Deterministic simulation for tests of the fleet controller: several daemons, the store, the promotion service and the
// database groups, all on virtual time. Faults are injected through public members. The simulation checks three safety
// rules after every event: no daemon uses an endpoint other than the leader, promotion tokens never decrease, and no
// two daemons order with the same token. It collects violations instead of asserting, so that a test can print the seed
// and the step.
class FleetSimulation {
public:
    // Each group has three endpoints of its own, of which the first one is the primary.
    explicit FleetSimulation(std::size_t daemonCount, std::uint64_t seed = 1, std::size_t groupCount = 1)
        : random(seed)
        , groupCount(groupCount)
    {
        for (std::size_t i = 0; i < daemonCount; ++i)
            this->daemons.push_back(std::make_unique<Daemon>());
        for (const auto& id : this->groups()) {
            for (const char* name : { "e1", "e2", "e3" })
                this->addEndpoint(EndpointId(name), id);
            this->groupEndpoints[id][EndpointId("e1")].primary = true;
        }
        for (std::size_t i = 0; i < daemonCount; ++i)
            this->startDaemon(i);
    }

    struct Endpoint {
        bool primary = false;
        std::uint64_t term = 1;
        std::uint64_t received = 100;
        bool up = true;
        bool draining = false;
        // Whether the registry has an entry.
        bool listed = true;
        // Whether it has no free slot, so that it answers requests for its report as busy.
        bool busy = false;
        // Whether it receives nothing from the primary.
        bool deaf = false;
        // Start of its process; a later one is that of another process.
        std::int64_t processStartMs = 1;
        SocketAddress address { "10.9.0.1", 1 };
    };

    using Endpoints = std::map<EndpointId, Endpoint>;

    // Primary that a daemon's scheduler would use, and whether its use is suspended.
    struct PrimaryUse {
        EndpointId endpoint;
        bool suspended = false;
    };

    struct Daemon {
        std::unique_ptr<TableStore> store;
        std::unique_ptr<StoreContact> contact;
        std::unique_ptr<TimerService> timers;
        std::unique_ptr<FleetController> controller;
        bool running = false;
        // Processes no events, like a suspended host. Events are deferred until it is unfrozen.
        bool frozen = false;
        // Faults of the connections to the store and to other daemons.
        bool storeUnreachable = false;
        bool peersUnreachable = false;
        // Whether what the daemon and the others send to each other while it is cut off is refused at once.
        bool cutRefuses = false;
        // Whether the daemon misses changes of the registry; it then decides from the list that it had before.
        bool registryStale = false;
        std::map<DatabaseId, std::vector<EndpointRecord>> oldList;
        std::map<DatabaseId, PrimaryUse> primaries;
        int incarnation = 0;
        // Events that arrived while the daemon was frozen.
        std::vector<std::function<void()>> deferredEvents;
    };

    std::vector<std::unique_ptr<Daemon>> daemons;
    std::map<DatabaseId, Endpoints> groupEndpoints;
    // Endpoints of the first group.
    Endpoints& endpoints = groupEndpoints[group()];
    // Replicas that receive a commit before it is acknowledged.
    std::size_t syncReplicas = 0;
    // Number of the last acknowledged commit of each group.
    std::map<DatabaseId, std::uint64_t> acknowledged;
    // Number of the last commit of each group that enough replicas had received, whether a daemon acknowledged it or
    // not: who replaces a primary cannot tell the difference.
    std::map<DatabaseId, std::uint64_t> replicated;
    bool storeDown = false;
    // The store refuses every call at once.
    bool storeBusy = false;
    // Probability that the answer of a store call is lost after the call has taken effect.
    double answerLossProbability = 0;
    // Probability that a store call takes effect up to three seconds late and is never answered.
    double lateEffectProbability = 0;
    Duration storeLatency = std::chrono::milliseconds(5);
    Duration promoteDelay = std::chrono::milliseconds(600);
    // Time that the outstanding statements of a suspended primary take.
    Duration drainDelay = std::chrono::milliseconds(1);
    // Tells by how much a change takes effect late, without an answer. No value: it is done and answered as usual.
    std::function<std::optional<Duration>(std::size_t daemon, const StoreChange&)> lateBy;
    // Called before each outgoing call of a daemon. A test can inject faults at a given step here.
    std::function<void(std::size_t daemon, const std::string& call)> onCall;
    std::vector<std::string> violations;
    // Number of outgoing calls of all daemons, by name.
    std::map<std::string, std::size_t> calls;
    // Rows that all daemons share.
    SimulatedTables tables { [this] { return this->clock; } };
    int promotions = 0;
    std::uint64_t highestToken = 0;
    // Daemon that ordered promotions with each token.
    std::map<std::uint64_t, std::size_t> tokenHolders;

    [[nodiscard]] Time now() const { return this->clock; }

    // All violations in one text, for failure messages.
    [[nodiscard]] std::string describeViolations() const
    {
        std::string text;
        for (const auto& violation : this->violations)
            text += violation + "; ";
        return text;
    }

    void runFor(Duration duration)
    {
        const auto end = this->clock + duration;
        while (true) {
            const auto due = this->nextEvent();
            if (due > end)
                break;
            this->clock = std::max(this->clock, due);
            this->step();
            this->checkOnlyLeaderIsUsed();
        }
        this->clock = end;
    }

    // Adds an endpoint that holds nothing yet to a group, at an address of its own.
    Endpoint& addEndpoint(const EndpointId& id, const DatabaseId& ofGroup = group())
    {
        auto& endpoint = this->groupEndpoints[ofGroup][id];
        endpoint.address.port = ++this->lastPort;
        return endpoint;
    }

    // The endpoint ends, and starts again with the log that it had or with an empty one.
    static void restart(Endpoint& endpoint, bool keepsLog)
    {
        endpoint.up = true;
        endpoint.listed = true;
        endpoint.draining = false;
        ++endpoint.processStartMs;
        if (keepsLog)
            return;
        endpoint.primary = false;
        endpoint.term = endpoint.received = 0;
    }

    // Runs until the condition holds. Returns false if it does not within 30 s.
    bool runUntil(const std::function<bool()>& condition)
    {
        const auto end = this->clock + std::chrono::seconds(30);
        while (!condition() && this->clock < end)
            this->runFor(std::chrono::milliseconds(1));
        return condition();
    }

    void kill(std::size_t index)
    {
        auto& daemon = *this->daemons[index];
        daemon.running = false;
        daemon.controller.reset();
        daemon.primaries.clear();
        daemon.deferredEvents.clear();
    }

    void startDaemon(std::size_t index)
    {
        auto& daemon = *this->daemons[index];
        daemon.running = true;
        daemon.frozen = false;
        daemon.registryStale = false;
        ++daemon.incarnation;
        daemon.primaries.clear();
        daemon.deferredEvents.clear();
        daemon.timers = std::make_unique<TimerService>();
        daemon.store = std::make_unique<Store>(*this, index);
        daemon.contact = std::make_unique<StoreContact>(*daemon.store,
            StoreContactHooks { [] {}, [&daemon](std::uint64_t era) { daemon.controller->onEraChanged(era); } });
        daemon.controller = std::make_unique<FleetController>(
            FleetIdentity { DaemonId("d" + std::to_string(index)), std::to_string(daemon.incarnation), address(index),
                address(index), DataCentre("a") },
            *daemon.contact, *daemon.timers, this->makeHooks(index), [this] { return this->clock; });
        daemon.controller->start();
        daemon.timers->subscribeEvery(this->clock, std::chrono::milliseconds(100), [this, index](Time) {
            if (this->daemons[index]->controller)
                this->daemons[index]->controller->tick();
        });
    }

    void unfreeze(std::size_t index)
    {
        auto& daemon = *this->daemons[index];
        daemon.frozen = false;
        for (auto& action : std::exchange(daemon.deferredEvents, {}))
            this->after(index, Duration::zero(), std::move(action));
    }

    // The daemon keeps the present list of endpoints and misses later changes of it.
    void loseRegistryWatch(std::size_t index)
    {
        auto& daemon = *this->daemons[index];
        daemon.registryStale = true;
        for (const auto& id : this->groups())
            daemon.oldList[id] = this->registryOf(id);
    }

    // The store is away for a while and comes back as it was when the copy was taken.
    void restoreStore(const SimulatedTables::Copy& copy, Duration awayFor)
    {
        this->storeDown = true;
        this->runFor(awayFor);
        this->tables.restore(copy);
        this->storeDown = false;
    }

    // The replicas that run and hear the leader of a group take its term and its log. Returns their number.
    std::size_t replicate(const DatabaseId& ofGroup = group())
    {
        auto& members = this->groupEndpoints.at(ofGroup);
        const auto leaderId = this->leader(ofGroup);
        if (leaderId.empty())
            return 0;
        const auto& leader = members.at(leaderId);
        std::size_t receivers = 0;
        for (auto& [id, endpoint] : members) {
            if (id == leaderId || !leader.up || !endpoint.up || endpoint.deaf)
                continue;
            endpoint.primary = false;
            endpoint.term = leader.term;
            endpoint.received = leader.received;
            ++receivers;
        }
        return receivers;
    }

    // The leader of a group commits a write. Returns whether enough replicas have received it to acknowledge it.
    bool commit(const DatabaseId& ofGroup = group())
    {
        auto& members = this->groupEndpoints.at(ofGroup);
        const auto leader = members.find(this->leader(ofGroup));
        if (leader == members.end() || !leader->second.up)
            return false;
        ++leader->second.received;
        if (this->replicate(ofGroup) < this->syncReplicas)
            return false;
        this->replicated[ofGroup] = leader->second.received;
        if (this->syncReplicas > 0 && !this->mayAcknowledge(ofGroup))
            return false;
        this->acknowledged[ofGroup] = leader->second.received;
        return true;
    }

    // Whether a daemon that uses the leader of a group may acknowledge a commit there.
    [[nodiscard]] bool mayAcknowledge(const DatabaseId& ofGroup = group()) const
    {
        for (std::size_t i = 0; i < this->daemons.size(); ++i) {
            if (this->uses(i, this->leader(ofGroup), ofGroup)
                && this->daemons[i]->controller->holdersAreRecorded(ofGroup))
                return true;
        }
        return false;
    }

    // Ends all faults and starts the daemons that are down.
    void heal()
    {
        this->storeDown = false;
        this->answerLossProbability = 0;
        this->lateEffectProbability = 0;
        for (auto& [id, members] : this->groupEndpoints) {
            for (auto& [name, endpoint] : members) {
                endpoint.draining = false;
                endpoint.up = true;
                endpoint.busy = false;
                endpoint.deaf = false;
                endpoint.listed = true;
            }
        }
        for (std::size_t i = 0; i < this->daemons.size(); ++i) {
            this->daemons[i]->storeUnreachable = false;
            this->daemons[i]->peersUnreachable = false;
            this->daemons[i]->registryStale = false;
            if (!this->daemons[i]->running)
                this->startDaemon(i);
            this->unfreeze(i);
        }
    }

    // Whether the daemon would send a write of a group to the endpoint now.
    [[nodiscard]] bool uses(std::size_t index, const EndpointId& endpoint, const DatabaseId& id = group()) const
    {
        const auto& daemon = *this->daemons[index];
        const auto use = daemon.primaries.find(id);
        return daemon.running && use != daemon.primaries.end() && !use->second.suspended
            && use->second.endpoint == endpoint && daemon.controller->leaseValid(this->clock);
    }

    [[nodiscard]] EndpointId leader(const DatabaseId& ofGroup = group()) const
    {
        EndpointId best;
        std::uint64_t term = 0;
        for (const auto& [id, endpoint] : this->groupEndpoints.at(ofGroup)) {
            if (endpoint.primary && endpoint.term > term) {
                best = id;
                term = endpoint.term;
            }
        }
        return best;
    }

    [[nodiscard]] bool hasRow(const std::string& table, const std::string& key) const
    {
        return this->tables.hasRow(table, key);
    }

    // Number of daemons that use the current leader of a group.
    [[nodiscard]] std::size_t daemonsUsingLeader(const DatabaseId& id = group()) const
    {
        std::size_t count = 0;
        for (std::size_t i = 0; i < this->daemons.size(); ++i)
            count += this->uses(i, this->leader(id), id) ? 1 : 0;
        return count;
    }

    static const DatabaseId& group()
    {
        static const DatabaseId id("shop");
        return id;
    }

    // All groups, the first one first.
    [[nodiscard]] std::vector<DatabaseId> groups() const
    {
        std::vector<DatabaseId> result { group() };
        for (std::size_t i = 1; i < this->groupCount; ++i)
            result.emplace_back("shop-" + std::to_string(i));
        return result;
    }

private:
    // Store client of one daemon. The rows are shared by all daemons.
    class Store : public TableStore {
    public:
        Store(FleetSimulation& simulation, std::size_t index)
            : simulation(simulation)
            , index(index)
        {
        }
        void readAll(const std::string& table, Callback callback) override
        {
            this->simulation.callStore(
                this->index, "read", [&shared = this->simulation, table] { return shared.tables.read(table); },
                std::move(callback));
        }
        void change(const StoreChange& change, Callback callback) override
        {
            const auto late = this->simulation.lateBy ? this->simulation.lateBy(this->index, change) : std::nullopt;
            this->simulation.callStore(
                this->index, "change", [&shared = this->simulation, change] { return shared.tables.apply(change); },
                std::move(callback), late);
        }
        void abandonWatches(const std::string&) override { }
        // Answers immediately, even if nothing has changed.
        void watch(const std::string& table, StoreVersion after, Duration, Callback callback) override
        {
            this->simulation.callStore(
                this->index, "watch",
                [&shared = this->simulation, table, after] { return shared.tables.changes(table, after); },
                std::move(callback));
        }

    private:
        FleetSimulation& simulation;
        std::size_t index;
    };

    struct Event {
        std::size_t daemon;
        int incarnation;
        std::function<void()> action;
    };

    static SocketAddress address(std::size_t index) { return { "10.0.0." + std::to_string(index + 1), 7000 }; }
    static std::size_t indexOf(const SocketAddress& address)
    {
        return static_cast<std::size_t>(std::stoi(address.ip.substr(7))) - 1;
    }

    [[nodiscard]] bool chance(double probability)
    {
        return std::uniform_real_distribution<double>(0, 1)(this->random) < probability;
    }

    // Runs an action of a daemon later, unless the daemon has ended or restarted by then.
    void after(std::size_t index, Duration delay, std::function<void()> action)
    {
        this->events.emplace(
            this->clock + delay, Event { index, this->daemons[index]->incarnation, std::move(action) });
    }

    [[nodiscard]] Time nextEvent() const
    {
        Time due = this->events.empty() ? Time::max() : this->events.begin()->first;
        for (const auto& daemon : this->daemons) {
            if (daemon->running && !daemon->frozen)
                due = std::min(due, daemon->timers->nextDue());
        }
        return due;
    }

    void step()
    {
        if (!this->events.empty() && this->events.begin()->first <= this->clock) {
            auto event = std::move(this->events.begin()->second);
            this->events.erase(this->events.begin());
            if (event.daemon == noDaemon) {
                event.action();
                return;
            }
            auto& daemon = *this->daemons[event.daemon];
            if (!daemon.running || daemon.incarnation != event.incarnation)
                return;
            if (daemon.frozen)
                daemon.deferredEvents.push_back(std::move(event.action));
            else
                event.action();
            return;
        }
        for (std::size_t i = 0; i < this->daemons.size(); ++i) {
            auto& daemon = *this->daemons[i];
            if (daemon.running && !daemon.frozen && daemon.timers->nextDue() <= this->clock) {
                // kill() keeps the timer service, in case a callback of the service kills its own daemon.
                daemon.timers->advance(this->clock);
                return;
            }
        }
    }

    void recordCall(std::size_t index, const std::string& call)
    {
        ++this->calls[call];
        if (this->onCall)
            this->onCall(index, call);
    }

    void callStore(std::size_t index, const std::string& name, std::function<StoreResult()> effect,
        TableStore::Callback callback, std::optional<Duration> lateBy = std::nullopt)
    {
        constexpr Duration timeout = std::chrono::milliseconds(1500);
        this->recordCall(index, name);
        const auto sentAt = this->clock;
        const auto answer = [this, index, sentAt, callback](StoreResult result, Duration delay) {
            this->after(index, delay, [this, sentAt, callback, result]() mutable {
                result.sentAt = sentAt;
                result.answeredAt = this->clock;
                callback(result);
            });
        };
        if (this->storeBusy) {
            answer({ StoreStatus::Refused }, this->storeLatency);
            return;
        }
        if (this->storeDown || this->daemons[index]->storeUnreachable) {
            answer({ StoreStatus::Unknown }, timeout);
            return;
        }
        if (!lateBy && this->chance(this->lateEffectProbability))
            lateBy = std::chrono::milliseconds(this->random() % 3000);
        if (lateBy) {
            this->events.emplace(this->clock + *lateBy, Event { noDaemon, 0, [effect] { effect(); } });
            answer({ StoreStatus::Unknown }, timeout);
            return;
        }
        const bool lost = this->chance(this->answerLossProbability);
        this->events.emplace(
            this->clock + this->storeLatency / 2, Event { noDaemon, 0, [this, effect, answer, lost, timeout] {
                                                             const auto result = effect();
                                                             if (lost)
                                                                 answer({ StoreStatus::Unknown }, timeout);
                                                             else
                                                                 answer(result, this->storeLatency / 2);
                                                         } });
    }

    [[nodiscard]] bool peerReachable(std::size_t from, std::size_t to) const
    {
        return to < this->daemons.size() && !this->daemons[from]->peersUnreachable
            && !this->daemons[to]->peersUnreachable;
    }

    FleetHooks makeHooks(std::size_t index)
    {
        FleetHooks hooks;
        hooks.requestSuspend = [this, index](const SocketAddress& address, const Claim& claim,
                                   const std::function<void(PeerStatus)>& callback) {
            this->recordCall(index, "suspend");
            const auto peer = indexOf(address);
            if (!this->peerReachable(index, peer)) {
                const bool refused = this->daemons[index]->cutRefuses || this->daemons[peer]->cutRefuses;
                this->after(
                    index, refused ? messageDelay : peerTimeout, [callback] { callback(PeerStatus::Unanswered); });
                return;
            }
            if (!this->daemons[peer]->running) {
                this->after(index, messageDelay, [callback] { callback(PeerStatus::Unanswered); });
                return;
            }
            const auto answered = std::make_shared<bool>(false);
            this->after(index, peerTimeout, [callback, answered] {
                if (!std::exchange(*answered, true))
                    callback(PeerStatus::Unanswered);
            });
            this->after(peer, messageDelay, [this, index, peer, claim, callback, answered] {
                const auto reply = [this, index, callback, answered](PeerStatus status) {
                    this->after(index, messageDelay, [callback, answered, status] {
                        if (!std::exchange(*answered, true))
                            callback(status);
                    });
                };
                if (!this->daemons[peer]->controller->onSuspendRequest(claim, [reply] { reply(PeerStatus::Done); }))
                    reply(PeerStatus::Unanswered);
            });
        };
        hooks.requestRenewal = [this, index](const SocketAddress& address, const LeaseRenewal& renewal,
                                   Duration timeout, const TableStore::Callback& callback) {
            this->recordCall(index, "renew");
            const auto peer = indexOf(address);
            const auto sentAt = this->clock;
            const auto answered = std::make_shared<bool>(false);
            const auto answer = [this, sentAt, callback, answered](StoreResult result) {
                if (std::exchange(*answered, true))
                    return;
                result.sentAt = sentAt;
                result.answeredAt = this->clock;
                callback(result);
            };
            if (this->peerReachable(index, peer) && !this->daemons[peer]->running) {
                this->after(index, messageDelay, [answer] { answer({ StoreStatus::Refused }); });
                return;
            }
            // A daemon without a lease waits only a short time for the connection. A renewal that was not sent has no
            // effect.
            if (renewal.urgent && !this->peerReachable(index, peer)) {
                this->after(index, connectTimeout, [answer] { answer({ StoreStatus::Refused }); });
                return;
            }
            this->after(index, timeout, [answer] { answer({ StoreStatus::Unknown }); });
            if (!this->peerReachable(index, peer))
                return;
            this->after(peer, messageDelay, [this, index, peer, renewal, answer] {
                this->daemons[peer]->controller->onRenewRequest(
                    renewal, [this, index, answer](const StoreResult& result) {
                        this->after(index, messageDelay, [answer, result] { answer(result); });
                    });
            });
        };
        hooks.announce = [this, index](const SocketAddress& address, const std::vector<PrimaryRow>& rows) {
            this->recordCall(index, "announce");
            const auto peer = indexOf(address);
            if (this->peerReachable(index, peer) && this->daemons[peer]->running)
                this->after(
                    peer, messageDelay, [this, peer, rows] { this->daemons[peer]->controller->onAnnouncement(rows); });
        };
        hooks.askWitness = [this, index](const SocketAddress& address,
                               const std::function<void(std::optional<StoreVersion>)>& callback) {
            this->recordCall(index, "witness");
            const auto peer = indexOf(address);
            if (!this->peerReachable(index, peer) || !this->daemons[peer]->running) {
                this->after(index, peerTimeout, [callback] { callback(std::nullopt); });
                return;
            }
            const auto answered = std::make_shared<bool>(false);
            this->after(index, peerTimeout, [callback, answered] {
                if (!std::exchange(*answered, true))
                    callback(std::nullopt);
            });
            this->after(peer, messageDelay, [this, index, peer, callback, answered] {
                const auto claim = this->daemons[peer]->controller->newestKnownClaim();
                this->after(index, messageDelay, [callback, answered, claim] {
                    if (!std::exchange(*answered, true))
                        callback(claim);
                });
            });
        };
        hooks.askReachable = [this, index](const SocketAddress& address, const DatabaseId& ofGroup,
                                 const EndpointId& id, const std::function<void(std::optional<bool>)>& callback) {
            const auto peer = indexOf(address);
            const bool reachable
                = this->peerReachable(index, peer) && this->daemons[peer]->running && !this->daemons[peer]->frozen;
            const auto& endpoint = this->groupEndpoints.at(ofGroup).at(id);
            const bool mayBePrimary = endpoint.up && (endpoint.primary || endpoint.busy);
            const auto vote = reachable ? std::optional<bool>(mayBePrimary) : std::nullopt;
            this->after(index, reachable ? messageDelay : peerTimeout, [callback, vote] { callback(vote); });
        };
        hooks.queryEndpoint = [this, index](const DatabaseId& ofGroup, const EndpointId& id,
                                  const std::function<void(const EndpointReply&)>& callback) {
            this->recordCall(index, "query");
            this->after(index, messageDelay, [this, ofGroup, id, callback] {
                this->followLeader(ofGroup);
                const auto& endpoint = this->groupEndpoints.at(ofGroup).at(id);
                if (!endpoint.up)
                    callback({ EndpointReplyStatus::Silent, {} });
                else if (endpoint.busy)
                    callback({ EndpointReplyStatus::Busy, {} });
                else
                    callback(EndpointReply::reported(
                        { endpoint.primary, endpoint.term, { endpoint.term, endpoint.received } }));
            });
        };
        hooks.demote = [this, index](const DatabaseId& ofGroup, const EndpointId& id, std::uint64_t term,
                           const std::function<void()>& callback) {
            this->recordCall(index, "demote");
            auto& endpoint = this->groupEndpoints.at(ofGroup).at(id);
            if (endpoint.up && endpoint.term < term)
                endpoint.primary = false;
            this->after(index, messageDelay, callback);
        };
        hooks.promote = [this, index](const DatabaseId& ofGroup, const EndpointId& id, std::uint64_t token,
                            const std::function<void(PromotionOutcome)>& callback) {
            this->recordCall(index, "promote");
            if (!this->daemons[index]->running)
                return;
            if (token < this->highestToken)
                this->violations.push_back("promotion ordered with token " + std::to_string(token) + " after token "
                    + std::to_string(this->highestToken));
            if (const auto holder = this->tokenHolders.try_emplace(token, index).first->second; holder != index)
                this->violations.push_back("daemons " + std::to_string(holder) + " and " + std::to_string(index)
                    + " order promotions with token " + std::to_string(token));
            this->highestToken = std::max(this->highestToken, token);
            this->checkCandidate(ofGroup, id);
            if (!this->groupEndpoints.at(ofGroup).at(id).up) {
                this->after(index, messageDelay, [callback] { callback(PromotionOutcome::Rejected); });
                return;
            }
            this->events.emplace(this->clock + this->promoteDelay,
                Event { noDaemon, 0, [this, ofGroup, id] { this->completePromotion(ofGroup, id); } });
            this->after(index, messageDelay, [callback] { callback(PromotionOutcome::Accepted); });
        };
        hooks.usePrimary = [this, index](const PrimaryRow& row) {
            this->daemons[index]->primaries[row.group] = { row.endpoint, false };
        };
        hooks.suspendLocally = [this, index](const DatabaseId& ofGroup, const std::function<void()>& drained) {
            this->daemons[index]->primaries[ofGroup].suspended = true;
            this->after(index, this->drainDelay, drained);
        };
        hooks.refreshEndpoints = [this, index](const std::function<void(bool)>& callback) {
            this->recordCall(index, "refresh");
            // Any answer tells the era of the store, as one about the registry does.
            this->daemons[index]->contact->readAll("servers", [this, index, callback](const StoreResult& result) {
                const bool current = result.status == StoreStatus::Done;
                this->daemons[index]->registryStale = this->daemons[index]->registryStale && !current;
                callback(current);
            });
        };
        hooks.missingEndpointsAreGone = [] { return true; };
        hooks.endpointsOf = [this, index](const DatabaseId& id) {
            const auto& daemon = *this->daemons[index];
            return daemon.registryStale ? daemon.oldList.at(id) : this->registryOf(id);
        };
        hooks.probeEndpoint = [this, index](const DatabaseId& ofGroup, const CommitHolder& holder,
                                  const std::function<void(bool)>& callback) {
            this->recordCall(index, "probe");
            this->after(index, messageDelay, [this, ofGroup, holder, callback] {
                const auto& members = this->groupEndpoints.at(ofGroup);
                const auto found = members.find(holder.id);
                callback(found != members.end() && found->second.up && found->second.address == holder.address);
            });
        };
        hooks.syncReplicas = [this](const DatabaseId&) { return this->syncReplicas; };
        hooks.groups = [this] { return this->groups(); };
        hooks.watchedGroups = [this] {
            std::vector<WatchedGroup> watched;
            for (const auto& id : this->groups())
                watched.push_back({ id, true });
            return watched;
        };
        hooks.suspectsPrimary = [this, index](const DatabaseId& ofGroup) {
            const auto& primaries = this->daemons[index]->primaries;
            const auto use = primaries.find(ofGroup);
            if (use == primaries.end() || use->second.endpoint.empty() || use->second.suspended)
                return false;
            const auto& endpoint = this->groupEndpoints.at(ofGroup).at(use->second.endpoint);
            return !endpoint.up || !endpoint.primary;
        };
        hooks.onLiveDaemons = [](const std::vector<LeaseRow>&) {};
        hooks.daemonsUsingPrimary = [](const DatabaseId&) { return std::vector<DaemonId> {}; };
        return hooks;
    }

    // Present entries of a group's endpoints in the registry.
    [[nodiscard]] std::vector<EndpointRecord> registryOf(const DatabaseId& id) const
    {
        std::vector<EndpointRecord> records;
        for (const auto& [endpointId, endpoint] : this->groupEndpoints.at(id)) {
            if (!endpoint.listed)
                continue;
            EndpointRecord record;
            record.id = endpointId;
            record.group = id;
            record.draining = endpoint.draining;
            record.claimsPrimary = endpoint.primary;
            record.processStartMs = endpoint.processStartMs;
            record.address = endpoint.address;
            records.push_back(record);
        }
        return records;
    }

    // Replicas that run and hear the leader take its term.
    void followLeader(const DatabaseId& ofGroup)
    {
        auto& members = this->groupEndpoints.at(ofGroup);
        const auto present = members.find(this->leader(ofGroup));
        if (present == members.end() || !present->second.up)
            return;
        for (auto& [id, endpoint] : members) {
            if (endpoint.up && !endpoint.deaf && !endpoint.primary)
                endpoint.term = std::max(endpoint.term, present->second.term);
        }
    }

    // The promotion of an endpoint takes effect.
    void completePromotion(const DatabaseId& ofGroup, const EndpointId& id)
    {
        auto& members = this->groupEndpoints.at(ofGroup);
        std::uint64_t term = 0;
        for (const auto& [other, endpoint] : members)
            term = std::max(term, endpoint.term);
        auto& endpoint = members.at(id);
        if (endpoint.primary && endpoint.term == term)
            return;
        endpoint.primary = true;
        endpoint.term = term + 1;
        this->checkLog(ofGroup, id);
        this->followLeader(ofGroup);
        ++this->promotions;
    }

    // Every acknowledged commit must be in the log of the endpoint that was promoted. Without synchronous replicas, the
    // commits that it lacks are lost with the primary.
    void checkLog(const DatabaseId& ofGroup, const EndpointId& id)
    {
        auto& last = this->acknowledged[ofGroup];
        const auto received = this->groupEndpoints.at(ofGroup).at(id).received;
        if (this->syncReplicas > 0 && received < last)
            this->violations.push_back("promotion of " + id.value + " of " + ofGroup.value + ", which has received "
                + std::to_string(received) + " of " + std::to_string(last) + " acknowledged commits");
        last = std::min(last, received);
        this->replicated[ofGroup] = std::min(this->replicated[ofGroup], received);
    }

    // An endpoint that has been leaving for a while may not become the primary while another one could.
    void checkCandidate(const DatabaseId& ofGroup, const EndpointId& id)
    {
        const auto& members = this->groupEndpoints.at(ofGroup);
        const auto usable
            = [&](const Endpoint& endpoint) { return endpoint.up && endpoint.listed && !endpoint.draining; };
        // One that lacks acknowledged commits which synchronous replicas hold could not take over.
        const auto required = this->syncReplicas > 0 ? this->replicated[ofGroup] : 0;
        const bool other = std::any_of(members.begin(), members.end(), [&](const auto& entry) {
            return entry.first != id && usable(entry.second) && entry.second.received >= required;
        });
        if (members.at(id).draining && other)
            this->violations.push_back("promotion of " + id.value + " of " + ofGroup.value + ", which drains, at "
                + std::to_string(toSeconds(this->clock.time_since_epoch())) + " s");
    }

    // No daemon may use an endpoint other than the leader of the highest term.
    void checkOnlyLeaderIsUsed()
    {
        for (const auto& [ofGroup, members] : this->groupEndpoints) {
            const auto present = this->leader(ofGroup);
            for (std::size_t i = 0; i < this->daemons.size(); ++i) {
                for (const auto& [id, endpoint] : members) {
                    if (this->violations.size() < maxViolations && id != present && endpoint.up
                        && this->uses(i, id, ofGroup) && !this->daemons[i]->frozen)
                        this->violations.push_back("daemon " + std::to_string(i) + " uses " + id.value + " of "
                            + ofGroup.value + " while " + present.value + " leads, at "
                            + std::to_string(toSeconds(this->clock.time_since_epoch())) + " s");
                }
            }
        }
    }

    // Delay of a message between two processes, and timeouts for connecting to and calling another daemon.
    static constexpr Duration messageDelay = std::chrono::milliseconds(1);
    static constexpr Duration connectTimeout = std::chrono::milliseconds(40);
    static constexpr Duration peerTimeout = std::chrono::milliseconds(450);
    static constexpr std::size_t noDaemon = SIZE_MAX;
    // Maximum number of recorded violations, because one fault causes many.
    static constexpr std::size_t maxViolations = 5;

    std::mt19937_64 random;
    std::size_t groupCount;
    std::uint16_t lastPort = 0;
    Time clock { std::chrono::seconds(1000) };
    std::multimap<Time, Event> events;
};

} // namespace endivetrestle
