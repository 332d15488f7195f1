#pragma once

#include <algorithm>
#include <cstddef>
#include <cstring>
#include <string>

#include <httplib.h>

namespace jujubedrum
{

/// In-memory stream that reads from a string and discards its output.
class text_stream : public httplib::Stream
{
public:
    explicit text_stream(std::string text)
        : text(std::move(text))
    {
    }

    [[nodiscard]] bool is_readable() const override { return true; }
    [[nodiscard]] bool is_writable() const override { return true; }
    ssize_t read(char* data, std::size_t size) override
    {
        const std::size_t count =
            std::min(size, this->text.size() - this->consumed);
        std::memcpy(data, this->text.data() + this->consumed, count);
        this->consumed += count;
        return static_cast<ssize_t>(count);
    }
    ssize_t write(const char*, std::size_t size) override
    {
        return static_cast<ssize_t>(size);
    }
    void get_remote_ip_and_port(std::string&, int&) const override {}
    void get_local_ip_and_port(std::string&, int&) const override {}
    [[nodiscard]] int socket() const override { return -1; }

private:
    const std::string text;
    std::size_t consumed = 0;
};

} // namespace jujubedrum
