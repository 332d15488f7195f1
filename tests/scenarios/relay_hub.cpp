#include "relay_hub.hpp"

#include "scenario_error.hpp"

#include <algorithm>
#include <cerrno>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace jujubedrum
{

namespace
{

constexpr std::size_t max_pending_bytes = 65536;
constexpr int listen_backlog = 256;

/// Ports of relays, below the system's ephemeral port range: if an outgoing
/// connection of any process took a relay's port while the relay refused
/// connections, the relay could not bind to it again.
constexpr int first_relay_port = 30000;
constexpr int relay_port_count = 2700;

sockaddr_in address_of(const std::string& ip, int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

int bound_socket(const std::string& ip, int port)
{
    const int socket =
        ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    const sockaddr_in address = address_of(ip, port);
    if (::bind(socket, reinterpret_cast<const sockaddr*>(&address),
               sizeof(address)) != 0)
    {
        ::close(socket);
        throw scenario_error(
            "relay cannot bind its listening or outgoing socket");
    }
    return socket;
}

int bound_relay_socket()
{
    const int start = static_cast<int>(::getpid()) * 37 % relay_port_count;
    for (int tries = 0; tries < relay_port_count; ++tries)
    {
        try
        {
            return bound_socket("127.0.0.1",
                                first_relay_port +
                                    (start + tries) % relay_port_count);
        }
        catch (const scenario_error&)
        {
            // The port is in use, as by another relay; try the next one.
        }
    }
    throw scenario_error("no free relay port: the whole range is in use");
}

int port_of(int socket)
{
    sockaddr_in address{};
    socklen_t length = sizeof(address);
    ::getsockname(socket, reinterpret_cast<sockaddr*>(&address), &length);
    return ntohs(address.sin_port);
}

} // namespace

relay_hub::relay_hub()
{
    int pipe_ends[2] = {-1, -1};
    if (::pipe2(pipe_ends, O_CLOEXEC | O_NONBLOCK) != 0)
    {
        throw scenario_error("relay hub cannot open its wake-up pipe");
    }
    this->wake_read = pipe_ends[0];
    this->wake_write = pipe_ends[1];
    this->thread = std::thread([this] { this->run(); });
}

relay_hub::~relay_hub()
{
    {
        const std::lock_guard lock(this->mutex);
        this->stopping = true;
    }
    this->wake();
    this->thread.join();
    for (connection& connection : this->connections)
    {
        close_connection(connection, true);
    }
    for (const auto& [port, relay] : this->relays)
    {
        ::close(relay.listener);
    }
    ::close(this->wake_read);
    ::close(this->wake_write);
}

int relay_hub::add(int target_port, const std::string& source_address)
{
    const int listener = bound_relay_socket();
    ::listen(listener, listen_backlog);
    const int port = port_of(listener);
    const std::lock_guard lock(this->mutex);
    this->relays[port] = {listener, target_port, source_address, mode::open,
                          mode::open};
    this->wake();
    return port;
}

void relay_hub::set_mode(int port, mode value)
{
    std::unique_lock lock(this->mutex);
    relay& relay = this->relays.at(port);
    relay.requested_mode = value;
    this->wake();
    this->mode_applied.wait(
        lock, [&relay] { return relay.applied_mode == relay.requested_mode; });
}

void relay_hub::apply_modes()
{
    for (auto& [port, relay] : this->relays)
    {
        if (relay.applied_mode != relay.requested_mode)
        {
            this->apply_mode(relay, port);
        }
    }
    this->mode_applied.notify_all();
}

void relay_hub::apply_mode(relay& relay, int port)
{
    if (relay.requested_mode == mode::refused)
    {
        // A socket that is bound but does not listen refuses connections and
        // reserves the port. Only this thread may replace the listener: while
        // a thread polls a closed listener, the kernel still holds its port.
        ::close(relay.listener);
        relay.listener = bound_socket("127.0.0.1", port);
        for (connection& connection : this->connections)
        {
            connection.failed = connection.failed || connection.port == port;
        }
    }
    else if (relay.applied_mode == mode::refused)
    {
        ::listen(relay.listener, listen_backlog);
    }
    relay.applied_mode = relay.requested_mode;
}

void relay_hub::wake() const
{
    const char byte = 0;
    // If the pipe is full, the thread is going to wake up anyway.
    [[maybe_unused]] const ssize_t count = ::write(this->wake_write, &byte, 1);
}

std::vector<pollfd> relay_hub::poll_entries()
{
    std::vector<pollfd> result{{this->wake_read, POLLIN, 0}};
    for (const auto& [port, relay] : this->relays)
    {
        if (relay.applied_mode == mode::open)
        {
            result.push_back({relay.listener, POLLIN, 0});
        }
    }
    const auto add_direction = [&result](const direction& direction)
    {
        if (!direction.source_closed &&
            direction.pending.size() < max_pending_bytes)
        {
            result.push_back({direction.from, POLLIN, 0});
        }
        if (!direction.pending.empty())
        {
            result.push_back({direction.to, POLLOUT, 0});
        }
    };
    for (const connection& connection : this->connections)
    {
        if (this->relays[connection.port].applied_mode == mode::open)
        {
            add_direction(connection.forward);
            add_direction(connection.backward);
        }
    }
    return result;
}

void relay_hub::run()
{
    std::unique_lock lock(this->mutex);
    while (!this->stopping)
    {
        std::vector<pollfd> entries = this->poll_entries();
        lock.unlock();
        ::poll(entries.data(), entries.size(), 1000);
        lock.lock();
        char bytes[64];
        while (::read(this->wake_read, bytes, sizeof(bytes)) > 0)
        {
        }
        this->apply_modes();
        std::map<int, short> events;
        for (const pollfd& entry : entries)
        {
            events[entry.fd] |= entry.revents;
        }
        for (auto& [port, relay] : this->relays)
        {
            if (relay.applied_mode == mode::open && events[relay.listener] != 0)
            {
                this->accept_connection(relay, port);
            }
        }
        for (connection& connection : this->connections)
        {
            if (this->relays[connection.port].applied_mode == mode::open)
            {
                transfer(connection, connection.forward,
                         events[connection.forward.from],
                         events[connection.forward.to]);
                transfer(connection, connection.backward,
                         events[connection.backward.from],
                         events[connection.backward.to]);
            }
            if (connection.failed || (connection.forward.target_shut_down &&
                                      connection.backward.target_shut_down))
            {
                close_connection(connection, connection.failed);
            }
        }
        this->connections.remove_if([](const struct connection& connection)
                                    { return connection.forward.from < 0; });
    }
}

void relay_hub::accept_connection(relay& relay, int port)
{
    const int client = ::accept4(relay.listener, nullptr, nullptr,
                                 SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (client < 0)
    {
        return;
    }
    const int on = 1;
    ::setsockopt(client, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    const int server = bound_socket(relay.source_address, 0);
    const sockaddr_in target = address_of("127.0.0.1", relay.target_port);
    connection added{port, {client, server, {}}, {server, client, {}}};
    if (::connect(server, reinterpret_cast<const sockaddr*>(&target),
                  sizeof(target)) != 0 &&
        errno != EINPROGRESS)
    {
        added.failed = true;
    }
    this->connections.push_back(std::move(added));
}

void relay_hub::transfer(connection& connection, direction& direction,
                         short events_from, short events_to)
{
    if ((events_from & (POLLIN | POLLHUP | POLLERR)) != 0 &&
        !direction.source_closed &&
        direction.pending.size() < max_pending_bytes)
    {
        char bytes[16384];
        const ssize_t count = ::recv(direction.from, bytes, sizeof(bytes), 0);
        if (count > 0)
        {
            direction.pending.append(bytes, static_cast<std::size_t>(count));
        }
        else if (count == 0)
        {
            direction.source_closed = true;
        }
        else if (errno != EAGAIN && errno != EINTR && errno != ENOTCONN)
        {
            connection.failed = true;
        }
    }
    if (!direction.pending.empty() || (events_to & POLLERR) != 0)
    {
        const ssize_t count = ::send(direction.to, direction.pending.data(),
                                     direction.pending.size(), MSG_NOSIGNAL);
        if (count > 0)
        {
            direction.pending.erase(0, static_cast<std::size_t>(count));
        }
        else if (count < 0 && errno != EAGAIN && errno != EINTR &&
                 errno != ENOTCONN)
        {
            connection.failed = true;
        }
    }
    if (direction.source_closed && direction.pending.empty() &&
        !direction.target_shut_down)
    {
        ::shutdown(direction.to, SHUT_WR);
        direction.target_shut_down = true;
    }
}

void relay_hub::close_connection(connection& connection, bool reset)
{
    if (connection.forward.from < 0)
    {
        return;
    }
    if (reset)
    {
        const linger value{1, 0};
        ::setsockopt(connection.forward.from, SOL_SOCKET, SO_LINGER, &value,
                     sizeof(value));
        ::setsockopt(connection.forward.to, SOL_SOCKET, SO_LINGER, &value,
                     sizeof(value));
    }
    ::close(connection.forward.from);
    ::close(connection.forward.to);
    connection.forward.from = -1;
}

} // namespace jujubedrum
