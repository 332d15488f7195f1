#include "peer_loop.hpp"

#include "logging.hpp"
#include "peer_caller.hpp"
#include "peer_connection.hpp"
#include "socket_address.hpp"

#include <array>
#include <exception>
#include <utility>

#include <kj/debug.h>

namespace jujubedrum
{

peer_loop::peer_loop(const peer_options& options, peer_handler& handler)
    : options(options)
    , handler(handler)
    , shared_mailbox(std::make_shared<peer_mailbox>(options.ring_capacity))
{
}

peer_loop::~peer_loop()
{
    this->stop();
}

std::string peer_loop::start()
{
    std::promise<std::string> started;
    auto result = started.get_future();
    this->thread = std::thread([this, started = std::move(started)]() mutable
                               { this->run(std::move(started)); });
    return result.get();
}

void peer_loop::stop()
{
    this->shared_mailbox->close();
    if (this->thread.joinable())
    {
        this->thread.join();
    }
}

void peer_loop::taskFailed(kj::Exception&& error)
{
    LOG(WARNING) << "peer: RPC task or accept failed error="
                 << error.getDescription().cStr();
}

void peer_loop::run(std::promise<std::string> started)
{
    bool listening = false;
    try
    {
        auto io = kj::setupAsyncIo();
        const auto address = socket_address::parse(this->options.address,
                                                   this->options.rpc_port);
        if (!address)
        {
            kj::throwFatalException(
                KJ_EXCEPTION(FAILED, "not a numeric IP address"));
        }
        auto socket = io.provider->getNetwork()
                          .getSockaddr(address->data(), address->size())
                          ->listen();
        this->bound_port = static_cast<std::uint16_t>(socket->getPort());
        listening = true;
        started.set_value({});
        this->serve(io, kj::mv(socket));
    }
    catch (const kj::Exception& error)
    {
        const std::string text = error.getDescription().cStr();
        if (!listening)
        {
            started.set_value(text.empty() ? "cannot listen" : text);
        }
        LOG(ERROR) << "peer: RPC thread ended error=" << text;
    }
    this->shared_mailbox->close();
    for (posted_call& call : this->shared_mailbox->take().calls)
    {
        call.done(peer_failure{peer_error::unreachable, peer_delivery::not_sent,
                               "the peer RPC has stopped"});
    }
}

void peer_loop::serve(kj::AsyncIoContext& io,
                      kj::Own<kj::ConnectionReceiver> socket)
{
    auto owned = kj::heap<peer_service>(this->options, this->handler,
                                        this->shared_mailbox, this->traffic);
    peer_service& service = *owned;
    wire::Peer::Client server(kj::mv(owned));
    kj::Timer& timer = io.provider->getTimer();
    // The task set holds promises that use the caller, so the caller is
    // declared first and destroyed last. Its destructor fails the calls whose
    // promises were destroyed with the task set.
    auto caller = kj::Own<peer_caller>();
    {
        kj::TaskSet tasks(*this);
        caller = kj::heap<peer_caller>(
            peer_link::context{io.provider->getNetwork(), timer, tasks,
                               this->options, this->traffic});
        tasks.add(this->accept(*socket, timer, server, tasks));
        auto wake = io.lowLevelProvider->wrapInputFd(
            this->shared_mailbox->wake_descriptor(),
            kj::LowLevelAsyncIoProvider::ALREADY_CLOEXEC |
                kj::LowLevelAsyncIoProvider::ALREADY_NONBLOCK);
        std::array<kj::byte, sizeof(std::uint64_t)> count{};
        for (bool closed = false; !closed;)
        {
            wake->read(count.data(), count.size()).wait(io.waitScope);
            auto batch = this->shared_mailbox->take();
            closed = batch.closed;
            for (posted_reply& reply : batch.replies)
            {
                service.deliver(std::move(reply));
            }
            for (posted_call& call : batch.calls)
            {
                caller->start(std::move(call));
            }
        }
    }
}

kj::Promise<void> peer_loop::accept(kj::ConnectionReceiver& socket,
                                    kj::Timer& timer,
                                    wire::Peer::Client service,
                                    kj::TaskSet& tasks)
{
    return socket.accept()
        .then([this, service, &tasks](kj::Own<kj::AsyncIoStream> stream) mutable
              { this->serve_connection(kj::mv(stream), service, tasks); })
        .catch_(
            [this, &timer](kj::Exception&& error)
            {
                // File descriptors may be exhausted; accepting again without
                // a delay would be a busy loop.
                this->taskFailed(kj::mv(error));
                return timer.afterDelay(100 * kj::MILLISECONDS);
            })
        .then([this, &socket, &timer, service, &tasks]() mutable
              { return this->accept(socket, timer, kj::mv(service), tasks); });
}

void peer_loop::serve_connection(kj::Own<kj::AsyncIoStream> stream,
                                 wire::Peer::Client service, kj::TaskSet& tasks)
{
    if (this->accepted_connections >= this->options.max_connections)
    {
        LOG(WARNING)
            << "peer: new connection closed, too many connections open="
            << this->accepted_connections;
        return;
    }
    ++this->accepted_connections;
    auto connection = kj::heap<peer_connection>(kj::mv(stream), this->options,
                                                this->traffic, kj::mv(service));
    auto closed = connection->closed();
    tasks.add(closed.attach(kj::mv(connection))
                  .attach(kj::defer([this] { --this->accepted_connections; })));
}

} // namespace jujubedrum
