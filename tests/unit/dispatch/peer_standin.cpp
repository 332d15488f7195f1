#include "peer_standin.hpp"

#include "users/free_port.hpp"

#include <boost/test/unit_test.hpp>

namespace jujubedrum
{

namespace
{

constexpr std::uint64_t free_cpu = 64000;
constexpr double mean_run_ms = 1000;

} // namespace

peer_standin::peer_standin(event_loop& loop, const std::string& name,
                           const member_record& tested,
                           std::vector<pool_hold> holds,
                           const std::string& domain, std::uint64_t boot,
                           bool current_version)
    : mesh(loop, {name, unique_loopback_address(), 0, boot, domain, 1000},
           *this)
{
    const std::uint64_t cpu = holds.empty() ? 0 : free_cpu;
    this->own = {{name, boot, domain, 1000, false, std::move(holds)},
                 {cpu, cpu, 0, mean_run_ms},
                 milliseconds(0)};
    this->own.accepts_link_state = current_version;
    this->own.accepts_nul = current_version;
    this->mesh.set_heartbeat(this->own);
    BOOST_REQUIRE(this->mesh.listen(
        unique_loopback_address(), free_port(loop, unique_loopback_address())));
    this->mesh.on_members({tested});
}

void peer_standin::announce_no_capacity()
{
    this->own.load.free_cpu = 0;
    this->own.load.waiting_cpu = this->own.load.total_cpu;
    this->mesh.set_heartbeat(this->own);
    this->mesh.send_heartbeat();
}

void peer_standin::announce_servers(bool present)
{
    const std::uint64_t cpu = present ? free_cpu : 0;
    this->own.load = {cpu, cpu, 0, mean_run_ms};
    this->mesh.set_heartbeat(this->own);
    this->mesh.send_heartbeat();
}

void peer_standin::send(const dispatch_message& message)
{
    BOOST_REQUIRE(this->link);
    if (const auto* submitted = std::get_if<submit_message>(&message))
    {
        this->open_tickets.insert(submitted->ticket);
    }
    this->mesh.send(*this->link, message);
}

std::optional<job_result> peer_standin::result_of(std::uint64_t ticket) const
{
    const auto at = this->results.find(ticket);
    return at == this->results.end() ? std::nullopt : std::optional(at->second);
}

void peer_standin::on_heartbeat(std::uint64_t number,
                                const heartbeat_message& heartbeat)
{
    this->link = number;
    this->last_interval = heartbeat.interval;
}

void peer_standin::on_message(std::uint64_t, const dispatch_message& message)
{
    if (const auto* submitted = std::get_if<submit_message>(&message))
    {
        if (this->received.empty())
        {
            this->submission_interval = this->last_interval;
            this->confirmed_before_submission = this->confirmed.size();
        }
        this->received.push_back(*submitted);
    }
    if (const auto* recall = std::get_if<recall_message>(&message))
    {
        this->recalled.push_back(*recall);
    }
    if (const auto* ended = std::get_if<result_message>(&message))
    {
        this->results.emplace(ended->ticket, ended->result);
        this->open_tickets.erase(ended->ticket);
    }
    if (const auto* confirmation = std::get_if<confirm_message>(&message))
    {
        this->confirmed.push_back(*confirmation);
    }
}

void peer_standin::on_link_closed(std::uint64_t, const std::string&,
                                  const std::string&)
{
    this->link.reset();
}

std::set<std::uint64_t> peer_standin::links_to_holders() const
{
    if (!this->link || this->open_tickets.empty())
    {
        return {};
    }
    return {*this->link};
}

void peer_standin::on_peer_failed(const std::string&) {}

} // namespace jujubedrum
