#pragma once

#include "base/time.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace jujubedrum
{

/// The event loop of an instance: sockets and coarse timers of one thread.
/// Timers share one tick, because a timer a request costs two system calls.
class event_loop
{
public:
    /// Time between ticks; the precision of all timers.
    static constexpr milliseconds tick{10};

    using timer_id = std::pair<instant, std::uint64_t>;

    event_loop();

    [[nodiscard]] boost::asio::io_context& context() { return this->io; }
    /// Returns the time of the steady clock.
    [[nodiscard]] static instant now();
    /// Returns the time of day.
    [[nodiscard]] static wall_time wall_now();

    /// Calls the function once, at or after a time from now.
    timer_id after(microseconds delay, std::function<void()> function);
    void cancel(const timer_id& id);

    /// Runs until `stop`.
    void run();
    void stop();

private:
    void schedule_tick();
    void run_due();

    boost::asio::io_context io;
    boost::asio::steady_timer timer;
    std::map<timer_id, std::function<void()>> timers;
    std::uint64_t next_number = 1;
};

} // namespace jujubedrum
