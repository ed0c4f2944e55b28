#include "edge/line_socket.h"

#include "edge/keep_alive.h"

#include <array>

namespace endivetrestle {

namespace {

constexpr std::size_t readBufferBytes = 65536;

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

bool LineSocket::takeUnits()
{
    const auto self = this->shared_from_this();
    const std::string received = std::move(this->partial);
    this->partial.clear();
    std::string_view input = received;
    while (const auto unit = takeUnit(this->framing, input)) {
        if (!this->onLine(*unit)) {
            this->closeAfterWrites();
            return false;
        }
        if (!this->socket.is_open() || this->closing || this->overflowed)
            return false;
    }
    this->partial = input;
    if (exceedsLimit(this->framing, this->partial, this->maxLineBytes)) {
        this->fail();
        return false;
    }
    return true;
}

void LineSocket::writeFrame(std::string_view frame) { this->write(encodeFrame(frame)); }

void LineSocket::write(std::string_view text)
{
    if (!this->socket.is_open() || this->closing || this->overflowed)
        return;
    if (this->writing) {
        this->outgoing += text;
        if (this->outgoing.size() > maxPendingWrite)
            this->onOverflow();
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

// The peer does not read. The loss is reported from the event loop, because whoever writes may be destroyed by it.
void LineSocket::onOverflow()
{
    this->overflowed = true;
    this->outgoing = std::string();
    asio::post(this->socket.get_executor(), [self = this->shared_from_this()] {
        if (self->socket.is_open())
            self->fail();
    });
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
