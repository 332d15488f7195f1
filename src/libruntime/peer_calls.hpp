#pragma once

#include "engine/peer_messages.hpp"
#include "peer.capnp.h"
#include "peer_meter.hpp"

#include <cstddef>

#include <kj/async.h>

namespace jujubedrum
{

/// Returns an upper bound on the size of a request on the wire, in bytes.
[[nodiscard]] std::size_t request_bytes(const peer_request& request);

/// Sends a request over a connection. The promise is fulfilled with the reply
/// or the `peer_failure` that the peer sent; it is rejected if the connection
/// fails.
[[nodiscard]] kj::Promise<peer_reply> send_request(wire::Peer::Client peer,
                                                   const peer_request& request,
                                                   peer_meter& meter);

} // namespace jujubedrum
