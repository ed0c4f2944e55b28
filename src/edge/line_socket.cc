#include "edge/line_socket.h"

#include "edge/keep_alive.h"

#include <array>

namespace endivetrestle {

namespace {

constexpr std::size_t readBufferBytes = 65536;
// Bytes of a frame's length.
constexpr std::size_t lengthBytes = 4;

std::array<char, readBufferBytes>& sharedBuffer()
{
    static std::array<char, readBufferBytes> buffer;
    return buffer;
}

} // namespace

LineSocket::LineSocket(asio::ip::tcp::socket socket, std::size_t maxLineBytes, Framing framing)
    : socket(std::move(socket))
    , maxLineBytes(maxLineBytes)
    , framing(framing)
{
}

LineSocket::~LineSocket() = default;

void LineSocket::setOptions()
{
    asio::error_code ignored;
    this->socket.non_blocking(true, ignored);
    this->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    enableKeepAlive(this->socket.native_handle());
}

void LineSocket::start(LineCallback lineCallback, ClosedCallback closedCallback)
{
    this->onLine = std::move(lineCallback);
    this->onClosed = std::move(closedCallback);
    this->setOptions();
    this->waitForInput();
}

void LineSocket::connect(const asio::ip::tcp::endpoint& address, std::function<void()> onConnected,
    LineCallback lineCallback, ClosedCallback closedCallback)
{
    this->onLine = std::move(lineCallback);
    this->onClosed = std::move(closedCallback);
    this->socket.async_connect(address,
        [self = this->shared_from_this(), onConnected = std::move(onConnected)](const asio::error_code& error) {
            if (!self->socket.is_open())
                return;
            if (error) {
                self->fail();
                return;
            }
            self->setOptions();
            onConnected();
            self->waitForInput();
        });
}

void LineSocket::waitForInput()
{
    this->socket.async_wait(
        asio::ip::tcp::socket::wait_read, [self = this->shared_from_this()](const asio::error_code& error) {
            if (!self->socket.is_open())
                return;
            if (error)
                self->fail();
            else
                self->readAvailable();
        });
}

void LineSocket::readAvailable()
{
    auto& buffer = sharedBuffer();
    asio::error_code error;
    const auto length = this->socket.read_some(asio::buffer(buffer), error);
    if (error == asio::error::would_block) {
        this->waitForInput();
        return;
    }
    if (error) {
        this->fail();
        return;
    }
    // The lines are handed out from a copy, since handlers may read other sockets into the shared buffer.
    this->partial.append(buffer.data(), length);
    if (!this->takeUnits())
        return;
    if (this->socket.is_open())
        this->waitForInput();
}

std::optional<std::string_view> LineSocket::nextLine(std::string_view& input) const
{
    const auto end = input.find('\n');
    if (end == std::string_view::npos)
        return std::nullopt;
    auto line = input.substr(0, end);
    if (!line.empty() && line.back() == '\r')
        line.remove_suffix(1);
    input.remove_prefix(end + 1);
    return line;
}

std::optional<std::string_view> LineSocket::nextFrame(std::string_view& input) const
{
    if (input.size() < lengthBytes)
        return std::nullopt;
    std::size_t length = 0;
    for (const char byte : input.substr(0, lengthBytes))
        length = length << 8U | static_cast<unsigned char>(byte);
    if (input.size() - lengthBytes < length)
        return std::nullopt;
    const auto frame = input.substr(lengthBytes, length);
    input.remove_prefix(lengthBytes + length);
    return frame;
}

std::optional<std::string_view> LineSocket::nextUnit(std::string_view& input) const
{
    return this->framing == Framing::Lines ? this->nextLine(input) : this->nextFrame(input);
}

bool LineSocket::takeUnits()
{
    const auto self = this->shared_from_this();
    const std::string received = std::move(this->partial);
    this->partial.clear();
    std::string_view input = received;
    while (const auto unit = this->nextUnit(input)) {
        if (!this->onLine(*unit)) {
            this->closeAfterWrites();
            return false;
        }
        if (!this->socket.is_open() || this->closing)
            return false;
    }
    this->partial = input;
    if (this->partial.size() > this->maxLineBytes) {
        this->fail();
        return false;
    }
    return true;
}

void LineSocket::writeFrame(std::string_view frame)
{
    std::string bytes;
    bytes.reserve(lengthBytes + frame.size());
    for (int shift = 24; shift >= 0; shift -= 8)
        bytes += static_cast<char>(frame.size() >> static_cast<unsigned>(shift) & 0xffU);
    bytes += frame;
    this->write(bytes);
}

void LineSocket::write(std::string_view text)
{
    if (!this->socket.is_open() || this->closing)
        return;
    if (this->writing) {
        this->outgoing += text;
        if (this->outgoing.size() > maxPendingWrite)
            this->fail();
        return;
    }
    asio::error_code error;
    const auto written = this->socket.write_some(asio::buffer(text.data(), text.size()), error);
    if (error && error != asio::error::would_block) {
        // The read side reports the loss from the event loop, so that no callback runs inside this call.
        asio::error_code ignored;
        this->socket.shutdown(asio::socket_base::shutdown_both, ignored);
        return;
    }
    if (!error && written == text.size())
        return;
    this->outgoing = text.substr(error ? 0 : written);
    this->writing = true;
    this->flush();
}

void LineSocket::flush()
{
    this->inFlight = std::move(this->outgoing);
    this->outgoing.clear();
    asio::async_write(this->socket, asio::buffer(this->inFlight),
        [self = this->shared_from_this()](const asio::error_code& error, std::size_t) {
            if (!self->socket.is_open())
                return;
            if (error) {
                self->fail();
                return;
            }
            if (!self->outgoing.empty()) {
                self->flush();
                return;
            }
            self->writing = false;
            if (self->closing)
                self->close();
        });
}

void LineSocket::closeAfterWrites()
{
    this->closing = true;
    this->onClosed = nullptr;
    if (!this->writing)
        this->close();
}

void LineSocket::close()
{
    this->onClosed = nullptr;
    asio::error_code ignored;
    this->socket.close(ignored);
}

void LineSocket::fail()
{
    const auto self = this->shared_from_this();
    const auto callback = std::move(this->onClosed);
    this->close();
    if (callback)
        callback();
}

} // namespace endivetrestle
