#include "edge/forward_links.h"

#include "base/log.h"
#include "edge/forward_codec.h"

namespace endivetrestle {

ForwardLinks::ForwardLinks(asio::io_context& context, ForwardLinkHooks hooks)
    : context(context)
    , hooks(std::move(hooks))
    , listener(context, [this](asio::ip::tcp::socket socket) { this->add(std::move(socket)); })
{
}

ForwardLinks::~ForwardLinks()
{
    for (auto& [owner, link] : this->outgoing)
        link.socket->close();
    for (auto& [id, link] : this->incoming)
        link.socket->close();
}

void ForwardLinks::listen(const SocketAddress& address)
{
    constexpr int backlog = 256;
    this->listener.listen(address, backlog);
}

void ForwardLinks::setDaemons(std::map<DaemonId, SocketAddress> listed)
{
    this->addresses = std::move(listed);
    std::vector<DaemonId> moved;
    for (const auto& [owner, link] : this->outgoing) {
        const auto found = this->addresses.find(owner);
        if (found != this->addresses.end() && found->second != link.address)
            moved.push_back(owner);
    }
    for (const auto& owner : moved)
        this->lose(owner, Duration::zero());
}

bool ForwardLinks::send(const DaemonId& owner, const ForwardMessage& message)
{
    const auto now = this->hooks.now();
    if (this->outgoing.count(owner) == 0) {
        const auto address = this->addresses.find(owner);
        const bool mayOpen
            = std::holds_alternative<ForwardedStatement>(message) || std::holds_alternative<QuotaRequest>(message);
        if (address == this->addresses.end() || this->reopenAt.count(owner) != 0 || !mayOpen)
            return false;
        this->open(owner, address->second);
    }
    auto& link = this->outgoing.at(owner);
    if (!link.established && this->reopenAt.count(owner) != 0)
        return false;
    const auto* statement = std::get_if<ForwardedStatement>(&message);
    if (link.leaving && statement != nullptr && !statement->transaction)
        return false;
    trackStatement(link, message);
    auto frame = encodeForward(message, now);
    if (!link.unansweredSince)
        link.unansweredSince = now;
    if (statement != nullptr)
        this->report(owner, LinkEvidence::Sent);
    if (link.established)
        link.socket->writeFrame(frame);
    else
        link.waiting.push_back(std::move(frame));
    return true;
}

// Remembers the group of a statement until it is answered or abandoned, so that its answer is not offered to the
// forwarders of all groups.
void ForwardLinks::trackStatement(Outgoing& link, const ForwardMessage& message)
{
    if (const auto* statement = std::get_if<ForwardedStatement>(&message))
        link.statementGroups[statement->number] = statement->group;
    else if (const auto* abandon = std::get_if<ForwardedAbandon>(&message))
        link.statementGroups.erase(abandon->number);
}

void ForwardLinks::open(const DaemonId& owner, const SocketAddress& address)
{
    auto& link = this->outgoing[owner];
    link.address = address;
    link.openedAt = this->hooks.now();
    link.unansweredSince = link.openedAt;
    this->report(owner, LinkEvidence::OpenStarted);
    link.socket = std::make_shared<LineSocket>(asio::ip::tcp::socket(this->context), maxForwardBytes, Framing::Lengths);
    link.socket->connect(
        asio::ip::tcp::endpoint(asio::ip::make_address(address.ip), address.port),
        [this, owner] { this->onEstablished(owner); },
        [this, owner](std::string_view frame) { return this->onAnswer(owner, frame); },
        [this, owner] { this->onSocketClosed(owner); });
}

void ForwardLinks::report(const DaemonId& owner, LinkEvidence evidence)
{
    if (this->hooks.evidence)
        this->hooks.evidence(owner, evidence);
}

// A refusal is an answer of the host. The end of an older attempt may come from this host's kernel.
void ForwardLinks::onSocketClosed(const DaemonId& owner)
{
    const auto found = this->outgoing.find(owner);
    if (found == this->outgoing.end())
        return;
    if (!found->second.established && this->hooks.now() - found->second.openedAt < reopenLimit)
        this->report(owner, LinkEvidence::Answered);
    this->lose(owner, refusedPause);
}

void ForwardLinks::onEstablished(const DaemonId& owner)
{
    auto& link = this->outgoing.at(owner);
    link.established = true;
    link.unansweredSince.reset();
    link.probedAt.reset();
    this->reopenAt.erase(owner);
    this->report(owner, LinkEvidence::Answered);
    if (!link.waiting.empty()) {
        link.unansweredSince = this->hooks.now();
        this->report(owner, LinkEvidence::Sent);
    }
    logEvent(LogLevel::Info, "owner_link_established", { { "owner", owner.value } });
    for (const auto& frame : std::exchange(link.waiting, {}))
        link.socket->writeFrame(frame);
}

bool ForwardLinks::onAnswer(const DaemonId& owner, std::string_view frame)
{
    const auto now = this->hooks.now();
    const auto message = decodeForward(frame, now);
    const auto found = this->outgoing.find(owner);
    if (found == this->outgoing.end())
        return false;
    if (!message) {
        logEvent(LogLevel::Warning, "owner_answer_unreadable", { { "owner", owner.value }, { "bytes", frame.size() } });
        this->lose(owner, silentPause);
        return false;
    }
    found->second.unansweredSince.reset();
    found->second.probedAt.reset();
    this->report(owner, LinkEvidence::Answered);
    if (std::holds_alternative<OwnerLeaving>(*message))
        found->second.leaving = true;
    else if (const auto* outcome = std::get_if<ForwardedOutcome>(&*message)) {
        // An outcome without a group answers a statement that was abandoned meanwhile.
        if (const auto group = found->second.statementGroups.extract(outcome->number))
            this->hooks.outcome(owner, group.mapped(), *outcome);
    } else if (const auto* grant = std::get_if<QuotaGrant>(&*message); grant != nullptr && this->hooks.quotaGrant)
        this->hooks.quotaGrant(owner, *grant, now);
    const auto left = this->outgoing.find(owner);
    if (left == this->outgoing.end())
        return false;
    if (!left->second.statementGroups.empty())
        this->report(owner, LinkEvidence::Sent);
    return true;
}

void ForwardLinks::test(const DaemonId& owner, Time now)
{
    auto found = this->outgoing.find(owner);
    if (found != this->outgoing.end() && !found->second.established && now - found->second.openedAt >= reopenLimit) {
        this->lose(owner, Duration::zero());
        found = this->outgoing.find(owner);
    }
    if (found == this->outgoing.end()) {
        const auto address = this->addresses.find(owner);
        if (address != this->addresses.end())
            this->open(owner, address->second);
        return;
    }
    auto& link = found->second;
    if (!link.established)
        return;
    if (!link.unansweredSince)
        link.unansweredSince = now;
    this->report(owner, LinkEvidence::ProbeSent);
    link.socket->writeFrame(encodeForward(LinkProbe {}, now));
}

void ForwardLinks::giveUpOpening(const DaemonId& owner)
{
    const auto found = this->outgoing.find(owner);
    if (found != this->outgoing.end() && !found->second.established)
        this->lose(owner, silentPause);
}

void ForwardLinks::lose(const DaemonId& owner, Duration pause)
{
    const auto found = this->outgoing.find(owner);
    if (found == this->outgoing.end())
        return;
    const auto link = std::move(found->second);
    this->outgoing.erase(found);
    link.socket->close();
    this->report(owner, LinkEvidence::Closed);
    this->reopenAt[owner] = this->hooks.now() + pause;
    // Attempts that fail while a host stays away are not worth a line each.
    logEvent(link.established || !link.waiting.empty() ? LogLevel::Warning : LogLevel::Debug, "owner_link_lost",
        { { "owner", owner.value }, { "established", link.established ? 1 : 0 }, { "leaving", link.leaving ? 1 : 0 },
            { "pause_ms", toMilliseconds(pause) } });
    this->hooks.lost(owner, link.established);
}

void ForwardLinks::probeSilentLinks(Time now)
{
    std::vector<DaemonId> silent;
    for (auto& [owner, link] : this->outgoing) {
        if (!link.unansweredSince || now - *link.unansweredSince < quietLimit)
            continue;
        if (!link.probedAt) {
            link.probedAt = now;
            if (link.established)
                link.socket->writeFrame(encodeForward(LinkProbe {}, now));
        } else if (now - *link.probedAt >= probeLimit)
            silent.push_back(owner);
    }
    for (const auto& owner : silent)
        this->lose(owner, silentPause);
}

void ForwardLinks::reopenLostLinks(Time now)
{
    for (auto entry = this->reopenAt.begin(); entry != this->reopenAt.end();) {
        const auto address = this->addresses.find(entry->first);
        if (address == this->addresses.end()) {
            entry = this->reopenAt.erase(entry);
            continue;
        }
        if (this->outgoing.count(entry->first) == 0 && now >= entry->second)
            this->open(entry->first, address->second);
        ++entry;
    }
}

void ForwardLinks::tick(Time now, Duration idleLimit)
{
    this->probeSilentLinks(now);
    this->reopenLostLinks(now);
    for (auto& [id, link] : this->incoming)
        link.statements->rollBackIdleSince(now - idleLimit, now);
}

void ForwardLinks::add(asio::ip::tcp::socket socket)
{
    const auto id = ++this->lastId;
    auto& link = this->incoming[id];
    link.socket = std::make_shared<LineSocket>(std::move(socket), maxForwardBytes, Framing::Lengths);
    ForwardedHooks statementHooks;
    statementHooks.now = this->hooks.now;
    statementHooks.runner = this->hooks.runner;
    statementHooks.accepts = this->hooks.accepts;
    statementHooks.reply = [this, socket = std::weak_ptr<LineSocket>(link.socket)](const ForwardMessage& message) {
        if (const auto open = socket.lock())
            open->writeFrame(encodeForward(message, this->hooks.now()));
    };
    link.statements = std::make_unique<ForwardedStatements>(std::move(statementHooks));
    link.socket->start(
        [this, id](std::string_view frame) { return this->onRequest(id, frame); }, [this, id] { this->remove(id); });
    if (this->leaving)
        link.socket->writeFrame(encodeForward(OwnerLeaving {}, this->hooks.now()));
}

bool ForwardLinks::onRequest(std::uint64_t id, std::string_view frame)
{
    const auto found = this->incoming.find(id);
    if (found == this->incoming.end())
        return false;
    const auto now = this->hooks.now();
    auto message = decodeForward(frame, now);
    auto& statements = *found->second.statements;
    if (!message) {
        logEvent(LogLevel::Warning, "forwarded_frame_unreadable", { { "bytes", frame.size() } });
        found->second.socket->close();
        this->remove(id);
        return false;
    }
    if (auto* statement = std::get_if<ForwardedStatement>(&*message))
        statements.onStatement(std::move(*statement), now);
    else if (const auto* end = std::get_if<ForwardedRollback>(&*message))
        statements.onEnd(*end, now);
    else if (const auto* abandon = std::get_if<ForwardedAbandon>(&*message))
        statements.onAbandon(*abandon, now);
    else if (const auto* request = std::get_if<QuotaRequest>(&*message); request != nullptr && this->hooks.quotaRequest)
        found->second.socket->writeFrame(encodeForward(this->hooks.quotaRequest(*request, now), now));
    else if (std::holds_alternative<LinkProbe>(*message))
        found->second.socket->writeFrame(encodeForward(LinkProbeAnswer {}, now));
    return this->incoming.count(id) != 0;
}

void ForwardLinks::remove(std::uint64_t id)
{
    const auto found = this->incoming.find(id);
    if (found == this->incoming.end())
        return;
    const auto statements = std::move(found->second.statements);
    this->incoming.erase(found);
    statements->onClosed(this->hooks.now());
}

void ForwardLinks::announceLeaving()
{
    this->leaving = true;
    for (auto& [id, link] : this->incoming)
        link.socket->writeFrame(encodeForward(OwnerLeaving {}, this->hooks.now()));
}

void ForwardLinks::expireStatements(Time now)
{
    // An answer that the other daemon does not read may remove its link.
    std::vector<std::uint64_t> ids;
    for (const auto& [id, link] : this->incoming)
        ids.push_back(id);
    for (const auto id : ids) {
        if (const auto found = this->incoming.find(id); found != this->incoming.end())
            found->second.statements->expireAll(now);
    }
}

bool ForwardLinks::idle() const
{
    for (const auto& [id, link] : this->incoming) {
        if (!link.statements->empty())
            return false;
    }
    return true;
}

} // namespace endivetrestle
