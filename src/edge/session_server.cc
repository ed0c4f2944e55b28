#include "edge/session_server.h"

#include "base/log.h"

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
    if (this->links.size() >= this->maxSessions) {
        logEvent(LogLevel::Warning, "session_limit", { { "sessions", this->links.size() } });
        return;
    }
    const auto id = ++this->lastId;
    auto& link = this->links[id];
    link.socket = std::make_shared<LineSocket>(std::move(socket), platform::maxLineBytes);
    link.socket->start(
        [this, id](std::string_view line) { return this->onLine(id, line); }, [this, id] { this->remove(id, false); });
}

bool SessionServer::onLine(std::uint64_t id, std::string_view line)
{
    const auto found = this->links.find(id);
    if (found == this->links.end())
        return false;
    auto& link = found->second;
    auto decoded = platform::parseClientLine(line);
    switch (decoded.kind) {
    case platform::ClientLineKind::Terminate:
        this->remove(id, true);
        return false;
    case platform::ClientLineKind::Startup:
        if (!link.session)
            return this->startSession(id, link, decoded.databaseName);
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
    if (!link.session) {
        link.socket->write(platform::encodeStartupError(ReplyCode::Malformed, "a session start is expected"));
        this->remove(id, true);
        return false;
    }
    Statement unknown;
    link.session->onStatement(unknown, this->hooks.now());
    return this->links.count(id) != 0;
}

bool SessionServer::startSession(std::uint64_t id, Link& link, const std::string& databaseName)
{
    const auto table = this->hooks.routes();
    if (!table || table->find(databaseName) == nullptr) {
        const auto code = table ? ReplyCode::UnknownDatabase : ReplyCode::Busy;
        link.socket->write(
            platform::encodeStartupError(code, table ? "no such database" : "no configuration is known yet"));
        this->remove(id, true);
        return false;
    }
    SessionHooks sessionHooks;
    sessionHooks.now = this->hooks.now;
    sessionHooks.reply = [socket = link.socket.get()](const SessionReply& reply) { socket->write(encodeReply(reply)); };
    sessionHooks.close = [this, id] {
        // The session is on the stack of this call.
        asio::post(this->context, [this, id] { this->remove(id, true); });
    };
    sessionHooks.routes = this->hooks.routes;
    sessionHooks.runner = this->hooks.runner;
    sessionHooks.record = this->hooks.record;
    link.session = std::make_unique<ClientSession>(databaseName, this->timers, std::move(sessionHooks));
    link.socket->write(platform::encodeReady(SessionPhase::Idle, std::nullopt));
    if (this->closing)
        link.session->closeWhenIdle();
    return true;
}

void SessionServer::remove(std::uint64_t id, bool afterWrites)
{
    const auto found = this->links.find(id);
    if (found == this->links.end())
        return;
    auto link = std::move(found->second);
    this->links.erase(found);
    if (link.session)
        link.session->onDisconnected(this->hooks.now());
    if (afterWrites)
        link.socket->closeAfterWrites();
    else
        link.socket->close();
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

void SessionServer::stopAccepting() { this->listener.close(); }

} // namespace endivetrestle
