#include "dispatch/poll_schedule.hpp"

#include <algorithm>

namespace jujubedrum
{

namespace
{

/// Wait of a poll at a busy server; shorter waits cost more polls, each of
/// which is paid for as a probe.
constexpr milliseconds busy_poll_wait{90};
/// The same while replies get lost: half the run time of a short task (60 ms).
constexpr milliseconds lossy_poll_wait{30};
/// An idle server is polled only to check that it answers.
constexpr milliseconds idle_poll_wait{400};
/// How long the link to a server counts as lossy after an answer was lost.
constexpr seconds lossy_period{3};
/// A server counts as timed out after this many unanswered polls and this much
/// time. A single loss, or two in quick succession, happen on lossy links.
constexpr std::uint32_t min_unanswered_polls = 2;
constexpr milliseconds min_unanswered_time{200};
/// Backoff after the second unanswered poll; each further one adds as much.
constexpr milliseconds backoff_step{50};
constexpr milliseconds max_backoff{500};

} // namespace

poll_schedule::poll_schedule(instant now)
    : last_answer(now)
{
}

void poll_schedule::on_answer(instant now)
{
    this->last_answer = now;
    this->unanswered = 0;
}

void poll_schedule::on_unanswered(instant now)
{
    ++this->unanswered;
    this->lossy_until = now + lossy_period;
}

void poll_schedule::on_request_unanswered(instant now)
{
    this->lossy_until = now + lossy_period;
}

milliseconds poll_schedule::wait(bool busy, instant now) const
{
    if (this->unanswered > 0)
    {
        return milliseconds(0);
    }
    if (!busy)
    {
        return idle_poll_wait;
    }
    return now < this->lossy_until ? lossy_poll_wait : busy_poll_wait;
}

milliseconds poll_schedule::backoff() const
{
    if (this->unanswered < min_unanswered_polls)
    {
        return milliseconds(0);
    }
    return std::min(backoff_step * (this->unanswered - 1), max_backoff);
}

bool poll_schedule::timed_out(instant now) const
{
    return this->unanswered >= min_unanswered_polls &&
           now - this->last_answer >= min_unanswered_time;
}

} // namespace jujubedrum
