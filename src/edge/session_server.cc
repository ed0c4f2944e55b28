#include "edge/session_server.h"

#include "base/log.h"

#include <algorithm>
#include <vector>

namespace endivetrestle {

namespace {

std::string encodeReply(const SessionReply& reply)
{
    if (!reply.succeeded)
        return platform::encodeError(reply.code, reply.errorText, reply.phase);
    if (reply.payload.empty())
        return platform::encodeLocalSuccess(reply.phase);
    return reply.payload + platform::encodeReady(reply.phase, reply.position);
}

} // namespace

SessionServer::SessionServer(
    asio::io_context& context, TimerService& timers, SessionServerHooks hooks, std::size_t maxSessions)
    : context(context)
    , timers(timers)
    , hooks(std::move(hooks))
    , maxSessions(maxSessions)
    , listener(context, [this](asio::ip::tcp::socket socket) { this->add(std::move(socket)); })
{
}

SessionServer::~SessionServer()
{
    for (auto& [id, link] : this->links)
        link.socket->close();
}

void SessionServer::listen(const SocketAddress& address)
{
    constexpr int backlog = 1024;
    this->listener.listen(address, backlog);
}

void SessionServer::add(asio::ip::tcp::socket socket)
{
    asio::error_code error;
    const auto address = socket.remote_endpoint(error);
    const auto peer = error ? std::string() : address.address().to_string() + ":" + std::to_string(address.port());
    if (this->links.size() >= this->maxSessions + refusalRoom) {
        this->hooks.ended({ SessionEndReason::SessionLimit, peer, "", "", false });
        return;
    }
    const auto id = ++this->lastId;
    auto& link = this->links[id];
    link.peer = peer;
    link.socket = std::make_shared<LineSocket>(std::move(socket), platform::maxLineBytes);
    link.socket->start([this, id](std::string_view line) { return this->onLine(id, line); },
        [this, id] { this->remove(id, SessionEndReason::ClientLeft, false); });
}

bool SessionServer::onLine(std::uint64_t id, std::string_view line)
{
    const auto found = this->links.find(id);
    if (found == this->links.end())
        return false;
    auto& link = found->second;
    auto decoded = platform::parseClientLine(line);
    if (link.ending)
        return this->onLineAfterEnd(id, link, decoded);
    switch (decoded.kind) {
    case platform::ClientLineKind::Terminate:
        this->remove(id, SessionEndReason::ClientLeft, true);
        return false;
    case platform::ClientLineKind::Startup:
        if (!link.session)
            return this->startSession(id, link, { decoded.databaseName, decoded.key });
        break;
    case platform::ClientLineKind::Query:
        if (link.session) {
            link.session->onStatement(std::move(decoded.statement), this->hooks.now());
            return this->links.count(id) != 0;
        }
        break;
    case platform::ClientLineKind::Malformed:
        break;
    }
    logEvent(LogLevel::Info, "client_line_unreadable", { { "bytes", line.size() } });
    if (!link.session)
        return this->refuseStart(
            id, link, ReplyCode::Malformed, "a session start is expected", SessionEndReason::Unreadable);
    Statement unknown;
    link.session->onStatement(unknown, this->hooks.now());
    return this->links.count(id) != 0;
}

// A statement that crossed the line which ended the session: the line is its answer.
bool SessionServer::onLineAfterEnd(std::uint64_t id, Link& link, const platform::ClientLine& line)
{
    if (line.kind == platform::ClientLineKind::Query)
        link.socket->write(platform::encodeReady(SessionPhase::Idle, std::nullopt));
    this->remove(id, SessionEndReason::Stopping, true);
    return false;
}

bool SessionServer::refuseStart(
    std::uint64_t id, Link& link, ReplyCode code, const std::string& text, SessionEndReason reason)
{
    link.socket->write(platform::encodeErrorLine(code, text));
    this->remove(id, reason, true);
    return false;
}

// Refuses a session start that the configuration does not permit. Returns whether the session may start.
bool SessionServer::checkStart(std::uint64_t id, Link& link, const RouteTable& table, const SessionStart& start)
{
    const auto* route = table.find(start.databaseName);
    if (route == nullptr)
        return this->refuseStart(
            id, link, ReplyCode::UnknownDatabase, "no such database", SessionEndReason::StartRefused);
    WorkspaceId workspace;
    switch (checkAccess(table, route, start.key, this->hooks.gate, this->hooks.now(), workspace)) {
    case SessionAccess::Permitted:
        return true;
    case SessionAccess::UnknownKey:
        return this->refuseStart(
            id, link, ReplyCode::NotAuthorized, "no workspace holds the key", SessionEndReason::StartRefused);
    case SessionAccess::NotRecent:
        break;
    }
    return this->refuseStart(id, link, ReplyCode::Busy,
        "the configuration is not known to be recent; connect elsewhere", SessionEndReason::StartRefused);
}

bool SessionServer::startSession(std::uint64_t id, Link& link, const SessionStart& start)
{
    const auto table = this->hooks.routes();
    if (!table)
        return this->holdStart(id, link, start);
    if (!this->checkStart(id, link, *table, start))
        return false;
    if (this->acceptance == StatementAcceptance::None)
        return this->refuseStart(id, link, ReplyCode::Busy, stoppingText, SessionEndReason::Stopping);
    if (this->hooks.servesNothing && this->hooks.servesNothing())
        return this->refuseStart(id, link, ReplyCode::Busy,
            "no group can be reached from this daemon; connect elsewhere", SessionEndReason::StartRefused);
    if (this->links.size() > this->maxSessions)
        return this->refuseStart(
            id, link, ReplyCode::Busy, "the daemon has no room for a session", SessionEndReason::SessionLimit);
    SessionHooks sessionHooks;
    sessionHooks.now = this->hooks.now;
    sessionHooks.reply = [socket = link.socket.get()](const SessionReply& reply) { socket->write(encodeReply(reply)); };
    sessionHooks.close = [this, id] {
        // The session is on the stack of this call.
        asio::post(this->context, [this, id] { this->endSession(id); });
    };
    sessionHooks.routes = this->hooks.routes;
    sessionHooks.runner = this->hooks.runner;
    sessionHooks.record = this->hooks.record;
    sessionHooks.acceptance = [this] { return this->acceptance; };
    sessionHooks.gate = this->hooks.gate;
    link.session = std::make_unique<ClientSession>(start, this->timers, std::move(sessionHooks));
    link.socket->write(platform::encodeReady(SessionPhase::Idle, std::nullopt));
    if (this->closing)
        link.session->closeAfterStatement();
    return true;
}

bool SessionServer::holdStart(std::uint64_t id, Link& link, const SessionStart& start)
{
    const auto refuse = [this, id](Link& held) {
        return this->refuseStart(
            id, held, ReplyCode::Busy, "no configuration is known yet", SessionEndReason::StartRefused);
    };
    const auto hold = this->hooks.startHold();
    if (hold <= Duration::zero() || link.heldStart)
        return refuse(link);
    link.heldStart = start;
    this->timers.subscribeAt(this->hooks.now() + hold, [this, id, refuse](Time) {
        const auto found = this->links.find(id);
        if (found != this->links.end() && found->second.heldStart)
            refuse(found->second);
    });
    return true;
}

void SessionServer::startHeldSessions()
{
    std::vector<std::uint64_t> held;
    for (const auto& [id, link] : this->links) {
        if (link.heldStart)
            held.push_back(id);
    }
    std::sort(held.begin(), held.end());
    for (const auto id : held) {
        auto& link = this->links.at(id);
        const auto start = *std::exchange(link.heldStart, std::nullopt);
        this->startSession(id, link, start);
    }
}

void SessionServer::checkKeys()
{
    const auto now = this->hooks.now();
    for (auto& [id, link] : this->links) {
        if (link.session)
            link.session->checkKey(now);
    }
}

// Ends a session of which nothing is under way, unless a statement has arrived meanwhile.
void SessionServer::endSession(std::uint64_t id)
{
    const auto found = this->links.find(id);
    if (found == this->links.end() || found->second.ending)
        return;
    auto& link = found->second;
    if (!this->closing) {
        const bool revoked = link.session->isKeyRevoked();
        if (!revoked || link.session->isIdle())
            this->remove(id, revoked ? SessionEndReason::KeyRevoked : SessionEndReason::TooManyWaiting, true);
        return;
    }
    if (!link.session->isIdle())
        return;
    link.ending = true;
    link.socket->write(platform::encodeErrorLine(ReplyCode::Busy, stoppingText));
    this->timers.subscribeAt(
        this->hooks.now() + endLimit, [this, id](Time) { this->remove(id, SessionEndReason::Stopping, true); });
}

void SessionServer::remove(std::uint64_t id, SessionEndReason reason, bool afterWrites)
{
    const auto found = this->links.find(id);
    if (found == this->links.end())
        return;
    auto link = std::move(found->second);
    this->links.erase(found);
    SessionEnd end { reason, link.peer, "", "", false };
    if (link.session) {
        end.database = link.session->database();
        end.request = link.session->requestUnderWay();
        end.inTransaction = !link.session->isIdle() && end.request.empty();
        link.session->onDisconnected(this->hooks.now());
    }
    this->hooks.ended(end);
    if (afterWrites)
        link.socket->closeAfterWrites();
    else
        link.socket->close();
}

void SessionServer::closeAll()
{
    std::vector<std::uint64_t> ids;
    for (const auto& [id, link] : this->links)
        ids.push_back(id);
    for (const auto id : ids)
        this->remove(id, SessionEndReason::StopDeadline, true);
}

void SessionServer::closeIdleSessions()
{
    this->closing = true;
    for (auto& [id, link] : this->links) {
        if (link.session)
            link.session->closeWhenIdle();
    }
}

void SessionServer::abortTransactions(const std::string& reason)
{
    for (auto& [id, link] : this->links) {
        if (link.session)
            link.session->abortTransaction(this->hooks.now(), reason);
    }
}

void SessionServer::expireStatements()
{
    // An answer that the client does not read may remove its session.
    std::vector<std::uint64_t> ids;
    for (const auto& [id, link] : this->links)
        ids.push_back(id);
    for (const auto id : ids) {
        const auto found = this->links.find(id);
        if (found != this->links.end() && found->second.session)
            found->second.session->expireStatement(this->hooks.now());
    }
}

void SessionServer::stopAccepting() { this->listener.close(); }

} // namespace endivetrestle
