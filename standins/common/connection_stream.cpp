#include "common/connection_stream.hpp"

#include <algorithm>
#include <cerrno>
#include <cstring>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>

namespace jujubedrum
{

namespace
{

constexpr std::size_t read_buffer_bytes = 16384;
constexpr std::size_t write_buffer_bytes = 65536;
constexpr std::chrono::milliseconds read_timeout(10000);

bool wait_for_events(int descriptor, short events,
                     std::chrono::milliseconds timeout)
{
    pollfd entry{descriptor, events, 0};
    int count = 0;
    do
    {
        count = ::poll(&entry, 1, static_cast<int>(timeout.count()));
    } while (count < 0 && errno == EINTR);
    return count > 0;
}

void to_ip_and_port(const sockaddr_in& address, std::string& ip, int& port)
{
    std::array<char, INET_ADDRSTRLEN> text{};
    ::inet_ntop(AF_INET, &address.sin_addr, text.data(), text.size());
    ip = text.data();
    port = ntohs(address.sin_port);
}

} // namespace

void connection_stream::close_without_reply()
{
    this->discarding = true;
    this->output.clear();
}

bool connection_stream::wait_readable(std::chrono::milliseconds timeout) const
{
    return this->consumed < this->input.size() ||
           wait_for_events(this->descriptor, POLLIN, timeout);
}

bool connection_stream::flush()
{
    std::size_t sent = 0;
    while (sent < this->output.size())
    {
        const ssize_t count =
            ::send(this->descriptor, this->output.data() + sent,
                   this->output.size() - sent, MSG_NOSIGNAL);
        if (count < 0 && errno == EINTR)
        {
            continue;
        }
        if (count <= 0)
        {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    this->output.clear();
    return true;
}

bool connection_stream::is_readable() const
{
    return this->wait_readable(read_timeout);
}

bool connection_stream::is_writable() const
{
    return !this->discarding;
}

ssize_t connection_stream::read(char* data, std::size_t size)
{
    if (this->consumed == this->input.size())
    {
        if (!this->flush() || !this->wait_readable(read_timeout))
        {
            return -1;
        }
        this->input.resize(read_buffer_bytes);
        const ssize_t count =
            ::recv(this->descriptor, this->input.data(), this->input.size(), 0);
        this->input.resize(
            static_cast<std::size_t>(std::max<ssize_t>(count, 0)));
        this->consumed = 0;
        if (count <= 0)
        {
            return count;
        }
    }
    const std::size_t count =
        std::min(size, this->input.size() - this->consumed);
    std::memcpy(data, this->input.data() + this->consumed, count);
    this->consumed += count;
    return static_cast<ssize_t>(count);
}

ssize_t connection_stream::write(const char* data, std::size_t size)
{
    if (this->discarding)
    {
        return -1;
    }
    this->output.append(data, size);
    if (this->output.size() >= write_buffer_bytes && !this->flush())
    {
        return -1;
    }
    return static_cast<ssize_t>(size);
}

void connection_stream::get_remote_ip_and_port(std::string& ip, int& port) const
{
    sockaddr_in address{};
    socklen_t length = sizeof(address);
    ::getpeername(this->descriptor, reinterpret_cast<sockaddr*>(&address),
                  &length);
    to_ip_and_port(address, ip, port);
}

void connection_stream::get_local_ip_and_port(std::string& ip, int& port) const
{
    sockaddr_in address{};
    socklen_t length = sizeof(address);
    ::getsockname(this->descriptor, reinterpret_cast<sockaddr*>(&address),
                  &length);
    to_ip_and_port(address, ip, port);
}

} // namespace jujubedrum
