#include "peer_link.hpp"

#include "logging.hpp"
#include "socket_address.hpp"

#include <algorithm>
#include <utility>

#include <kj/debug.h>

namespace jujubedrum
{

namespace
{

constexpr std::uint32_t max_consecutive_timeouts = 3;

} // namespace

peer_link::peer_link(const context& shared, peer_address to)
    : shared(shared)
    , to(std::move(to))
    , reconnect_backoff(shared.options.min_reconnect_backoff)
    , retry_at(shared.timer.now())
{
}

kj::Promise<void> peer_link::connected()
{
    if (this->current == phase::open)
    {
        return kj::READY_NOW;
    }
    if (this->current == phase::idle)
    {
        if (this->shared.timer.now() < this->retry_at)
        {
            return KJ_EXCEPTION(DISCONNECTED, "waiting to connect again");
        }
        this->current = phase::connecting;
        this->connect_attempt = this->connect().fork();
    }
    return KJ_ASSERT_NONNULL(this->connect_attempt).addBranch();
}

wire::Peer::Client peer_link::peer()
{
    KJ_IF_MAYBE (open, this->remote)
    {
        return *open;
    }
    kj::throwFatalException(KJ_EXCEPTION(DISCONNECTED, "closed at once"));
}

kj::Promise<void> peer_link::connect()
{
    auto address = socket_address::parse(this->to.address, this->to.rpc_port);
    if (!address)
    {
        this->on_connect_failed();
        return KJ_EXCEPTION(DISCONNECTED, "not a numeric IP address");
    }
    auto target =
        this->shared.network.getSockaddr(address->data(), address->size());
    auto connected = target->connect().attach(kj::mv(target));
    const auto timeout =
        this->shared.options.connect_timeout.count() * kj::MICROSECONDS;
    return this->shared.timer.timeoutAfter(timeout, kj::mv(connected))
        .then([this](kj::Own<kj::AsyncIoStream> stream)
              { this->open(kj::mv(stream)); })
        .catch_(
            [this](kj::Exception&& error)
            {
                this->on_connect_failed();
                const auto text = error.getDescription();
                kj::throwFatalException(KJ_EXCEPTION(DISCONNECTED, text));
            });
}

void peer_link::open(kj::Own<kj::AsyncIoStream> stream)
{
    this->connection = kj::heap<peer_connection>(
        kj::mv(stream), this->shared.options, this->shared.meter);
    this->remote = this->connection->peer();
    this->current = phase::open;
    this->consecutive_timeouts = 0;
    this->reconnect_backoff = this->shared.options.min_reconnect_backoff;
    const std::uint64_t opened = ++this->connection_serial;
    this->shared.tasks.add(this->connection->closed().then(
        [weak = this->weak_from_this(), opened]
        {
            const auto self = weak.lock();
            if (self && self->connection_serial == opened)
            {
                self->close();
            }
        }));
}

void peer_link::on_connect_failed()
{
    this->current = phase::idle;
    this->retry_at = this->shared.timer.now() +
                     this->reconnect_backoff.count() * kj::MICROSECONDS;
    this->reconnect_backoff =
        std::min(2 * this->reconnect_backoff,
                 this->shared.options.max_reconnect_backoff);
    LOG(DEBUG) << "peer: connect failed peer=" << this->to.name
               << " address=" << this->to.address << ":" << this->to.rpc_port;
}

void peer_link::on_timeout()
{
    if (++this->consecutive_timeouts >= max_consecutive_timeouts &&
        this->current == phase::open)
    {
        LOG(INFO) << "peer: closing connection after call timeouts peer="
                  << this->to.name;
        this->close();
    }
}

void peer_link::close()
{
    if (this->current != phase::open)
    {
        return;
    }
    this->current = phase::idle;
    this->remote = nullptr;
    // Destroyed later, because close() may be called from a callback of this
    // connection.
    this->shared.tasks.add(kj::evalLater(
        [old = kj::mv(this->connection)]() mutable { old = nullptr; }));
}

} // namespace jujubedrum
