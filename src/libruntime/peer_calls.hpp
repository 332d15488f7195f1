#pragma once

#include "engine/peer_messages.hpp"
#include "peer.capnp.h"
#include "peer_meter.hpp"

#include <cstddef>

#include <kj/async.h>

namespace jujubedrum
{

/// Returns an upper bound of the size of a request on the wire, in bytes.
[[nodiscard]] std::size_t request_bytes(const peer_request& request);

/// Sends a request over a connection. The promise ends with the reply, or with
/// the failure that the peer answered; it breaks if the connection does.
[[nodiscard]] kj::Promise<peer_reply> send_request(wire::Peer::Client peer,
                                                   const peer_request& request,
                                                   peer_meter& meter);

} // namespace jujubedrum
