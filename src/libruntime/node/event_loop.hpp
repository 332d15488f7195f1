#pragma once

#include "base/time.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace jujubedrum
{

/// The single-threaded event loop of an instance, for sockets and coarse
/// timers. Timers share one tick, because a separate timer for each request
/// would cost two system calls.
///
/// An exception ends the handler that threw it and is logged. Its connection
/// has no further operations then and closes; all others go on. A duty that
/// repeats itself sets its next timer first.
class event_loop
{
public:
    /// The precision of all timers.
    static constexpr milliseconds tick_interval{10};

    using timer_id = std::pair<instant, std::uint64_t>;

    event_loop();

    [[nodiscard]] boost::asio::io_context& context() { return this->io; }
    /// Returns the time of a monotonic clock that counts suspensions.
    [[nodiscard]] static instant now();
    /// Returns a time by which everything that was ready then, such as a socket
    /// with data or one that the other end closed, has been handled. It is 40
    /// to 50 ms ago, and further in the past on a loop that lags behind or has
    /// just been frozen.
    [[nodiscard]] instant handled_until() const;
    /// Returns the time of day.
    [[nodiscard]] static wall_time wall_now();

    /// Calls the function once, in the first tick after the delay.
    timer_id after(microseconds delay, std::function<void()> function);
    /// Has no effect if the timer has already run.
    void cancel(const timer_id& id);

    /// Runs until `stop`.
    void run();
    void stop();
    /// Runs until the condition holds or the time limit is over. Returns
    /// whether the condition holds.
    bool run_until(const std::function<bool()>& condition, milliseconds limit);

private:
    void begin_ticks();
    void schedule_tick();
    void run_due();
    void note_tick();
    /// Calls the function and logs what it throws.
    static void guard(const std::function<void()>& function);

    boost::asio::io_context io;
    boost::asio::steady_timer timer;
    std::map<timer_id, std::function<void()>> timers;
    std::uint64_t next_number = 1;
    bool ticking = false;
    std::deque<instant> recent_ticks;
};

/// Sets timers on behalf of one object. They are dropped when the scope is
/// destroyed with its owner.
class loop_scope
{
public:
    explicit loop_scope(event_loop& events)
        : loop(events)
    {
    }

    [[nodiscard]] event_loop& events() const { return this->loop; }
    [[nodiscard]] boost::asio::io_context& context() const
    {
        return this->loop.context();
    }
    /// Calls the function once after the delay, if the scope still exists then.
    event_loop::timer_id after(microseconds delay,
                               std::function<void()> function)
    {
        return this->loop.after(delay,
                                [alive = std::weak_ptr<int>(this->token),
                                 function = std::move(function)]
                                {
                                    if (!alive.expired())
                                    {
                                        function();
                                    }
                                });
    }

private:
    event_loop& loop;
    std::shared_ptr<int> token = std::make_shared<int>(0);
};

} // namespace jujubedrum
