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

/// Returns the size of the variable part of a reply on the wire, in bytes; 0
/// for replies of small size.
std::size_t reply_bytes(const peer_reply& reply)
{
    std::size_t bytes = 0;
    if (const auto* done = std::get_if<job_reply>(&reply))
    {
        bytes = done->body.size();
    }
    else if (const auto* page = std::get_if<config_records_reply>(&reply))
    {
        constexpr std::size_t record_overhead = 32;
        for (const log_record& record : page->records)
        {
            bytes += record.data.size() + record_overhead;
        }
    }
    return bytes;
}

constexpr auto write_body = [](auto results, const job_reply& reply)
{ results.setBody(to_text(reply.body)); };

constexpr auto write_revoked =
    [](auto results, const std::vector<std::uint64_t>& revoked)
{
    if (!revoked.empty())
    {
        write_ids(results.initRevoked(static_cast<unsigned>(revoked.size())),
                  revoked);
    }
};

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

void peer_service::deliver(posted_reply reply)
{
    const auto at = this->pending_requests.find(reply.request);
    if (at == this->pending_requests.end())
    {
        return;
    }
    auto fulfiller = kj::mv(at->second);
    this->pending_requests.erase(at);
    // Has no effect if the connection of the peer has closed since.
    fulfiller->fulfill(kj::mv(reply.reply));
}

kj::Promise<peer_reply> peer_service::handle(peer_request request)
{
    if (this->pending_requests.size() >= this->max_incoming)
    {
        return peer_reply(peer_failure{peer_error::overloaded,
                                       peer_delivery::not_sent,
                                       "too many requests are waiting"});
    }
    const std::uint64_t id = ++this->next_request;
    auto pair = kj::newPromiseAndFulfiller<peer_reply>();
    this->pending_requests.emplace(id, kj::mv(pair.fulfiller));
    const auto pending = std::make_shared<pending_reply>(this->mailbox, id);
    try
    {
        this->handler.on_request(std::move(request), [pending](peer_reply reply)
                                 { pending->send(std::move(reply)); });
    }
    catch (const std::exception& error)
    {
        LOG(ERROR) << "peer: request handler threw error=" << error.what();
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
        {
            heartbeat_request request{read_digest(params.getDigest()),
                                      read_report(params.getGrants())};
            request.grants.borrower = request.digest.name;
            return request;
        },
        [](auto results, const heartbeat_reply& reply)
        {
            results.setDigest(to_data(encode_digest(reply.digest)));
            write_revoked(results, reply.revoked);
        });
}

kj::Promise<void> peer_service::borrow(BorrowContext context)
{
    return this->answer<borrow_reply>(
        context,
        [](auto params)
        {
            return borrow_request{read_report(params.getGrants()),
                                  params.getSequence(), params.getNeeded(),
                                  params.getWanted()};
        },
        [](auto results, const borrow_reply& reply)
        {
            write_grant(results.initGrant(), reply.grant);
            write_report(results.initGrants(), reply.report);
            write_revoked(results, reply.revoked);
        });
}

kj::Promise<void> peer_service::giveBack(GiveBackContext context)
{
    return this->answer<grant_report_reply>(
        context, [](auto params) { return read_report(params.getGrants()); },
        [](auto results, const grant_report_reply& reply)
        { write_revoked(results, reply.revoked); });
}

kj::Promise<void> peer_service::submit(SubmitContext context)
{
    return this->answer<job_reply>(
        context,
        [](auto params)
        {
            return submit_request{from_text(params.getJob()),
                                  microseconds(params.getRemainingUs()),
                                  params.getHops()};
        },
        write_body);
}

kj::Promise<void> peer_service::collect(CollectContext context)
{
    return this->answer<job_reply>(
        context,
        [](auto params)
        {
            return collect_request{from_text(params.getId()),
                                   from_text(params.getTeam()),
                                   microseconds(params.getWaitUs())};
        },
        write_body);
}

kj::Promise<void> peer_service::cancel(CancelContext context)
{
    return this->answer<job_reply>(
        context,
        [](auto params)
        {
            return cancel_request{from_text(params.getId()),
                                  from_text(params.getTeam())};
        },
        write_body);
}

kj::Promise<void> peer_service::configRecords(ConfigRecordsContext context)
{
    return this->answer<config_records_reply>(
        context,
        [](auto params) { return config_records_request{params.getFrom()}; },
        [](auto results, const config_records_reply& reply)
        {
            const auto size = static_cast<unsigned>(reply.records.size());
            write_records(results.initRecords(size), reply.records);
        });
}

} // namespace jujubedrum
