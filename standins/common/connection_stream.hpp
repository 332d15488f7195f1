#pragma once

#include <chrono>
#include <cstddef>
#include <string>

#include <httplib.h>

namespace jujubedrum
{

/// One accepted connection. Replies are buffered and sent as one write, and
/// can be discarded, so that a fault can hang up without a byte of reply.
class connection_stream : public httplib::Stream
{
public:
    explicit connection_stream(int socket)
        : descriptor(socket)
    {
    }

    /// Makes all further writes fail and discards the buffered ones.
    void close_without_reply();
    /// Marks the reply that is being written as the connection's last.
    void set_last_reply() { this->last_reply = true; }
    /// Returns whether no further request is to be read.
    [[nodiscard]] bool ended() const
    {
        return this->discarding || this->last_reply;
    }
    /// Waits for a byte to read; false after the timeout or on an error.
    [[nodiscard]] bool wait_readable(std::chrono::milliseconds timeout) const;
    /// Sends the buffered reply. Returns false if the peer is gone.
    bool flush();

    [[nodiscard]] bool is_readable() const override;
    [[nodiscard]] bool is_writable() const override;
    ssize_t read(char* data, std::size_t size) override;
    ssize_t write(const char* data, std::size_t size) override;
    void get_remote_ip_and_port(std::string& ip, int& port) const override;
    void get_local_ip_and_port(std::string& ip, int& port) const override;
    [[nodiscard]] int socket() const override { return this->descriptor; }

private:
    const int descriptor;
    std::string input;
    std::size_t consumed = 0;
    std::string output;
    bool discarding = false;
    bool last_reply = false;
};

} // namespace jujubedrum
