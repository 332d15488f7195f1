#include "fault_relay.hpp"

#include <array>

#include <boost/asio/write.hpp>

namespace jujubedrum
{

namespace asio = boost::asio;
using asio::ip::tcp;

/// The two sockets of one relayed connection.
class fault_relay::pair : public std::enable_shared_from_this<pair>
{
public:
    pair(fault_relay& relay, tcp::socket accepted)
        : owner(&relay)
        , near(std::move(accepted))
        , far(relay.loop.context())
    {
    }

    void begin()
    {
        this->far.async_connect(
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
            this->near.set_option(asio::socket_base::linger(true, 0), ignored);
            this->far.set_option(asio::socket_base::linger(true, 0), ignored);
        }
        boost::system::error_code ignored;
        this->near.close(ignored);
        this->far.close(ignored);
        if (this->owner != nullptr)
        {
            fault_relay* relay = this->owner;
            this->owner = nullptr;
            relay->pairs.erase(this->shared_from_this());
        }
    }

    bool frozen = false;
    bool lost_bytes = false;

private:
    void pump(bool forward)
    {
        auto& from = forward ? this->near : this->far;
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
        const bool silent =
            this->frozen || (forward ? this->owner->forward_silent
                                     : this->owner->backward_silent);
        if (error)
        {
            // The end of a connection does not pass a silent link either.
            if (!silent)
            {
                this->close(false);
            }
            return;
        }
        if (silent)
        {
            this->lost_bytes = true;
            this->pump(forward);
            return;
        }
        this->owner->loop.after(this->owner->lag,
                                [self = this->shared_from_this(), forward, size]
                                { self->pass(forward, size); });
    }

    void pass(bool forward, std::size_t size)
    {
        auto& to = forward ? this->far : this->near;
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
    tcp::socket near;
    tcp::socket far;
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
            const auto added = std::make_shared<pair>(*this, std::move(socket));
            this->pairs.insert(added);
            added->begin();
            this->accept();
        });
}

void fault_relay::silence(bool towards_target, bool back)
{
    this->forward_silent = towards_target;
    this->backward_silent = back;
}

void fault_relay::freeze_connections()
{
    for (const auto& each : this->pairs)
    {
        each->frozen = true;
    }
}

void fault_relay::reset_connections()
{
    const auto all = this->pairs;
    for (const auto& each : all)
    {
        each->close(true);
    }
}

void fault_relay::heal()
{
    this->forward_silent = false;
    this->backward_silent = false;
    this->lag = milliseconds(0);
    const auto all = this->pairs;
    for (const auto& each : all)
    {
        if (each->lost_bytes && !each->frozen)
        {
            each->close(true);
        }
    }
}

} // namespace jujubedrum
