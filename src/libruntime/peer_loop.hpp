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

/// The RPC thread: runs the event loop with the server and all connections.
class peer_loop : private kj::TaskSet::ErrorHandler
{
public:
    peer_loop(const peer_options& options, peer_handler& handler);
    peer_loop(const peer_loop&) = delete;
    peer_loop& operator=(const peer_loop&) = delete;
    ~peer_loop();

    /// Starts the thread. Returns an empty text, or why it cannot listen.
    [[nodiscard]] std::string start();

    /// Ends the thread and waits for it.
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
