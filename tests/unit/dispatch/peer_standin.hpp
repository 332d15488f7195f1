#pragma once

#include "node/peer_mesh.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace jujubedrum
{

/// Stand-in for a peer of the instance under test: links to it, and records
/// what arrives.
class peer_standin : public mesh_listener
{
public:
    /// \param holds sent in the heartbeats; a peer that holds pools also
    /// announces free capacity.
    /// \param domain by default one without servers, so that its links are not
    /// prioritized.
    /// \param current_version false for a peer of an earlier version.
    peer_standin(event_loop& loop, const std::string& name,
                 const member_record& tested, std::vector<pool_hold> holds,
                 const std::string& domain = "d9", std::uint64_t boot = 1,
                 bool current_version = true);

    /// Returns whether a heartbeat of the instance under test has arrived.
    [[nodiscard]] bool linked() const { return this->link.has_value(); }
    /// Returns the interval in the last heartbeat.
    [[nodiscard]] milliseconds announced_interval() const
    {
        return this->last_interval;
    }
    /// Returns the jobs submitted over the link, in order of arrival.
    [[nodiscard]] const std::vector<submit_message>& submissions() const
    {
        return this->received;
    }
    /// Returns the recalls that arrived, in order.
    [[nodiscard]] const std::vector<recall_message>& recalls() const
    {
        return this->recalled;
    }
    /// Returns the interval announced by the last heartbeat before the first
    /// submission.
    [[nodiscard]] milliseconds interval_at_submission() const
    {
        return this->submission_interval;
    }
    /// Returns the confirmations that arrived, in order.
    [[nodiscard]] const std::vector<confirm_message>& confirmations() const
    {
        return this->confirmed;
    }
    /// Returns the number of confirmations before the first submission.
    [[nodiscard]] std::size_t confirmations_before_submission() const
    {
        return this->confirmed_before_submission;
    }
    /// Returns the first result that arrived for a ticket.
    [[nodiscard]] std::optional<job_result>
    result_of(std::uint64_t ticket) const;
    /// Sends heartbeats without free capacity from now on.
    void announce_no_capacity();
    /// Sends heartbeats with free capacity, or without any server, from now on.
    void announce_servers(bool present);
    /// Sends a message. Requires a link.
    void send(const dispatch_message& message);

    void on_heartbeat(std::uint64_t number,
                      const heartbeat_message& heartbeat) override;
    void on_message(std::uint64_t number,
                    const dispatch_message& message) override;
    void on_link_closed(std::uint64_t number, const std::string& name,
                        const std::string& reason) override;
    void on_peer_failed(const std::string& name) override;
    [[nodiscard]] std::set<std::uint64_t> links_with_open_jobs() const override
    {
        return {};
    }
    [[nodiscard]] std::set<std::uint64_t> links_to_holders() const override;

private:
    peer_mesh mesh;
    heartbeat_message own;
    std::optional<std::uint64_t> link;
    milliseconds last_interval{0};
    milliseconds submission_interval{0};
    std::vector<submit_message> received;
    std::vector<recall_message> recalled;
    std::map<std::uint64_t, job_result> results; ///< by ticket
    std::set<std::uint64_t> open_tickets;        ///< of submissions by it
    std::vector<confirm_message> confirmed;
    std::size_t confirmed_before_submission = 0;
};

} // namespace jujubedrum
