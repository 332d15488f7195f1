#include "dispatch/look_schedule.hpp"

#include <algorithm>

namespace jujubedrum
{

namespace
{

/// Wait of a look at a busy server: each look is paid for as a probe.
constexpr milliseconds busy_wait{90};
/// The same while answers get lost: half the run time of a short task (60 ms).
constexpr milliseconds lossy_wait{30};
/// An idle server is looked at for its health alone.
constexpr milliseconds idle_wait{400};
/// How long a server is taken for lossy after an answer was lost.
constexpr seconds lossy_memory{3};
/// A server is silent after as many looks without an answer and as much time;
/// a single loss, or two in quick succession, happen on lossy links.
constexpr std::uint32_t silent_looks = 2;
constexpr milliseconds silent_time{200};
/// Pause after a second unanswered look; grows with each further one.
constexpr milliseconds pause_step{50};
constexpr milliseconds longest_pause{500};

} // namespace

look_schedule::look_schedule(instant now)
    : heard(now)
{
}

void look_schedule::on_answer(instant now)
{
    this->heard = now;
    this->unanswered = 0;
}

void look_schedule::on_unanswered(instant now)
{
    ++this->unanswered;
    this->lossy_until = now + lossy_memory;
}

void look_schedule::on_order_unanswered(instant now)
{
    this->lossy_until = now + lossy_memory;
}

milliseconds look_schedule::wait(bool busy, instant now) const
{
    if (this->unanswered > 0)
    {
        return milliseconds(0);
    }
    if (!busy)
    {
        return idle_wait;
    }
    return now < this->lossy_until ? lossy_wait : busy_wait;
}

milliseconds look_schedule::pause() const
{
    if (this->unanswered < silent_looks)
    {
        return milliseconds(0);
    }
    return std::min(pause_step * (this->unanswered - 1), longest_pause);
}

bool look_schedule::silent(instant now) const
{
    return this->unanswered >= silent_looks && now - this->heard >= silent_time;
}

} // namespace jujubedrum
