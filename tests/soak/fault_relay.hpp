#pragma once

#include "node/event_loop.hpp"

#include <cstdint>
#include <memory>
#include <set>
#include <string>

#include <boost/asio/ip/tcp.hpp>

namespace jujubedrum
{

/// A TCP relay on loopback whose connections can be delayed, cut in one or
/// both directions without a sign, or reset.
class fault_relay
{
public:
    fault_relay(event_loop& loop, std::string address, std::uint16_t target);
    ~fault_relay();
    fault_relay(const fault_relay&) = delete;
    fault_relay& operator=(const fault_relay&) = delete;

    [[nodiscard]] std::uint16_t port() const;
    /// Bytes in a silenced direction are lost, also after it opens again.
    void blackhole(bool forward, bool backward);
    void set_delay(milliseconds duration) { this->forwarding_delay = duration; }
    /// Makes all present connections silent for good; new ones work.
    void blackhole_open_connections();
    void reset_connections();
    /// Opens both directions. Connections that lost bytes are reset.
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
};

} // namespace jujubedrum
