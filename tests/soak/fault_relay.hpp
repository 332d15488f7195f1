#pragma once

#include "node/event_loop.hpp"

#include <cstdint>
#include <memory>
#include <set>
#include <string>

#include <boost/asio/ip/tcp.hpp>

namespace jujubedrum
{

/// A TCP relay on loopback whose connections can be delayed, black-holed in
/// one or both directions, or reset.
class fault_relay
{
public:
    fault_relay(event_loop& loop, std::string address, std::uint16_t target);
    ~fault_relay();
    fault_relay(const fault_relay&) = delete;
    fault_relay& operator=(const fault_relay&) = delete;

    [[nodiscard]] std::uint16_t port() const;
    /// Discards all bytes in the given directions, without closing or resetting
    /// connections. Discarded bytes are not delivered later.
    /// \param forward from the connecting side to the target.
    void blackhole(bool forward, bool backward);
    /// Forwards data that is not delayed at once, not with the next tick of the
    /// event loop, so that relays in a row cost the time of one.
    void forward_at_once() { this->at_once = true; }
    /// Delays each chunk of data, in both directions.
    void set_delay(milliseconds duration) { this->forwarding_delay = duration; }
    /// Black-holes both directions of all open connections; heal() does not
    /// undo this. New connections work.
    void blackhole_open_connections();
    /// Delays each chunk of data on the open connections, in both directions,
    /// until they end. New connections are not delayed.
    void delay_open_connections(milliseconds duration);
    void reset_connections();
    /// Ends the delay and black-holing. Connections that lost bytes are reset,
    /// except those of blackhole_open_connections().
    void heal();

private:
    class connection;

    void accept();

    loop_scope loop;
    std::string address; ///< of the target
    std::uint16_t target;
    boost::asio::ip::tcp::acceptor acceptor;
    std::set<std::shared_ptr<connection>> connections;
    bool forward_blackholed = false;
    bool backward_blackholed = false;
    milliseconds forwarding_delay{0};
    bool at_once = false;
};

} // namespace jujubedrum
