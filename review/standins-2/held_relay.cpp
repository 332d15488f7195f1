#include "held_relay.hpp"

#include <array>
#include <utility>

#include <boost/asio/write.hpp>

#include <fcntl.h>

namespace jujubedrum
{

namespace asio = boost::asio;
using asio::ip::tcp;

namespace
{

/// Keeps child processes from inheriting the socket, which would leave the
/// connection open after the relay has closed it.
void close_on_exec(tcp::socket& socket)
{
    (void)::fcntl(socket.native_handle(), F_SETFD, FD_CLOEXEC);
}

} // namespace

/// One relayed connection. The ends are numbered: 0 is the accepted socket, 1
/// the one to the target.
class held_relay::connection : public std::enable_shared_from_this<connection>
{
public:
    connection(held_relay& relay, tcp::socket accepted)
        : owner(&relay)
        , ends{side(std::move(accepted)),
               side(tcp::socket(relay.loop.context()))}
    {
    }

    void connect()
    {
        close_on_exec(this->ends[0].socket);
        boost::system::error_code ignored;
        this->ends[1].socket.open(tcp::v4(), ignored);
        close_on_exec(this->ends[1].socket);
        this->ends[1].socket.async_connect(
            {asio::ip::make_address(this->owner->address), this->owner->target},
            [self = this->shared_from_this()](
                const boost::system::error_code& error)
            {
                if (error)
                {
                    self->close();
                    return;
                }
                self->read(0);
                self->read(1);
            });
    }

    void close()
    {
        for (side& each : this->ends)
        {
            boost::system::error_code ignored;
            each.socket.close(ignored);
        }
        if (this->owner != nullptr)
        {
            std::exchange(this->owner, nullptr)
                ->connections.erase(this->shared_from_this());
        }
    }

    void set_held(bool value)
    {
        this->held = value;
        this->deliver(0);
        this->deliver(1);
    }

    [[nodiscard]] bool is_held() const { return this->held; }
    [[nodiscard]] std::size_t held_to_target() const
    {
        return this->held ? this->ends[0].received.size() : 0;
    }

private:
    struct side
    {
        explicit side(tcp::socket connected)
            : socket(std::move(connected))
        {
        }

        tcp::socket socket;
        std::array<char, 16384> chunk{};
        std::string received; ///< from this end, for the other one
        std::string writing;  ///< to the other end
        bool finished = false;
    };

    void read(std::size_t from)
    {
        side& end = this->ends.at(from);
        end.socket.async_read_some(
            asio::buffer(end.chunk),
            [self = this->shared_from_this(),
             from](const boost::system::error_code& error, std::size_t size)
            {
                side& read_end = self->ends.at(from);
                read_end.received.append(read_end.chunk.data(), size);
                read_end.finished = read_end.finished || error;
                self->deliver(from);
                if (!error)
                {
                    self->read(from);
                }
            });
    }

    void deliver(std::size_t from)
    {
        side& end = this->ends.at(from);
        if (this->held || this->owner == nullptr || !end.writing.empty())
        {
            return;
        }
        if (end.received.empty())
        {
            if (end.finished)
            {
                this->close();
            }
            return;
        }
        end.writing.swap(end.received);
        asio::async_write(
            this->ends.at(1 - from).socket, asio::buffer(end.writing),
            [self = this->shared_from_this(),
             from](const boost::system::error_code& error, std::size_t)
            {
                self->ends.at(from).writing.clear();
                if (error)
                {
                    // The receiver has closed the connection. What it sent
                    // before is still delivered.
                    self->ends.at(from).received.clear();
                    self->ends.at(from).finished = true;
                    self->deliver(1 - from);
                    return;
                }
                self->deliver(from);
            });
    }

    held_relay* owner;
    std::array<side, 2> ends;
    bool held = false;
};

held_relay::held_relay(event_loop& events, std::string host,
                       std::uint16_t target_port, std::uint16_t own_port)
    : loop(events)
    , address(std::move(host))
    , target(target_port)
    , acceptor(events.context(),
               {asio::ip::make_address(this->address), own_port})
{
    this->accept();
}

held_relay::~held_relay()
{
    boost::system::error_code ignored;
    this->acceptor.close(ignored);
    const auto all = this->connections;
    for (const auto& each : all)
    {
        each->close();
    }
}

std::uint16_t held_relay::port() const
{
    return this->acceptor.local_endpoint().port();
}

void held_relay::accept()
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
            added->set_held(this->hold_new);
            this->connections.insert(added);
            added->connect();
            this->accept();
        });
}

void held_relay::hold_open_connections()
{
    for (const auto& each : this->connections)
    {
        each->set_held(true);
    }
}

void held_relay::release()
{
    this->hold_new = false;
    const auto all = this->connections;
    for (const auto& each : all)
    {
        each->set_held(false);
    }
}

std::size_t held_relay::fresh_connections() const
{
    std::size_t count = 0;
    for (const auto& each : this->connections)
    {
        count += each->is_held() ? 0 : 1;
    }
    return count;
}

std::size_t held_relay::held_bytes() const
{
    std::size_t bytes = 0;
    for (const auto& each : this->connections)
    {
        bytes += each->held_to_target();
    }
    return bytes;
}

} // namespace jujubedrum
