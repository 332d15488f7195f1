#include "silent_peer.hpp"

#include <boost/asio/write.hpp>

namespace jujubedrum
{

namespace
{

/// The link counts as dead only after 3.5 times this.
constexpr milliseconds longest_interval{2000};

} // namespace

silent_peer::silent_peer(event_loop& loop, const member_record& tested,
                         bool confirms)
    : socket(loop.context())
{
    this->socket.connect(
        {boost::asio::ip::make_address(tested.address), tested.port});
    heartbeat_message heartbeat;
    heartbeat.instance = {"silent", 1, "d9", 1000, false, {}};
    heartbeat.interval = longest_interval;
    heartbeat.sent_at = confirms ? event_loop::now() : instant(0);
    heartbeat.accepts_link_state = confirms;
    this->send(heartbeat);
}

void silent_peer::send(const dispatch_message& message)
{
    boost::asio::write(this->socket,
                       boost::asio::buffer(encode_frame(message)));
}

void silent_peer::confirm()
{
    this->send(confirm_message{event_loop::now()});
}

void silent_peer::close()
{
    this->socket.close();
}

} // namespace jujubedrum
