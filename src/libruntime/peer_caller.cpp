#include "peer_caller.hpp"

#include "logging.hpp"
#include "peer_calls.hpp"

#include <algorithm>
#include <exception>
#include <utility>

namespace jujubedrum
{

namespace
{

constexpr std::size_t max_links = 1024;

peer_failure to_failure(const kj::Exception& error, peer_delivery delivery)
{
    peer_error code = peer_error::refused;
    if (error.getType() == kj::Exception::Type::DISCONNECTED)
    {
        code = peer_error::unreachable;
    }
    else if (error.getType() == kj::Exception::Type::OVERLOADED)
    {
        code = peer_error::overloaded;
    }
    return {code, delivery, error.getDescription().cStr()};
}

void complete(const std::function<void(peer_reply)>& done, peer_reply reply)
{
    try
    {
        done(std::move(reply));
    }
    catch (const std::exception& error)
    {
        LOG(ERROR) << "peer: completion callback threw error=" << error.what();
    }
}

} // namespace

peer_caller::peer_caller(const peer_link::context& shared)
    : shared(shared)
{
}

peer_caller::~peer_caller()
{
    while (!this->open_calls.empty())
    {
        const std::uint64_t id = this->open_calls.begin()->first;
        this->finish(id,
                     peer_failure{peer_error::unreachable, this->delivery(id),
                                  "the peer RPC has stopped"});
    }
}

void peer_caller::start(posted_call call)
{
    const bool full =
        this->open_calls.size() >= this->shared.options.max_outgoing;
    if (full ||
        request_bytes(call.request) > this->shared.options.max_message_bytes)
    {
        complete(call.done, peer_failure{full ? peer_error::overloaded
                                              : peer_error::refused,
                                         peer_delivery::not_sent,
                                         full ? "too many calls are outstanding"
                                              : "the request is too large"});
        return;
    }
    const std::uint64_t id = ++this->next_call;
    const auto link = this->link_to(call.to);
    const auto reply_timeout =
        this->reply_timeout_of(call.request).count() * kj::MICROSECONDS;
    this->open_calls.emplace(
        id, open_call{std::move(call.done), call.request.index(), false});
    auto answer = link->connected().then(
        [this, id, link, request = std::move(call.request)]()
        {
            wire::Peer::Client peer = link->peer();
            this->open_calls.at(id).sent = true;
            return send_request(kj::mv(peer), request, this->shared.meter)
                .then(
                    [link](peer_reply reply)
                    {
                        link->on_reply();
                        return reply;
                    });
        });
    auto timed_out =
        this->shared.timer.afterDelay(reply_timeout)
            .then(
                [this, id, link]() -> peer_reply
                {
                    link->on_timeout();
                    return peer_failure{peer_error::timeout, this->delivery(id),
                                        "no reply in time"};
                });
    this->shared.tasks.add(
        answer.exclusiveJoin(kj::mv(timed_out))
            .then([this, id](peer_reply reply)
                  { this->finish(id, std::move(reply)); },
                  [this, id](kj::Exception&& error) {
                      this->finish(id, to_failure(error, this->delivery(id)));
                  }));
}

std::shared_ptr<peer_link> peer_caller::link_to(const peer_address& to)
{
    auto& link = this->links[to.name];
    if (link && link->address() != to)
    {
        link->close();
        link = nullptr;
    }
    if (!link)
    {
        link = std::make_shared<peer_link>(this->shared, to);
    }
    auto found = link;
    this->remove_idle_links();
    return found;
}

void peer_caller::remove_idle_links()
{
    if (this->links.size() <= max_links)
    {
        return;
    }
    std::erase_if(this->links,
                  [](const auto& entry) { return entry.second->idle(); });
}

void peer_caller::finish(std::uint64_t id, peer_reply reply)
{
    const auto at = this->open_calls.find(id);
    if (at == this->open_calls.end())
    {
        return;
    }
    const open_call call = std::move(at->second);
    this->open_calls.erase(at);
    if (std::holds_alternative<peer_failure>(reply))
    {
        this->shared.meter.add_failure(call.kind);
    }
    complete(call.done, std::move(reply));
}

microseconds peer_caller::reply_timeout_of(const peer_request& request) const
{
    constexpr microseconds max_duration = std::chrono::minutes(10);
    const peer_options& options = this->shared.options;
    microseconds reply_timeout = options.call_timeout;
    if (const auto* submit = std::get_if<submit_request>(&request))
    {
        reply_timeout =
            std::clamp(submit->remaining, microseconds(0), max_duration) +
            options.reply_margin;
    }
    else if (const auto* collect = std::get_if<collect_request>(&request))
    {
        reply_timeout =
            std::clamp(collect->max_wait, microseconds(0), max_duration) +
            options.reply_margin;
    }
    return reply_timeout;
}

peer_delivery peer_caller::delivery(std::uint64_t id) const
{
    const auto at = this->open_calls.find(id);
    return at != this->open_calls.end() && !at->second.sent
               ? peer_delivery::not_sent
               : peer_delivery::unknown;
}

} // namespace jujubedrum
