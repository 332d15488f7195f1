#include "peer_connection.hpp"

#include <utility>

#include <capnp/message.h>

namespace jujubedrum
{

namespace
{

constexpr std::size_t word_bytes = 8;

capnp::ReaderOptions reader_options(const peer_options& options)
{
    capnp::ReaderOptions limits;
    // The contents are traversed twice: to determine the size and to read them.
    limits.traversalLimitInWords = 2 * options.max_message_bytes / word_bytes;
    limits.nestingLimit = 16;
    return limits;
}

std::size_t flow_limit(const peer_options& options)
{
    // Bound on the unanswered requests of one connection, in words. Four
    // messages of maximum size let heartbeats pass next to large submissions.
    return 4 * options.max_message_bytes / word_bytes;
}

} // namespace

peer_connection::peer_connection(kj::Own<kj::AsyncIoStream> from,
                                 const peer_options& options, peer_meter& meter)
    : stream(kj::mv(from), meter)
    , network(this->stream, capnp::rpc::twoparty::Side::CLIENT,
              reader_options(options))
    , system(capnp::makeRpcClient(this->network))
{
    meter.add_connection();
}

peer_connection::peer_connection(kj::Own<kj::AsyncIoStream> from,
                                 const peer_options& options, peer_meter& meter,
                                 wire::Peer::Client service)
    : stream(kj::mv(from), meter)
    , network(this->stream, capnp::rpc::twoparty::Side::SERVER,
              reader_options(options))
    , system(capnp::makeRpcServer(this->network, kj::mv(service)))
{
    this->system.setFlowLimit(flow_limit(options));
}

wire::Peer::Client peer_connection::peer()
{
    capnp::MallocMessageBuilder message(4);
    auto vat = message.initRoot<capnp::rpc::twoparty::VatId>();
    vat.setSide(capnp::rpc::twoparty::Side::SERVER);
    return this->system.bootstrap(vat).castAs<wire::Peer>();
}

kj::Promise<void> peer_connection::closed()
{
    return this->network.onDisconnect();
}

} // namespace jujubedrum
