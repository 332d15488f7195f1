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

std::size_t report_bytes(const grant_report& report)
{
    constexpr std::size_t slot_overhead = 32;
    std::size_t bytes = report.open.size() * sizeof(std::uint64_t);
    for (const slot_grant& grant : report.held)
    {
        bytes += slot_overhead;
        for (const slot_count& slots : grant.slots)
        {
            bytes += slot_overhead + slots.server.size();
        }
    }
    return bytes;
}

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

constexpr auto read_job_reply = [](auto& response) -> peer_reply
{ return job_reply{from_text(response.getBody())}; };

} // namespace

std::size_t request_bytes(const peer_request& request)
{
    // Names and ids have at most 128 characters, and a digest has at most
    // 8 observations and 256 grants.
    constexpr std::size_t fixed_bytes = 8192;
    return fixed_bytes +
           std::visit(overloaded{[](const submit_request& submit)
                                 { return submit.job.size(); },
                                 [](const grant_report& report)
                                 { return report_bytes(report); },
                                 [](const borrow_request& borrow)
                                 { return report_bytes(borrow.report); },
                                 [](const heartbeat_request& heartbeat)
                                 { return report_bytes(heartbeat.grants); },
                                 [](const auto&) { return std::size_t{0}; }},
                      request);
}

kj::Promise<peer_reply> send_request(wire::Peer::Client peer,
                                     const peer_request& value,
                                     peer_meter& meter)
{
    const std::size_t call = value.index();
    return std::visit(
        overloaded{
            [&](const heartbeat_request& from)
            {
                auto request = peer.heartbeatRequest();
                const std::string digest = encode_digest(from.digest);
                request.setDigest(to_data(digest));
                grant_report grants = from.grants;
                grants.borrower.clear();
                write_report(request.initGrants(), grants);
                return send(kj::mv(request), call, meter,
                            [](auto& response) -> peer_reply
                            {
                                return heartbeat_reply{
                                    read_digest(response.getDigest()),
                                    read_ids(response.getRevoked())};
                            });
            },
            [&](const borrow_request& from)
            {
                auto request = peer.borrowRequest();
                write_report(request.initGrants(), from.report);
                request.setSequence(from.sequence);
                request.setNeeded(from.needed);
                request.setWanted(from.wanted);
                return send(kj::mv(request), call, meter,
                            [](auto& response) -> peer_reply
                            {
                                return borrow_reply{
                                    read_grant(response.getGrant()),
                                    read_report(response.getGrants()),
                                    read_ids(response.getRevoked())};
                            });
            },
            [&](const grant_report& from)
            {
                auto request = peer.giveBackRequest();
                write_report(request.initGrants(), from);
                return send(kj::mv(request), call, meter,
                            [](auto& response) -> peer_reply {
                                return grant_report_reply{
                                    read_ids(response.getRevoked())};
                            });
            },
            [&](const submit_request& from)
            {
                auto request = peer.submitRequest();
                request.setJob(to_text(from.job));
                request.setRemainingUs(from.remaining.count());
                request.setHops(from.hops);
                return send(kj::mv(request), call, meter, read_job_reply);
            },
            [&](const collect_request& from)
            {
                auto request = peer.collectRequest();
                request.setId(to_text(from.id));
                request.setTeam(to_text(from.team));
                request.setWaitUs(from.max_wait.count());
                return send(kj::mv(request), call, meter, read_job_reply);
            },
            [&](const cancel_request& from)
            {
                auto request = peer.cancelRequest();
                request.setId(to_text(from.id));
                request.setTeam(to_text(from.team));
                return send(kj::mv(request), call, meter, read_job_reply);
            },
            [&](const config_records_request& from)
            {
                auto request = peer.configRecordsRequest();
                request.setFrom(from.from);
                return send(kj::mv(request), call, meter,
                            [](auto& response) -> peer_reply {
                                return config_records_reply{
                                    read_records(response.getRecords())};
                            });
            }},
        value);
}

} // namespace jujubedrum
