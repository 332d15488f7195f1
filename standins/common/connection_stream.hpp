#pragma once

#include <chrono>
#include <cstddef>
#include <string>

#include <httplib.h>

namespace jujubedrum
{

/// Stream over one accepted connection. Output is buffered until the reply is
/// complete or exceeds 64 KiB, so that an injected fault can close the
/// connection before any byte of the reply is sent. Does not own the socket.
class connection_stream : public httplib::Stream
{
public:
    explicit connection_stream(int socket)
        : descriptor(socket)
    {
    }

    /// Discards the buffered output and makes all further writes fail.
    void close_without_reply();
    /// Marks the current reply as the last one on this connection.
    void set_last_reply() { this->last_reply = true; }
    /// Returns whether the connection is to be closed instead of reading
    /// another request.
    [[nodiscard]] bool ended() const
    {
        return this->discarding || this->last_reply;
    }
    /// Waits until input is available. Returns false on timeout or error.
    [[nodiscard]] bool wait_readable(std::chrono::milliseconds timeout) const;
    /// Sends the buffered output. Returns false if the connection is closed
    /// or fails.
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
