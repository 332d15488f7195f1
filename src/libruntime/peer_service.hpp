#pragma once

#include "peer.capnp.h"
#include "peer_handler.hpp"
#include "peer_mailbox.hpp"
#include "peer_meter.hpp"
#include "peer_options.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>

#include <kj/async.h>

namespace jujubedrum
{

/// Server side of the peer RPC: passes requests to the handler and keeps them
/// until the reply arrives on the RPC thread. Used on the RPC thread only.
class peer_service final : public wire::Peer::Server
{
public:
    peer_service(const peer_options& options, peer_handler& handler,
                 std::shared_ptr<peer_mailbox> mailbox, peer_meter& meter);

    /// Sends a reply to the peer that made the request; ignores the reply to an
    /// unknown request.
    void deliver(posted_reply reply);

    kj::Promise<void> heartbeat(HeartbeatContext context) override;
    kj::Promise<void> borrow(BorrowContext context) override;
    kj::Promise<void> giveBack(GiveBackContext context) override;
    kj::Promise<void> submit(SubmitContext context) override;
    kj::Promise<void> collect(CollectContext context) override;
    kj::Promise<void> cancel(CancelContext context) override;
    kj::Promise<void> configRecords(ConfigRecordsContext context) override;

private:
    kj::Promise<peer_reply> handle(peer_request request);

    template <typename Reply, typename Context, typename Read, typename Write>
    kj::Promise<void> answer(Context context, Read read, Write write);

    std::size_t max_incoming;
    std::size_t max_message_bytes;
    peer_handler& handler;
    std::shared_ptr<peer_mailbox> mailbox;
    peer_meter& meter;
    std::uint64_t next_request = 0;
    std::map<std::uint64_t, kj::Own<kj::PromiseFulfiller<peer_reply>>>
        pending_requests;
};

} // namespace jujubedrum
