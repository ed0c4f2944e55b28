#pragma once

#include "edge/framing.h"

#include <asio.hpp>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace endivetrestle {

// TCP connection that exchanges lines or length-prefixed frames, on the caller's event loop. An idle connection holds
// no read buffer: all connections of a loop share one.
//
// The line callback returns false to stop reading, after which the connection is closed. The closed callback runs once,
// unless close() was called before, and never inside a call of this class. The callbacks must not keep the socket
// alive.
class LineSocket : public std::enable_shared_from_this<LineSocket> {
public:
    using LineCallback = std::function<bool(std::string_view line)>;
    using ClosedCallback = std::function<void()>;

    // Bytes that may wait to be written. A peer that does not read is closed beyond that.
    static constexpr std::size_t maxPendingWrite = 8U << 20U;

    LineSocket(asio::ip::tcp::socket socket, std::size_t maxLineBytes, Framing framing = Framing::Lines);
    ~LineSocket();
    LineSocket(const LineSocket&) = delete;
    LineSocket& operator=(const LineSocket&) = delete;

    // Starts reading on a connected socket.
    void start(LineCallback onLine, ClosedCallback onClosed);
    // Connects first. The connected callback runs before the first line; failures are reported as closed.
    void connect(const asio::ip::tcp::endpoint& address, std::function<void()> onConnected, LineCallback onLine,
        ClosedCallback onClosed);

    // Writes bytes as they are.
    void write(std::string_view text);
    // Writes one unit in the framing Lengths.
    void writeFrame(std::string_view frame);
    // Closes after what was written has been handed to the kernel. No callback follows.
    void closeAfterWrites();
    // Closes at once. No callback follows.
    void close();

    [[nodiscard]] bool isOpen() const { return this->socket.is_open(); }

private:
    void waitForInput();
    void readAvailable();
    bool takeUnits();
    void flush();
    void fail();
    void onOverflow();
    void setOptions();

    asio::ip::tcp::socket socket;
    std::size_t maxLineBytes;
    Framing framing;
    LineCallback onLine;
    ClosedCallback onClosed;
    // Incomplete unit.
    std::string partial;
    // Bytes that wait behind the write that is under way.
    std::string outgoing;
    std::string inFlight;
    bool writing = false;
    bool closing = false;
    // Whether more waits than may. Nothing is read or written any more, and the loss is reported soon.
    bool overflowed = false;
};

} // namespace endivetrestle
