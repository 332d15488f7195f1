#pragma once

#include "counting_stream.hpp"
#include "peer.capnp.h"
#include "peer_meter.hpp"
#include "peer_options.hpp"

#include <capnp/rpc-twoparty.h>

namespace jujubedrum
{

/// One TCP connection between two peers and the RPC state on it.
class peer_connection
{
public:
    /// Makes the side that calls.
    peer_connection(kj::Own<kj::AsyncIoStream> stream,
                    const peer_options& options, peer_meter& meter);

    /// Makes the side that answers.
    peer_connection(kj::Own<kj::AsyncIoStream> stream,
                    const peer_options& options, peer_meter& meter,
                    wire::Peer::Client service);

    /// Returns the peer at the other end; only for the side that calls.
    [[nodiscard]] wire::Peer::Client peer();

    /// Returns a promise that is fulfilled when the connection has closed.
    [[nodiscard]] kj::Promise<void> closed();

private:
    counting_stream stream;
    capnp::TwoPartyVatNetwork network;
    capnp::RpcSystem<capnp::rpc::twoparty::VatId> system;
};

} // namespace jujubedrum
