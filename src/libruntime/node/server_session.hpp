#pragma once

#include "dispatch/poll_schedule.hpp"
#include "dispatch/pool_dispatcher.hpp"
#include "node/event_loop.hpp"
#include "node/platform_ports.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace jujubedrum
{

/// Parameters of leases, from the platform's bounds.
struct lease_options
{
    milliseconds max_lease{1000}; ///< longest lease that servers grant
    /// Until a start that was not answered is refused by the server.
    milliseconds start_validity{300};
};

/// Holds one backend server: takes it over, keeps the lease on what runs
/// there, passes on orders and listings, and notices when nothing of ours can
/// run there any more.
class server_session : public std::enable_shared_from_this<server_session>
{
public:
    /// \param on_fenced called when another holder has a higher token.
    static std::shared_ptr<server_session>
    create(event_loop& loop, const server_info& info, std::uint64_t token,
           const lease_options& options,
           std::unique_ptr<server_channel> channel, pool_dispatcher& dispatcher,
           std::function<void()> on_fenced);

    void begin();
    void start(const run_id& run, const std::string& payload);
    void stop(const run_id& run);
    void poll_soon();
    void end();
    /// The server's entry names a life. What ran in an earlier one is gone,
    /// which the next listing shows run by run.
    void on_entry(std::uint64_t entry_incarnation);
    [[nodiscard]] std::uint64_t token() const { return this->token_value; }
    /// Returns whether runs of earlier holders were found gone.
    [[nodiscard]] bool is_attached() const { return this->attached; }
    [[nodiscard]] bool is_reachable() const { return this->reachable; }
    [[nodiscard]] const std::string& id() const { return this->id_value; }

private:
    server_session(event_loop& loop, const server_info& info,
                   std::uint64_t token, const lease_options& options,
                   std::unique_ptr<server_channel> channel,
                   pool_dispatcher& dispatcher,
                   std::function<void()> on_fenced);
    void poll(milliseconds wait);
    /// \param pause before it is repeated if the server does not confirm it.
    void stop(const run_id& run, milliseconds backoff);
    void on_poll_reply(const poll_reply& reply, instant polled_at,
                       bool is_regular);
    /// Forgets the counts and the clock of an earlier life.
    void on_restarted();
    void on_unanswered_poll();
    void accept_poll_reply(const poll_reply& reply, instant polled_at);
    /// Stops runs that the dispatcher does not know; true if there are any.
    bool stop_unknown_runs(const poll_reply& reply);
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
    bool attached = false; ///< nothing unknown runs there
    bool reachable = false;
    bool extra_poll = false;
    std::uint64_t acknowledged = 0;
    std::uint64_t incarnation = 0;
    std::optional<microseconds> clock_offset; ///< server's clock minus ours
    instant lease_end{0}; ///< nothing of ours runs there after this
    poll_schedule schedule;
};

} // namespace jujubedrum
