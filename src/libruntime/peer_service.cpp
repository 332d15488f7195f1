#include "peer_service.hpp"

#include "logging.hpp"
#include "membership/digest_codec.hpp"
#include "peer_convert.hpp"
#include "pending_reply.hpp"

#include <exception>
#include <utility>

namespace jujubedrum
{

namespace
{

constexpr std::uint64_t word_bytes = 8;

/// Returns an upper bound of the size of a reply on the wire.
std::size_t reply_bytes(const peer_reply& reply)
{
    std::size_t bytes = 0;
    if (const auto* done = std::get_if<submit_reply>(&reply))
    {
        bytes = done->outcome.size();
    }
    else if (const auto* found = std::get_if<collect_reply>(&reply))
    {
        bytes = found->outcome.size();
    }
    else if (const auto* page = std::get_if<config_records_reply>(&reply))
    {
        constexpr std::size_t record_overhead = 32;
        for (const stream_record& record : page->records)
        {
            bytes += record.data.size() + record_overhead;
        }
    }
    return bytes;
}

} // namespace

peer_service::peer_service(const peer_options& options, peer_handler& handler,
                           std::shared_ptr<peer_mailbox> mailbox,
                           peer_meter& meter)
    : max_incoming(options.max_incoming)
    , max_message_bytes(options.max_message_bytes)
    , handler(handler)
    , mailbox(std::move(mailbox))
    , meter(meter)
{
}

void peer_service::settle(posted_reply reply)
{
    const auto at = this->waiting.find(reply.request);
    if (at == this->waiting.end())
    {
        return;
    }
    auto fulfiller = kj::mv(at->second);
    this->waiting.erase(at);
    // A peer whose connection closed does not wait any more; this is ignored.
    fulfiller->fulfill(kj::mv(reply.reply));
}

kj::Promise<peer_reply> peer_service::handle(peer_request request)
{
    if (this->waiting.size() >= this->max_incoming)
    {
        return peer_reply(peer_failure{peer_error::overloaded,
                                       peer_delivery::not_sent,
                                       "too many requests are waiting"});
    }
    const std::uint64_t id = ++this->next_request;
    auto pair = kj::newPromiseAndFulfiller<peer_reply>();
    this->waiting.emplace(id, kj::mv(pair.fulfiller));
    const auto pending = std::make_shared<pending_reply>(this->mailbox, id);
    try
    {
        this->handler.on_request(std::move(request), [pending](peer_reply reply)
                                 { pending->send(std::move(reply)); });
    }
    catch (const std::exception& error)
    {
        LOG(ERROR) << "peer: handler failed error=" << error.what();
        pending->send(peer_failure{peer_error::refused, peer_delivery::unknown,
                                   "internal error"});
    }
    return kj::mv(pair.promise);
}

template <typename Reply, typename Context, typename Read, typename Write>
kj::Promise<void> peer_service::answer(Context context, Read read, Write write)
{
    const auto params = context.getParams();
    peer_request request = read(params);
    const std::size_t call = request.index();
    this->meter.add_call_in(call, params.totalSize().wordCount * word_bytes);
    context.releaseParams();
    context.allowCancellation();
    return this->handle(std::move(request))
        .then(
            [this, context, write, call](peer_reply reply) mutable
            {
                auto results = context.getResults();
                if (reply_bytes(reply) > this->max_message_bytes)
                {
                    reply = peer_failure{peer_error::refused,
                                         peer_delivery::unknown,
                                         "the reply is too large"};
                }
                if (const auto* value = std::get_if<Reply>(&reply))
                {
                    write(results, *value);
                }
                else if (const auto* why = std::get_if<peer_failure>(&reply))
                {
                    write_failure(results.initFailure(), *why);
                }
                else
                {
                    write_failure(results.initFailure(),
                                  {peer_error::refused, peer_delivery::unknown,
                                   "reply of another kind"});
                }
                const auto size = results.asReader().totalSize();
                this->meter.add_reply_sent(call, size.wordCount * word_bytes);
            });
}

kj::Promise<void> peer_service::heartbeat(HeartbeatContext context)
{
    return this->answer<heartbeat_reply>(
        context,
        [](auto params)
        { return heartbeat_request{read_digest(params.getDigest())}; },
        [](auto results, const heartbeat_reply& reply)
        { results.setDigest(to_data(encode_digest(reply.digest))); });
}

kj::Promise<void> peer_service::borrow(BorrowContext context)
{
    return this->answer<borrow_reply>(
        context,
        [](auto params)
        {
            return borrow_request{from_text(params.getBorrower()),
                                  params.getIncarnation(), params.getCount(),
                                  params.getMinimumSpeed()};
        },
        [](auto results, const borrow_reply& reply)
        {
            const auto size = static_cast<unsigned>(reply.grants.size());
            write_grants(results.initGrants(size), reply.grants);
        });
}

kj::Promise<void> peer_service::giveBack(GiveBackContext context)
{
    return this->answer<give_back_reply>(
        context,
        [](auto params)
        {
            return give_back_request{from_text(params.getBorrower()),
                                     params.getIncarnation(),
                                     read_ids(params.getGrants())};
        },
        [](auto, const give_back_reply&) {});
}

kj::Promise<void> peer_service::submit(SubmitContext context)
{
    return this->answer<submit_reply>(
        context,
        [](auto params)
        {
            return submit_request{from_text(params.getJob()),
                                  microseconds(params.getRemainingUs()),
                                  params.getHops()};
        },
        [](auto results, const submit_reply& reply)
        { results.setOutcome(to_text(reply.outcome)); });
}

kj::Promise<void> peer_service::collect(CollectContext context)
{
    return this->answer<collect_reply>(
        context,
        [](auto params)
        {
            return collect_request{from_text(params.getId()),
                                   microseconds(params.getWaitUs())};
        },
        [](auto results, const collect_reply& reply)
        { results.setOutcome(to_text(reply.outcome)); });
}

kj::Promise<void> peer_service::cancel(CancelContext context)
{
    return this->answer<cancel_reply>(
        context,
        [](auto params) { return cancel_request{from_text(params.getId())}; },
        [](auto results, const cancel_reply& reply)
        { results.setKnown(reply.known); });
}

kj::Promise<void> peer_service::configRecords(ConfigRecordsContext context)
{
    return this->answer<config_records_reply>(
        context,
        [](auto params) {
            return config_records_request{params.getFrom(), params.getMax()};
        },
        [](auto results, const config_records_reply& reply)
        {
            results.setNext(reply.next);
            const auto size = static_cast<unsigned>(reply.records.size());
            write_records(results.initRecords(size), reply.records);
        });
}

} // namespace jujubedrum
