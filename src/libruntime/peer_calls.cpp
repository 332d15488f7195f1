#include "peer_calls.hpp"

#include "membership/digest_codec.hpp"
#include "peer_convert.hpp"

#include <type_traits>
#include <utility>

namespace jujubedrum
{

namespace
{

constexpr std::uint64_t word_bytes = 8;

template <typename... Handlers>
struct overloaded : Handlers...
{
    using Handlers::operator()...;
};

template <typename... Handlers>
overloaded(Handlers...) -> overloaded<Handlers...>;

template <typename Request, typename Read>
kj::Promise<peer_reply> send(Request request, std::size_t call,
                             peer_meter& meter, Read read)
{
    const auto size = request.asReader().totalSize();
    meter.add_call_out(call, size.wordCount * word_bytes);
    return request.send().then(
        [call, &meter, read](auto&& response) -> peer_reply
        {
            meter.add_reply_received(call, response.totalSize().wordCount *
                                               word_bytes);
            if (response.hasFailure())
            {
                return read_failure(response.getFailure());
            }
            return read(response);
        });
}

} // namespace

std::size_t request_bytes(const peer_request& request)
{
    // Names and ids have at most 128 characters, and a digest has at most
    // 8 observations and 256 grants.
    constexpr std::size_t fixed = 8192;
    return fixed +
           std::visit(overloaded{[](const submit_request& submit)
                                 { return submit.job.size(); },
                                 [](const give_back_request& give_back)
                                 { return give_back.grants.size() * 8; },
                                 [](const auto&) { return std::size_t{0}; }},
                      request);
}

kj::Promise<peer_reply> send_request(wire::Peer::Client peer,
                                     const peer_request& value,
                                     peer_meter& meter)
{
    const std::size_t call = value.index();
    return std::visit(
        overloaded{[&](const heartbeat_request& from)
                   {
                       auto request = peer.heartbeatRequest();
                       const std::string digest = encode_digest(from.digest);
                       request.setDigest(to_data(digest));
                       return send(kj::mv(request), call, meter,
                                   [](auto& response) -> peer_reply {
                                       return heartbeat_reply{
                                           read_digest(response.getDigest())};
                                   });
                   },
                   [&](const borrow_request& from)
                   {
                       auto request = peer.borrowRequest();
                       request.setBorrower(to_text(from.borrower));
                       request.setIncarnation(from.incarnation);
                       request.setCount(from.count);
                       request.setMinimumSpeed(from.minimum_speed);
                       return send(kj::mv(request), call, meter,
                                   [](auto& response) -> peer_reply {
                                       return borrow_reply{
                                           read_grants(response.getGrants())};
                                   });
                   },
                   [&](const give_back_request& from)
                   {
                       auto request = peer.giveBackRequest();
                       request.setBorrower(to_text(from.borrower));
                       request.setIncarnation(from.incarnation);
                       write_ids(request.initGrants(
                                     static_cast<unsigned>(from.grants.size())),
                                 from.grants);
                       return send(kj::mv(request), call, meter,
                                   [](auto&) -> peer_reply
                                   { return give_back_reply{}; });
                   },
                   [&](const submit_request& from)
                   {
                       auto request = peer.submitRequest();
                       request.setJob(to_text(from.job));
                       request.setRemainingUs(from.remaining.count());
                       request.setHops(from.hops);
                       return send(kj::mv(request), call, meter,
                                   [](auto& response) -> peer_reply {
                                       return submit_reply{
                                           from_text(response.getOutcome())};
                                   });
                   },
                   [&](const collect_request& from)
                   {
                       auto request = peer.collectRequest();
                       request.setId(to_text(from.id));
                       request.setWaitUs(from.wait.count());
                       return send(kj::mv(request), call, meter,
                                   [](auto& response) -> peer_reply {
                                       return collect_reply{
                                           from_text(response.getOutcome())};
                                   });
                   },
                   [&](const cancel_request& from)
                   {
                       auto request = peer.cancelRequest();
                       request.setId(to_text(from.id));
                       return send(kj::mv(request), call, meter,
                                   [](auto& response) -> peer_reply {
                                       return cancel_reply{response.getKnown()};
                                   });
                   },
                   [&](const config_records_request& from)
                   {
                       auto request = peer.configRecordsRequest();
                       request.setFrom(from.from);
                       request.setMax(from.max);
                       return send(kj::mv(request), call, meter,
                                   [](auto& response) -> peer_reply
                                   {
                                       return config_records_reply{
                                           response.getNext(),
                                           read_records(response.getRecords())};
                                   });
                   }},
        value);
}

} // namespace jujubedrum
