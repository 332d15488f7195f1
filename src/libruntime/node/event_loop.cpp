#include "node/event_loop.hpp"

#include "logging.hpp"
#include "monotonic_time.hpp"

#include <ctime>

namespace jujubedrum
{

namespace
{

/// Between two ticks, up to 128 sockets are handled, which is how many the
/// reactor takes at a time. So many ticks cover 512 sockets.
constexpr std::size_t ticks_until_handled = 4;

} // namespace

event_loop::event_loop()
    : io(1)
    , timer(this->io)
{
}

instant event_loop::now()
{
    return monotonic_now();
}

wall_time event_loop::wall_now()
{
    return std::chrono::duration_cast<wall_time>(
        std::chrono::system_clock::now().time_since_epoch());
}

event_loop::timer_id event_loop::after(microseconds delay,
                                       std::function<void()> function)
{
    const timer_id id{now() + delay, this->next_number++};
    this->timers.emplace(id, std::move(function));
    return id;
}

void event_loop::cancel(const timer_id& id)
{
    this->timers.erase(id);
}

void event_loop::run()
{
    this->begin_ticks();
    while (!this->io.stopped())
    {
        this->guard([this] { this->io.run(); });
    }
}

bool event_loop::run_until(const std::function<bool()>& condition,
                           milliseconds limit)
{
    this->begin_ticks();
    const instant end = now() + limit;
    while (!condition())
    {
        if (now() >= end)
        {
            return false;
        }
        this->guard([this] { this->io.run_one_for(tick_interval); });
    }
    return true;
}

void event_loop::begin_ticks()
{
    if (!this->ticking)
    {
        this->ticking = true;
        this->schedule_tick();
    }
}

void event_loop::stop()
{
    this->io.stop();
}

void event_loop::schedule_tick()
{
    this->timer.expires_after(tick_interval);
    this->timer.async_wait(
        [this](const boost::system::error_code& error)
        {
            if (error)
            {
                return;
            }
            this->schedule_tick();
            this->note_tick();
            this->run_due();
        });
}

void event_loop::note_tick()
{
    this->recent_ticks.push_back(now());
    if (this->recent_ticks.size() > ticks_until_handled + 1)
    {
        this->recent_ticks.pop_front();
    }
}

instant event_loop::handled_until() const
{
    return this->recent_ticks.size() > ticks_until_handled
               ? this->recent_ticks.front()
               : instant(0);
}

void event_loop::run_due()
{
    const instant due = now();
    while (!this->timers.empty() && this->timers.begin()->first.first <= due)
    {
        auto entry = this->timers.extract(this->timers.begin());
        this->guard(entry.mapped());
    }
}

void event_loop::guard(const std::function<void()>& function)
{
    try
    {
        function();
    }
    catch (const std::exception& error)
    {
        LOG(ERROR) << "node: unexpected error in a handler; reason=\""
                   << error.what() << "\"";
    }
}

} // namespace jujubedrum
