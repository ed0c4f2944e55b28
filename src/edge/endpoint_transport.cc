#include "edge/endpoint_transport.h"

#include "base/log.h"

namespace endivetrestle {

EndpointTransport::EndpointTransport(asio::io_context& context, EndpointInput input)
    : context(context)
    , input(std::move(input))
{
}

EndpointTransport::~EndpointTransport()
{
    for (auto& [id, link] : this->links)
        link.socket->close();
}

void EndpointTransport::open(ConnectionId id, const EndpointRecord& record, const WorkspaceId& workspace)
{
    auto& link = this->links[id];
    link.endpoint = record.id;
    link.socket = std::make_shared<LineSocket>(asio::ip::tcp::socket(this->context), platform::maxLineBytes);
    asio::error_code error;
    const auto address = asio::ip::make_address(record.address.ip, error);
    link.socket->connect(
        asio::ip::tcp::endpoint(address, record.address.port),
        [this, id, greeting = platform::encodeStartup(record.group, workspace, record.id)] {
            if (this->input.connected)
                this->input.connected(id);
            this->write(id, greeting);
        },
        [this, id](std::string_view line) { return this->onLine(id, line); }, [this, id] { this->onLost(id); });
}

bool EndpointTransport::onLine(ConnectionId id, std::string_view line)
{
    const auto found = this->links.find(id);
    if (found == this->links.end())
        return false;
    auto& link = found->second;
    switch (link.parser.addLine(line)) {
    case platform::AnswerParser::Result::NeedMore:
        return true;
    case platform::AnswerParser::Result::StartupRefused: {
        const auto answer = link.parser.take();
        logEvent(LogLevel::Debug, "endpoint_refused_session",
            { { "connection", id }, { "code", replyCodeName(answer.code) } });
        this->close(id);
        if (answer.code == ReplyCode::TooManyConnections)
            this->input.full(id);
        else
            this->input.closed(id);
        return false;
    }
    case platform::AnswerParser::Result::Repeated:
        logEvent(LogLevel::Warning, "session_start_answered_again",
            { { "endpoint", link.endpoint.value }, { "connection", id } });
        return true;
    case platform::AnswerParser::Result::Broken:
        logEvent(LogLevel::Warning, "endpoint_answer_unreadable",
            { { "endpoint", link.endpoint.value }, { "connection", id }, { "bytes", line.size() },
                { "started", link.started ? 1 : 0 } });
        this->onLost(id);
        return false;
    case platform::AnswerParser::Result::Complete:
        break;
    }
    const auto answer = link.parser.take();
    if (!link.started) {
        link.started = true;
        this->input.opened(id, answer.position);
    } else
        this->input.answered(id, answer);
    return this->links.count(id) != 0;
}

void EndpointTransport::onLost(ConnectionId id)
{
    this->close(id);
    this->input.closed(id);
}

void EndpointTransport::send(ConnectionId id, const EndpointCommand& command)
{
    this->write(id, platform::encodeCommand(command));
}

// Nothing is sent of a line that cannot be built. The connection counts as lost, since the caller expects an answer.
void EndpointTransport::write(ConnectionId id, const std::optional<std::string>& line)
{
    const auto found = this->links.find(id);
    if (found == this->links.end())
        return;
    if (line) {
        found->second.socket->write(*line);
        return;
    }
    logEvent(LogLevel::Error, "endpoint_line_not_sent", { { "connection", id }, { "reason", "separator_in_field" } });
    asio::post(this->context, [this, id, alive = std::weak_ptr<int>(this->lifetime)] {
        if (!alive.expired() && this->links.count(id) != 0)
            this->onLost(id);
    });
}

void EndpointTransport::close(ConnectionId id)
{
    const auto found = this->links.find(id);
    if (found == this->links.end())
        return;
    const auto socket = found->second.socket;
    this->links.erase(found);
    socket->close();
}

} // namespace endivetrestle
