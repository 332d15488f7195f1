#pragma once

#include "peer_meter.hpp"

#include <cstddef>

#include <kj/async-io.h>

namespace jujubedrum
{

/// Wraps the TCP stream between two peers and counts the bytes sent and
/// received in a `peer_meter`.
class counting_stream final : public kj::AsyncIoStream
{
public:
    /// Sets TCP_NODELAY and the keep-alive options on the socket.
    /// \param meter must outlive the stream.
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
