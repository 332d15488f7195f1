#pragma once

#include "peer_handler.hpp"
#include "peer_mailbox.hpp"
#include "peer_meter.hpp"
#include "peer_options.hpp"
#include "peer_service.hpp"

#include <cstddef>
#include <cstdint>
#include <future>
#include <memory>
#include <string>
#include <thread>

#include <kj/async-io.h>

namespace jujubedrum
{

/// Runs the RPC thread: the event loop of the server and of all connections.
class peer_loop : private kj::TaskSet::ErrorHandler
{
public:
    peer_loop(const peer_options& options, peer_handler& handler);
    peer_loop(const peer_loop&) = delete;
    peer_loop& operator=(const peer_loop&) = delete;
    ~peer_loop();

    /// Starts the thread and waits until it listens. Returns an empty string,
    /// or the cause if it cannot listen.
    [[nodiscard]] std::string start();

    /// Stops and joins the thread. Open calls fail with `unreachable`.
    void stop();

    [[nodiscard]] peer_mailbox& mailbox() { return *this->shared_mailbox; }
    [[nodiscard]] const peer_meter& meter() const { return this->traffic; }
    [[nodiscard]] std::uint16_t port() const { return this->bound_port; }

private:
    void taskFailed(kj::Exception&& error) override;
    void run(std::promise<std::string> started);
    void serve(kj::AsyncIoContext& io, kj::Own<kj::ConnectionReceiver> socket);
    kj::Promise<void> accept(kj::ConnectionReceiver& socket, kj::Timer& timer,
                             wire::Peer::Client service, kj::TaskSet& tasks);
    void serve_connection(kj::Own<kj::AsyncIoStream> stream,
                          wire::Peer::Client service, kj::TaskSet& tasks);

    peer_options options;
    peer_handler& handler;
    std::shared_ptr<peer_mailbox> shared_mailbox;
    peer_meter traffic;
    std::size_t accepted_connections = 0;
    std::uint16_t bound_port = 0;
    std::thread thread;
};

} // namespace jujubedrum
