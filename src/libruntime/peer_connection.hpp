#pragma once

#include "counting_stream.hpp"
#include "peer.capnp.h"
#include "peer_meter.hpp"
#include "peer_options.hpp"

#include <capnp/rpc-twoparty.h>

namespace jujubedrum
{

/// A TCP connection between two peers, with the state of the RPC protocol on
/// it.
class peer_connection
{
public:
    /// Creates the client side.
    peer_connection(kj::Own<kj::AsyncIoStream> stream,
                    const peer_options& options, peer_meter& meter);

    /// Creates the server side.
    /// \param service handles the calls of the peer.
    peer_connection(kj::Own<kj::AsyncIoStream> stream,
                    const peer_options& options, peer_meter& meter,
                    wire::Peer::Client service);

    /// Returns the interface of the peer; client side only.
    [[nodiscard]] wire::Peer::Client peer();

    /// Returns a promise that is fulfilled once the connection has closed.
    [[nodiscard]] kj::Promise<void> closed();

private:
    counting_stream stream;
    capnp::TwoPartyVatNetwork network;
    capnp::RpcSystem<capnp::rpc::twoparty::VatId> system;
};

} // namespace jujubedrum
