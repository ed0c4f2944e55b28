#include "soak/fault_link.h"

#include <array>

namespace endivetrestle::soak {

namespace {

void resetSocket(asio::ip::tcp::socket& socket)
{
    asio::error_code ignored;
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

} // namespace

const char* linkCutName(LinkCut how)
{
    switch (how) {
    case LinkCut::None:
        return "none";
    case LinkCut::Silent:
        return "silent";
    case LinkCut::Reset:
        return "reset";
    case LinkCut::Refused:
        return "refused";
    case LinkCut::OneWay:
        break;
    }
    return "one_way";
}

struct FaultLink::Pair {
    explicit Pair(asio::ip::tcp::socket client)
        : client(std::move(client))
        , server(this->client.get_executor())
    {
    }

    void closeBoth()
    {
        resetSocket(this->client);
        resetSocket(this->server);
    }

    asio::ip::tcp::socket client;
    asio::ip::tcp::socket server;
    // Bytes under way in each direction.
    std::array<std::array<char, 16384>, 2> buffers {};
    std::array<bool, 2> silent {};
};

FaultLink::FaultLink(
    asio::io_context& context, std::mt19937_64& random, std::function<asio::ip::tcp::endpoint()> target)
    : context(context)
    , random(random)
    , target(std::move(target))
    , reservation(context, asio::ip::tcp::v4())
    , acceptor(context)
{
    this->reservation.set_option(asio::socket_base::reuse_address(true));
    this->reservation.bind({ asio::ip::address_v4::loopback(), 0 });
    this->boundPort = this->reservation.local_endpoint().port();
    this->listen();
}

FaultLink::~FaultLink()
{
    for (const auto& pair : this->pairs)
        pair->closeBoth();
}

void FaultLink::listen()
{
    const asio::ip::tcp::endpoint address(asio::ip::address_v4::loopback(), this->boundPort);
    this->acceptor.open(address.protocol());
    this->acceptor.set_option(asio::socket_base::reuse_address(true));
    this->acceptor.bind(address);
    this->acceptor.listen();
    this->accept();
}

void FaultLink::cut(LinkCut how)
{
    this->present = how;
    if (how == LinkCut::Refused)
        this->acceptor.close();
    else if (!this->acceptor.is_open())
        this->listen();
    if (how == LinkCut::Refused || how == LinkCut::Reset)
        this->reset(1.0);
    else if (how != LinkCut::None)
        this->silence(1.0, how == LinkCut::Silent);
}

void FaultLink::accept()
{
    this->acceptor.async_accept(
        [this, weak = std::weak_ptr<int>(this->lifetime)](const asio::error_code& error, asio::ip::tcp::socket socket) {
            if (weak.expired() || error)
                return;
            const auto pair = std::make_shared<Pair>(std::move(socket));
            if (this->present == LinkCut::Reset) {
                pair->closeBoth();
                this->accept();
                return;
            }
            const bool silent = this->present == LinkCut::Silent;
            pair->silent = { silent, silent || this->present == LinkCut::OneWay };
            pair->server.async_connect(this->target(), [this, weak, pair](const asio::error_code& failed) {
                if (weak.expired())
                    return;
                if (failed) {
                    pair->closeBoth();
                    return;
                }
                asio::error_code ignored;
                pair->client.set_option(asio::ip::tcp::no_delay(true), ignored);
                pair->server.set_option(asio::ip::tcp::no_delay(true), ignored);
                this->pairs.insert(pair);
                this->pump(pair, true);
                this->pump(pair, false);
            });
            this->accept();
        });
}

void FaultLink::pump(const std::shared_ptr<Pair>& pair, bool towardsTarget)
{
    auto& from = towardsTarget ? pair->client : pair->server;
    auto& to = towardsTarget ? pair->server : pair->client;
    auto& buffer = pair->buffers.at(towardsTarget ? 0 : 1);
    from.async_read_some(asio::buffer(buffer),
        [this, weak = std::weak_ptr<int>(this->lifetime), pair, towardsTarget, &buffer, &to](
            const asio::error_code& error, std::size_t length) {
            if (weak.expired())
                return;
            if (error) {
                pair->closeBoth();
                this->pairs.erase(pair);
                return;
            }
            if (pair->silent.at(towardsTarget ? 0 : 1)) {
                this->pump(pair, towardsTarget);
                return;
            }
            const auto timer = std::make_shared<asio::steady_timer>(this->context, this->delay);
            timer->async_wait([this, weak, pair, towardsTarget, &buffer, &to, length, timer](const asio::error_code&) {
                asio::async_write(to, asio::buffer(buffer.data(), length),
                    [this, weak, pair, towardsTarget](const asio::error_code& failed, std::size_t) {
                        if (!weak.expired() && !failed)
                            this->pump(pair, towardsTarget);
                    });
            });
        });
}

void FaultLink::reset(double share)
{
    for (auto pair = this->pairs.begin(); pair != this->pairs.end();) {
        if (std::uniform_real_distribution<double>(0, 1)(this->random) >= share) {
            ++pair;
            continue;
        }
        (*pair)->closeBoth();
        pair = this->pairs.erase(pair);
    }
}

void FaultLink::silence(double share, bool bothWays)
{
    for (const auto& pair : this->pairs) {
        if (std::uniform_real_distribution<double>(0, 1)(this->random) >= share)
            continue;
        pair->silent[1] = true;
        pair->silent[0] = bothWays;
    }
}

} // namespace endivetrestle::soak
