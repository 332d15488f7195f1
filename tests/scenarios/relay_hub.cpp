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

constexpr std::size_t largest_pending = 65536;
constexpr int backlog = 256;

/// Ports of relays: below the range from which the system takes the ports of
/// outgoing connections. A connection of any process that got a relay's port
/// while the relay refused connections would keep it from binding again.
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
        throw scenario_error("relay cannot bind");
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
            // Another relay has this port; the next one may be free.
        }
    }
    throw scenario_error("no free relay port");
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
    int ends[2] = {-1, -1};
    if (::pipe2(ends, O_CLOEXEC | O_NONBLOCK) != 0)
    {
        throw scenario_error("relay cannot open a pipe");
    }
    this->wake_read = ends[0];
    this->wake_write = ends[1];
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
    for (pair& pair : this->pairs)
    {
        close_pair(pair, true);
    }
    for (const auto& [port, link] : this->links)
    {
        ::close(link.listener);
    }
    ::close(this->wake_read);
    ::close(this->wake_write);
}

int relay_hub::add(int target_port, const std::string& source)
{
    const int listener = bound_relay_socket();
    ::listen(listener, backlog);
    const int port = port_of(listener);
    const std::lock_guard lock(this->mutex);
    this->links[port] = {listener, target_port, source, mode::open, mode::open};
    this->wake();
    return port;
}

void relay_hub::set_mode(int port, mode value)
{
    std::unique_lock lock(this->mutex);
    link& link = this->links.at(port);
    link.wanted = value;
    this->wake();
    this->applied.wait(lock, [&link] { return link.state == link.wanted; });
}

void relay_hub::apply_modes()
{
    for (auto& [port, link] : this->links)
    {
        if (link.state != link.wanted)
        {
            this->apply(link, port);
        }
    }
    this->applied.notify_all();
}

void relay_hub::apply(link& link, int port)
{
    if (link.wanted == mode::refused)
    {
        // A bound socket that does not listen refuses connections and keeps
        // the port. Only this thread may replace it: while a thread polls a
        // closed listener, the kernel still holds the port.
        ::close(link.listener);
        link.listener = bound_socket("127.0.0.1", port);
        for (pair& pair : this->pairs)
        {
            pair.broken = pair.broken || pair.port == port;
        }
    }
    else if (link.state == mode::refused)
    {
        ::listen(link.listener, backlog);
    }
    link.state = link.wanted;
}

void relay_hub::wake() const
{
    const char byte = 0;
    // A full pipe already wakes the thread.
    [[maybe_unused]] const ssize_t count = ::write(this->wake_write, &byte, 1);
}

std::vector<pollfd> relay_hub::interests()
{
    std::vector<pollfd> result{{this->wake_read, POLLIN, 0}};
    for (const auto& [port, link] : this->links)
    {
        if (link.state == mode::open)
        {
            result.push_back({link.listener, POLLIN, 0});
        }
    }
    const auto add_half = [&result](const half& half)
    {
        if (!half.ended && half.pending.size() < largest_pending)
        {
            result.push_back({half.from, POLLIN, 0});
        }
        if (!half.pending.empty())
        {
            result.push_back({half.to, POLLOUT, 0});
        }
    };
    for (const pair& pair : this->pairs)
    {
        if (this->links[pair.port].state == mode::open)
        {
            add_half(pair.forward);
            add_half(pair.backward);
        }
    }
    return result;
}

void relay_hub::run()
{
    std::unique_lock lock(this->mutex);
    while (!this->stopping)
    {
        std::vector<pollfd> entries = this->interests();
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
        for (auto& [port, link] : this->links)
        {
            if (link.state == mode::open && events[link.listener] != 0)
            {
                this->accept_on(link, port);
            }
        }
        for (pair& pair : this->pairs)
        {
            if (this->links[pair.port].state == mode::open)
            {
                transfer(pair, pair.forward, events[pair.forward.from],
                         events[pair.forward.to]);
                transfer(pair, pair.backward, events[pair.backward.from],
                         events[pair.backward.to]);
            }
            if (pair.broken || (pair.forward.shut && pair.backward.shut))
            {
                close_pair(pair, pair.broken);
            }
        }
        this->pairs.remove_if([](const struct pair& pair)
                              { return pair.forward.from < 0; });
    }
}

void relay_hub::accept_on(link& link, int port)
{
    const int client = ::accept4(link.listener, nullptr, nullptr,
                                 SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (client < 0)
    {
        return;
    }
    const int on = 1;
    ::setsockopt(client, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    const int server = bound_socket(link.source, 0);
    const sockaddr_in target = address_of("127.0.0.1", link.target_port);
    pair added{port, {client, server, {}}, {server, client, {}}};
    if (::connect(server, reinterpret_cast<const sockaddr*>(&target),
                  sizeof(target)) != 0 &&
        errno != EINPROGRESS)
    {
        added.broken = true;
    }
    this->pairs.push_back(std::move(added));
}

void relay_hub::transfer(pair& pair, half& half, short events_from,
                         short events_to)
{
    if ((events_from & (POLLIN | POLLHUP | POLLERR)) != 0 && !half.ended &&
        half.pending.size() < largest_pending)
    {
        char bytes[16384];
        const ssize_t count = ::recv(half.from, bytes, sizeof(bytes), 0);
        if (count > 0)
        {
            half.pending.append(bytes, static_cast<std::size_t>(count));
        }
        else if (count == 0)
        {
            half.ended = true;
        }
        else if (errno != EAGAIN && errno != EINTR && errno != ENOTCONN)
        {
            pair.broken = true;
        }
    }
    if (!half.pending.empty() || (events_to & POLLERR) != 0)
    {
        const ssize_t count = ::send(half.to, half.pending.data(),
                                     half.pending.size(), MSG_NOSIGNAL);
        if (count > 0)
        {
            half.pending.erase(0, static_cast<std::size_t>(count));
        }
        else if (count < 0 && errno != EAGAIN && errno != EINTR &&
                 errno != ENOTCONN)
        {
            pair.broken = true;
        }
    }
    if (half.ended && half.pending.empty() && !half.shut)
    {
        ::shutdown(half.to, SHUT_WR);
        half.shut = true;
    }
}

void relay_hub::close_pair(pair& pair, bool reset)
{
    if (pair.forward.from < 0)
    {
        return;
    }
    if (reset)
    {
        const linger value{1, 0};
        ::setsockopt(pair.forward.from, SOL_SOCKET, SO_LINGER, &value,
                     sizeof(value));
        ::setsockopt(pair.forward.to, SOL_SOCKET, SO_LINGER, &value,
                     sizeof(value));
    }
    ::close(pair.forward.from);
    ::close(pair.forward.to);
    pair.forward.from = -1;
}

} // namespace jujubedrum
