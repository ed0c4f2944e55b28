#include "edge/line_socket.h"

#include <catch2/catch.hpp>

#include <string>

using namespace endivetrestle;
using namespace std::chrono_literals;

namespace {

// Two ends of a loopback connection; the far one reads nothing by itself.
class SocketPair {
public:
    SocketPair()
        : far(context)
    {
        asio::ip::tcp::acceptor acceptor(this->context, { asio::ip::address_v4::loopback(), 0 });
        asio::ip::tcp::socket near(this->context);
        this->far.connect(acceptor.local_endpoint());
        acceptor.accept(near);
        this->socket = std::make_shared<LineSocket>(std::move(near), 1000);
    }

    asio::io_context context;
    asio::ip::tcp::socket far;
    std::shared_ptr<LineSocket> socket;
};

} // namespace

TEST_CASE("LineSocket, reports a peer that does not read from the event loop and not inside a write")
{
    // Guards against a session that is destroyed by its own reply and goes on (review/15).
    SocketPair pair;
    bool writing = false;
    int closedInsideWrite = 0;
    int closed = 0;
    int lines = 0;
    pair.socket->start(
        [&](std::string_view) {
            ++lines;
            return true;
        },
        [&] {
            ++closed;
            closedInsideWrite += writing ? 1 : 0;
        });
    const std::string reply(900'000, 'x');
    // More than the kernel and the socket take.
    for (int i = 0; i < 40; ++i) {
        writing = true;
        pair.socket->write(reply);
        writing = false;
    }
    CHECK(closedInsideWrite == 0);
    // Nothing of what the peer has sent is handed out any more.
    asio::write(pair.far, asio::buffer(std::string("READ 1\r\n")));
    pair.context.run_for(100ms);
    CHECK(closed == 1);
    CHECK(lines == 0);
    CHECK_FALSE(pair.socket->isOpen());
}

TEST_CASE("LineSocket, reports nothing after it was closed by its owner")
{
    // Guards against an owner that is told of the loss of a connection that it has dropped.
    SocketPair pair;
    int closed = 0;
    pair.socket->start([](std::string_view) { return true; }, [&] { ++closed; });
    const std::string reply(900'000, 'x');
    for (int i = 0; i < 40; ++i)
        pair.socket->write(reply);
    pair.socket->close();
    pair.context.run_for(100ms);
    CHECK(closed == 0);
}
