#include "pending_reply.hpp"

#include <utility>

namespace jujubedrum
{

pending_reply::pending_reply(std::shared_ptr<peer_mailbox> mailbox,
                             std::uint64_t request)
    : mailbox(std::move(mailbox))
    , request(request)
{
}

pending_reply::~pending_reply()
{
    this->send(peer_failure{peer_error::refused, peer_delivery::unknown,
                            "the request was dropped without a reply"});
}

void pending_reply::send(peer_reply reply)
{
    if (!this->answered.exchange(true))
    {
        this->mailbox->post(posted_reply{this->request, std::move(reply)});
    }
}

} // namespace jujubedrum
