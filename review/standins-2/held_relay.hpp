#pragma once

#include "node/event_loop.hpp"

#include <cstdint>
#include <memory>
#include <set>
#include <string>

#include <boost/asio/ip/tcp.hpp>

namespace jujubedrum
{

/// A TCP relay on loopback that can hold the bytes of its open connections and
/// deliver them later, in order and completely, as a network does that was
/// partitioned for less than the time after which a connection is given up.
class held_relay
{
public:
    /// \param port to listen on; 0: any.
    held_relay(event_loop& loop, std::string address, std::uint16_t target,
               std::uint16_t port = 0);
    ~held_relay();
    held_relay(const held_relay&) = delete;
    held_relay& operator=(const held_relay&) = delete;

    [[nodiscard]] std::uint16_t port() const;
    /// Holds all further bytes of the open connections, in both directions,
    /// also the end of a connection. New connections are not affected.
    void hold_open_connections();
    /// Holds the bytes of new connections until release().
    void hold_new_connections() { this->hold_new = true; }
    /// Delivers the held bytes, and what follows them. Ends a partition.
    void release();
    /// Returns the number of open connections that are not held.
    [[nodiscard]] std::size_t fresh_connections() const;
    /// Returns the number of held bytes on their way to the target.
    [[nodiscard]] std::size_t held_bytes() const;

private:
    class connection;

    void accept();

    event_loop& loop;
    std::string address;
    std::uint16_t target;
    boost::asio::ip::tcp::acceptor acceptor;
    std::set<std::shared_ptr<connection>> connections;
    bool hold_new = false;
};

} // namespace jujubedrum
