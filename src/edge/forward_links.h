#pragma once

#include "base/identifier.h"
#include "base/socket_address.h"
#include "edge/line_socket.h"
#include "edge/socket_listener.h"
#include "process/forwarded_statements.h"
#include "request/forward_message.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace endivetrestle {

// What a link to an owner shows about whether the owner is reached.
enum class LinkEvidence { Sent, ProbeSent, OpenStarted, Answered, Closed };

// What the links ask of their surroundings.
struct ForwardLinkHooks {
    std::function<Time()> now;
    // An owner answered a statement of the group.
    std::function<void(const DaemonId&, const DatabaseId&, const ForwardedOutcome&)> outcome;
    // The link to an owner is lost; `established` tells whether anything that was sent may have arrived.
    std::function<void(const DaemonId&, bool established)> lost;
    std::function<StatementRunner*(const DatabaseId&)> runner;
    std::function<bool(const ForwardedStatement&, Time now)> accepts;
    // Answers a request for quota, and takes the answer of another daemon to one of this daemon. Requests are ignored
    // without the functions.
    std::function<QuotaGrant(const QuotaRequest&, Time now)> quotaRequest;
    std::function<void(const DaemonId&, const QuotaGrant&, Time now)> quotaGrant;
    // Something happened on the link to an owner that shows whether it is reached. May be null.
    std::function<void(const DaemonId&, LinkEvidence)> evidence;
};

// TCP links over which statements are forwarded: one to each owner that this daemon uses, opened with the first
// statement, and one from each daemon that uses this one. A link that does not answer a probe is closed, because a host
// that loses power or is cut off resets nothing.
class ForwardLinks {
public:
    ForwardLinks(asio::io_context& context, ForwardLinkHooks hooks);
    ~ForwardLinks();
    ForwardLinks(const ForwardLinks&) = delete;
    ForwardLinks& operator=(const ForwardLinks&) = delete;

    // Opens the port for links of other daemons. Throws std::system_error if it cannot be opened.
    void listen(const SocketAddress& address);
    // Port that was opened.
    [[nodiscard]] std::uint16_t port() const { return this->listener.port(); }
    // Sets where the other daemons accept links. A link to a daemon that has another address now is closed.
    void setDaemons(std::map<DaemonId, SocketAddress> addresses);
    // Sends a message to an owner; the first one opens the link. False if the owner is unknown, if its link was lost
    // and is not back, or if the owner is about to stop and would have to take a new statement.
    bool send(const DaemonId& owner, const ForwardMessage& message);
    // Tells the daemons that use this one to send no new statements.
    void announceLeaving();
    // Periodic work: probes of silent links, transactions left idle by a suspended daemon.
    void tick(Time now, Duration idleLimit);
    // Tests whether an owner is reached: probes its link, or opens the link if there is none. An attempt to open that
    // has lasted longer than reopenLimit is replaced by a new one, because lost packets of the first one are repeated
    // only after a second.
    void test(const DaemonId& owner, Time now);
    // Gives up the link to an owner if it is not established, so that what waits for it may run elsewhere.
    void giveUpOpening(const DaemonId& owner);
    // Answers what other daemons have forwarded as if the timeouts of the routes had been reached.
    void expireStatements(Time now);
    // Whether nothing that other daemons have forwarded is under way here.
    [[nodiscard]] bool idle() const;

    // Time without a message on a link with something unanswered, after which it is probed.
    static constexpr Duration quietLimit = std::chrono::milliseconds(150);
    // Time that a probe, or a new link, has to be answered. It exceeds the pauses of a host whose processor share is
    // used up.
    static constexpr Duration probeLimit = std::chrono::milliseconds(300);
    // Time after which test() replaces an attempt to open a link.
    static constexpr Duration reopenLimit = std::chrono::milliseconds(250);
    // Pause before a lost link is opened again, if the host refused it and if it was silent.
    static constexpr Duration refusedPause = std::chrono::milliseconds(100);
    static constexpr Duration silentPause = std::chrono::milliseconds(500);

private:
    struct Outgoing {
        SocketAddress address;
        std::shared_ptr<LineSocket> socket;
        bool established = false;
        bool leaving = false;
        // Group of each statement under way, by its number.
        std::unordered_map<std::uint64_t, DatabaseId> statementGroups;
        // Frames that wait for the link to be established.
        std::vector<std::string> waiting;
        // Since when something sent has gone without any message from the owner.
        std::optional<Time> unansweredSince;
        std::optional<Time> probedAt;
        Time openedAt;
    };
    struct Incoming {
        std::shared_ptr<LineSocket> socket;
        std::unique_ptr<ForwardedStatements> statements;
    };

    static void trackStatement(Outgoing& link, const ForwardMessage& message);
    void open(const DaemonId& owner, const SocketAddress& address);
    void onEstablished(const DaemonId& owner);
    bool onAnswer(const DaemonId& owner, std::string_view frame);
    void onSocketClosed(const DaemonId& owner);
    void lose(const DaemonId& owner, Duration pause);
    void report(const DaemonId& owner, LinkEvidence evidence);
    void probeSilentLinks(Time now);
    void reopenLostLinks(Time now);
    void add(asio::ip::tcp::socket socket);
    bool onRequest(std::uint64_t id, std::string_view frame);
    void remove(std::uint64_t id);

    asio::io_context& context;
    ForwardLinkHooks hooks;
    SocketListener listener;
    std::map<DaemonId, SocketAddress> addresses;
    std::map<DaemonId, Outgoing> outgoing;
    // Daemons whose link was lost and has not been established since, with the time of the next attempt. Statements do
    // not wait for these links, since a host that is cut off lets connections hang.
    std::map<DaemonId, Time> reopenAt;
    std::unordered_map<std::uint64_t, Incoming> incoming;
    std::uint64_t lastId = 0;
    bool leaving = false;
};

} // namespace endivetrestle
