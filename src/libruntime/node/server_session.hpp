#pragma once

#include "dispatch/poll_schedule.hpp"
#include "dispatch/pool_dispatcher.hpp"
#include "node/event_loop.hpp"
#include "node/platform_ports.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace jujubedrum
{

/// Lease times, within the bounds that the platform sets.
struct lease_options
{
    milliseconds max_lease{1000}; ///< that servers grant on runs
    /// Servers refuse a start that arrives later than this after it was sent.
    milliseconds start_validity{300};
    /// An unanswered start is carried out within this time or never; the
    /// platform names 12 s. Applies only while the server does not answer.
    milliseconds max_start_delay{12000};
};

/// Fencing tokens that a holder's sessions may use, from the token of the pool
/// on. A session uses one for each unanswered start and for each unanswered
/// lease renewal; 2^18 last for hours of constant losses at one server.
constexpr std::uint64_t tokens_per_hold = std::uint64_t{1} << 18;

/// Session of a holder with one backend server. It takes the server over from
/// earlier holders, renews the lease on the runs there, sends requests, passes
/// poll replies on to the dispatcher, and reports when no run of this instance
/// can remain on the server.
///
/// A server may carry out a request seconds after the time-out. After a request
/// that must not take effect late, the session raises its fencing token. As
/// soon as a poll with the raised token is answered, the server refuses the
/// earlier requests.
class server_session : public std::enable_shared_from_this<server_session>
{
public:
    /// \param token first fencing token of the session; the last one is at the
    /// end of its range of `tokens_per_hold`.
    /// \param on_fenced called when the server refuses a request because
    /// another holder has a higher fencing token, or when the session has used
    /// up its tokens.
    static std::shared_ptr<server_session>
    create(event_loop& loop, const server_info& info, std::uint64_t token,
           const lease_options& options,
           std::unique_ptr<server_channel> channel, pool_dispatcher& dispatcher,
           std::function<void()> on_fenced);

    /// Sends the first poll.
    void begin();
    void start(const run_id& run, const std::string& payload);
    /// Stops a run. The request is repeated until the server confirms it
    /// or the run has ended, but not while the lease has ended.
    void stop(const run_id& run);
    /// Sends one poll immediately, in addition to the regular ones. Has no
    /// effect before the takeover is complete or while such a poll is in
    /// progress.
    void poll_soon();
    /// Replaces the channel: the server has restarted at a new address.
    /// Requests that were not answered may still be carried out, as after a
    /// time-out.
    void reconnect(std::unique_ptr<server_channel> next);
    /// Closes the channel; no further callbacks are called.
    void end();
    /// The server wrote its entry. If it has restarted, its earlier runs have
    /// ended, which the next poll reply shows for each run.
    void on_entry(std::uint64_t entry_incarnation);
    /// Returns the first token for the next session of the same hold.
    [[nodiscard]] std::uint64_t next_token() const;
    /// Returns whether the server was taken over: it refuses earlier holders,
    /// and a poll reply has shown none of their runs.
    [[nodiscard]] bool is_taken_over() const { return this->taken_over; }
    [[nodiscard]] bool is_reachable() const { return this->reachable; }
    [[nodiscard]] const std::string& id() const { return this->id_value; }

private:
    server_session(event_loop& loop, const server_info& info,
                   std::uint64_t token, const lease_options& options,
                   std::unique_ptr<server_channel> channel,
                   pool_dispatcher& dispatcher,
                   std::function<void()> on_fenced);
    /// How a poll was sent.
    struct sent_poll
    {
        instant at{0};
        std::uint64_t token = 0;
        bool regular = false;
        bool renewal = false; ///< of the lease
    };

    void poll(milliseconds wait);
    /// Sends the next regular poll after this time, unless the channel is
    /// replaced meanwhile.
    void poll_after(microseconds delay);
    /// \param backoff before the request is repeated if the server does not
    /// confirm it.
    void stop(const run_id& run, milliseconds backoff);
    void repeat_stop(const run_id& run);
    /// Returns whether a run that has to end may go on because its stop was not
    /// confirmed in time. The lease of the server is not renewed then.
    bool has_unresolved_stop(instant now);
    void on_poll_reply(const poll_reply& reply, const sent_poll& sent);
    void on_extra_poll_reply(const poll_reply& reply, const sent_poll& sent);
    /// Accounts for an unanswered request that may still take effect, and
    /// raises the token, so that it no longer can once a later poll is
    /// answered.
    /// \param lease that the request grants when it is carried out.
    void on_unsettled(milliseconds lease);
    void raise_token();
    /// Resets the acknowledged number and the clock offset after a restart.
    void on_restarted();
    void on_unanswered_poll();
    void check_lease_end(instant now);
    void accept_poll_reply(const poll_reply& reply, instant polled_at);
    /// Stops runs that the dispatcher does not have. Nothing starts until a
    /// later reply lists none, since they use the server's capacity.
    void stop_unknown_runs(const poll_reply& reply);
    /// Returns the time on the server's clock.
    [[nodiscard]] milliseconds server_now() const;
    void extend_lease_end(instant until);
    void set_reachable(bool value, const char* reason);

    event_loop& loop;
    std::string id_value;
    std::uint64_t token_value;
    lease_options options;
    std::unique_ptr<server_channel> channel;
    pool_dispatcher& dispatcher;
    std::function<void()> fenced;
    bool ended = false;
    /// No unknown run was in the last poll reply; reset when the lease ends.
    bool attached = false;
    bool taken_over = false; ///< has been attached
    bool reachable = false;
    bool extra_poll = false;
    std::uint64_t channel_number = 1; ///< increases with each reconnection
    std::set<run_id> open_starts;     ///< not answered yet
    std::uint64_t acknowledged = 0;
    std::uint64_t incarnation = 0;
    milliseconds last_listed{0}; ///< latest poll reply, on the server's clock
    /// When a poll reply first showed the present boot. Replies of other boots
    /// to polls that were sent before may be of an earlier one.
    instant restart_seen{0};
    /// The server's clock minus the clock of this instance.
    std::optional<microseconds> clock_offset;
    instant lease_end{0}; ///< if no unanswered request is carried out late
    /// Time by which the unanswered requests, carried out late one after the
    /// other, can prolong the lease.
    milliseconds late_lease{0};
    instant last_unanswered_start{0};
    poll_schedule schedule;
    /// When the stop of a run was first requested, until it is confirmed or the
    /// run has ended.
    std::map<run_id, instant> open_stops;
    /// Runs in the last poll reply that the dispatcher does not have, since
    /// when they are listed; their stops are repeated with each reply.
    std::map<run_id, instant> unknown_runs;
};

} // namespace jujubedrum
