#pragma once

#include "peer_meter.hpp"

#include <cstddef>

#include <kj/async-io.h>

namespace jujubedrum
{

/// Counts the bytes of a TCP connection.
class counting_stream final : public kj::AsyncIoStream
{
public:
    /// Sets the socket options of a connection between peers.
    counting_stream(kj::Own<kj::AsyncIoStream> stream, peer_meter& meter);

    kj::Promise<std::size_t> tryRead(void* buffer, std::size_t min_bytes,
                                     std::size_t max_bytes) override;
    kj::Promise<void> write(const void* buffer, std::size_t size) override;
    kj::Promise<void>
    write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) override;
    kj::Promise<void> whenWriteDisconnected() override;
    void shutdownWrite() override;
    void abortRead() override;
    void getsockopt(int level, int option, void* value,
                    unsigned* length) override;

private:
    kj::Own<kj::AsyncIoStream> stream;
    peer_meter& meter;
};

} // namespace jujubedrum
