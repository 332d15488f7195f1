#pragma once

#include "node/event_loop.hpp"
#include "node/peer_mesh.hpp"

#include <string>

#include <boost/asio/ip/tcp.hpp>

namespace jujubedrum
{

/// Stand-in for an accepting instance that sends only what a test tells it to,
/// at once, and leaves everything unread, as one that has lost its power.
class silent_peer
{
public:
    /// Links to the instance under test and sends one heartbeat, which
    /// announces the longest interval.
    /// \param confirms whether it is of a version that sends confirmations and
    /// link states.
    silent_peer(event_loop& loop, const member_record& tested,
                bool confirms = true);

    void send(const dispatch_message& message);
    /// Sends a confirmation for the present time. Both have the same clock.
    void confirm();
    /// Closes the connection, as the end of the process does.
    void close();

private:
    boost::asio::ip::tcp::socket socket;
};

} // namespace jujubedrum
