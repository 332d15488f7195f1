#include "fault_relay.hpp"

#include <algorithm>
#include <array>

#include <boost/asio/write.hpp>

namespace jujubedrum
{

namespace asio = boost::asio;
using asio::ip::tcp;

/// One relayed connection: the accepted socket and the one to the target.
class fault_relay::connection : public std::enable_shared_from_this<connection>
{
public:
    connection(fault_relay& relay, tcp::socket accepted)
        : owner(&relay)
        , accepted_socket(std::move(accepted))
        , target_socket(relay.loop.context())
    {
    }

    void connect()
    {
        this->target_socket.async_connect(
            {asio::ip::make_address(this->owner->address), this->owner->target},
            [self = this->shared_from_this()](
                const boost::system::error_code& error)
            {
                if (error || self->owner == nullptr)
                {
                    self->close(true);
                    return;
                }
                self->pump(true);
                self->pump(false);
            });
    }

    void close(bool reset)
    {
        if (reset)
        {
            boost::system::error_code ignored;
            this->accepted_socket.set_option(asio::socket_base::linger(true, 0),
                                             ignored);
            this->target_socket.set_option(asio::socket_base::linger(true, 0),
                                           ignored);
        }
        boost::system::error_code ignored;
        this->accepted_socket.close(ignored);
        this->target_socket.close(ignored);
        if (this->owner != nullptr)
        {
            fault_relay* relay = this->owner;
            this->owner = nullptr;
            relay->connections.erase(this->shared_from_this());
        }
    }

    bool always_blackholed = false;
    milliseconds own_delay{0};
    bool has_dropped_bytes = false;

private:
    void pump(bool forward)
    {
        auto& from = forward ? this->accepted_socket : this->target_socket;
        auto& bytes = forward ? this->forward_bytes : this->backward_bytes;
        from.async_read_some(
            asio::buffer(bytes),
            [self = this->shared_from_this(),
             forward](const boost::system::error_code& error, std::size_t size)
            { self->on_bytes(forward, error, size); });
    }

    void on_bytes(bool forward, const boost::system::error_code& error,
                  std::size_t size)
    {
        if (this->owner == nullptr)
        {
            return;
        }
        const bool blackholed = this->always_blackholed ||
                                (forward ? this->owner->forward_blackholed
                                         : this->owner->backward_blackholed);
        if (error)
        {
            // A black-holed direction does not forward the end of a connection
            // either.
            if (!blackholed)
            {
                this->close(false);
            }
            return;
        }
        if (blackholed)
        {
            this->has_dropped_bytes = true;
            this->pump(forward);
            return;
        }
        const milliseconds delay =
            std::max(this->own_delay, this->owner->forwarding_delay);
        if (this->owner->at_once && delay.count() == 0)
        {
            this->write_bytes(forward, size);
            return;
        }
        this->owner->loop.after(delay,
                                [self = this->shared_from_this(), forward, size]
                                { self->write_bytes(forward, size); });
    }

    void write_bytes(bool forward, std::size_t size)
    {
        auto& to = forward ? this->target_socket : this->accepted_socket;
        auto& bytes = forward ? this->forward_bytes : this->backward_bytes;
        asio::async_write(
            to, asio::buffer(bytes.data(), size),
            [self = this->shared_from_this(),
             forward](const boost::system::error_code& error, std::size_t)
            {
                if (error)
                {
                    self->close(false);
                    return;
                }
                self->pump(forward);
            });
    }

    fault_relay* owner;
    tcp::socket accepted_socket;
    tcp::socket target_socket;
    std::array<char, 16384> forward_bytes{};
    std::array<char, 16384> backward_bytes{};
};

fault_relay::fault_relay(event_loop& events, std::string host,
                         std::uint16_t port)
    : loop(events)
    , address(std::move(host))
    , target(port)
    , acceptor(events.context(), {asio::ip::make_address("127.0.0.1"), 0})
{
    this->accept();
}

fault_relay::~fault_relay()
{
    boost::system::error_code ignored;
    this->acceptor.close(ignored);
    this->reset_connections();
}

std::uint16_t fault_relay::port() const
{
    return this->acceptor.local_endpoint().port();
}

void fault_relay::accept()
{
    this->acceptor.async_accept(
        [this](const boost::system::error_code& error, tcp::socket socket)
        {
            if (error)
            {
                return;
            }
            const auto added =
                std::make_shared<connection>(*this, std::move(socket));
            this->connections.insert(added);
            added->connect();
            this->accept();
        });
}

void fault_relay::blackhole(bool forward, bool backward)
{
    this->forward_blackholed = forward;
    this->backward_blackholed = backward;
}

void fault_relay::blackhole_open_connections()
{
    for (const auto& each : this->connections)
    {
        each->always_blackholed = true;
    }
}

void fault_relay::delay_open_connections(milliseconds duration)
{
    for (const auto& each : this->connections)
    {
        each->own_delay = duration;
    }
}

void fault_relay::reset_connections()
{
    const auto all = this->connections;
    for (const auto& each : all)
    {
        each->close(true);
    }
}

void fault_relay::heal()
{
    this->forward_blackholed = false;
    this->backward_blackholed = false;
    this->forwarding_delay = milliseconds(0);
    const auto all = this->connections;
    for (const auto& each : all)
    {
        if (each->has_dropped_bytes && !each->always_blackholed)
        {
            each->close(true);
        }
    }
}

} // namespace jujubedrum
