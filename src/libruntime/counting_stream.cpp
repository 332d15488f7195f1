#include "counting_stream.hpp"

#include <utility>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace jujubedrum
{

namespace
{

void set_option(kj::AsyncIoStream& stream, int level, int option, int value)
{
    stream.setsockopt(level, option, &value, sizeof(value));
}

} // namespace

counting_stream::counting_stream(kj::Own<kj::AsyncIoStream> stream,
                                 peer_meter& meter)
    : stream(kj::mv(stream))
    , meter(meter)
{
    set_option(*this->stream, IPPROTO_TCP, TCP_NODELAY, 1);
    // Keep-alive probes close an idle connection to an unreachable host after
    // 25 s: 10 s idle, then 3 probes at intervals of 5 s.
    set_option(*this->stream, SOL_SOCKET, SO_KEEPALIVE, 1);
    set_option(*this->stream, IPPROTO_TCP, TCP_KEEPIDLE, 10);
    set_option(*this->stream, IPPROTO_TCP, TCP_KEEPINTVL, 5);
    set_option(*this->stream, IPPROTO_TCP, TCP_KEEPCNT, 3);
}

kj::Promise<std::size_t> counting_stream::tryRead(void* buffer,
                                                  std::size_t min_bytes,
                                                  std::size_t max_bytes)
{
    return this->stream->tryRead(buffer, min_bytes, max_bytes)
        .then(
            [this](std::size_t size)
            {
                this->meter.add_socket_received(size);
                return size;
            });
}

kj::Promise<void> counting_stream::write(const void* buffer, std::size_t size)
{
    this->meter.add_socket_sent(size);
    return this->stream->write(buffer, size);
}

kj::Promise<void>
counting_stream::write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces)
{
    std::size_t size = 0;
    for (const auto& piece : pieces)
    {
        size += piece.size();
    }
    this->meter.add_socket_sent(size);
    return this->stream->write(pieces);
}

kj::Promise<void> counting_stream::whenWriteDisconnected()
{
    return this->stream->whenWriteDisconnected();
}

void counting_stream::shutdownWrite()
{
    this->stream->shutdownWrite();
}

void counting_stream::abortRead()
{
    this->stream->abortRead();
}

void counting_stream::getsockopt(int level, int option, void* value,
                                 unsigned* length)
{
    this->stream->getsockopt(level, option, value, length);
}

} // namespace jujubedrum
