#include "node/server_session.hpp"

#include "dispatch/next_attempt.hpp"
#include "logging.hpp"

#include <algorithm>

namespace jujubedrum
{

namespace
{

/// Backoff before a stop that was not confirmed is repeated: almost none the
/// first time, since tasks wait for the capacity, then as for an unreachable
/// server.
constexpr milliseconds first_stop_backoff{5};
constexpr milliseconds stop_backoff{50};
/// Servers' clocks may be slow by 2 %, and requests take time to arrive.
constexpr milliseconds lease_slack{60};
/// After a stop has been neither confirmed nor shown by a poll reply for this
/// time, the run is left to end with its lease. Within it, two stop requests
/// are answered or time out.
constexpr milliseconds max_unresolved_stop{150};
static_assert(max_unresolved_stop + lease_options{}.max_lease + lease_slack <
                  min_next_attempt_delay,
              "a run that has to end must not overlap the next attempt");
/// Poll interval during the takeover of a server.
constexpr milliseconds takeover_poll_interval{20};

} // namespace

std::shared_ptr<server_session> server_session::create(
    event_loop& events, const server_info& info, std::uint64_t token,
    const lease_options& options, std::unique_ptr<server_channel> channel,
    pool_dispatcher& dispatcher, std::function<void()> on_fenced)
{
    return std::shared_ptr<server_session>(
        new server_session(events, info, token, options, std::move(channel),
                           dispatcher, std::move(on_fenced)));
}

server_session::server_session(event_loop& events, const server_info& info,
                               std::uint64_t token,
                               const lease_options& settings,
                               std::unique_ptr<server_channel> own_channel,
                               pool_dispatcher& owner,
                               std::function<void()> on_fenced)
    : loop(events)
    , id_value(info.id)
    , token_value(token)
    , options(settings)
    , channel(std::move(own_channel))
    , dispatcher(owner)
    , fenced(std::move(on_fenced))
    , incarnation(info.incarnation)
    , schedule(event_loop::now())
{
}

void server_session::begin()
{
    this->poll(milliseconds(0));
}

milliseconds server_session::server_now() const
{
    return std::chrono::duration_cast<milliseconds>(
        event_loop::now() + this->clock_offset.value_or(microseconds(0)));
}

void server_session::extend_lease_end(instant until)
{
    this->lease_end = std::max(this->lease_end, until + lease_slack);
}

void server_session::poll(milliseconds wait)
{
    if (this->ended)
    {
        return;
    }
    poll_request request;
    request.token = this->token_value;
    request.acknowledged = this->acknowledged;
    request.wait = wait;
    // A server that does not answer may not come back. Its tasks can run
    // elsewhere only after its lease has expired, which each unanswered renewal
    // delays, since it may be carried out late. So at most one is unanswered.
    // Nor is the lease of a run renewed that cannot be stopped.
    if (this->attached && this->clock_offset && this->schedule.answering() &&
        !this->has_unresolved_stop(event_loop::now()))
    {
        request.lease_until = this->server_now() + this->options.max_lease;
        this->extend_lease_end(event_loop::now() + this->options.max_lease);
    }
    const sent_poll sent{event_loop::now(), request.token, true,
                         request.lease_until.has_value()};
    this->channel->poll(request, [self = this->shared_from_this(),
                                  sent](const poll_reply& reply)
                        { self->on_poll_reply(reply, sent); });
}

void server_session::poll_after(microseconds delay)
{
    this->loop.after(
        delay,
        [self = this->shared_from_this(), number = this->channel_number]
        {
            if (number == self->channel_number)
            {
                self->poll(milliseconds(0));
            }
        });
}

void server_session::poll_soon()
{
    if (this->ended || this->extra_poll || !this->attached)
    {
        return;
    }
    this->extra_poll = true;
    poll_request request;
    request.token = this->token_value;
    request.acknowledged = this->acknowledged;
    const sent_poll sent{event_loop::now(), request.token, false, false};
    this->channel->poll(request, [self = this->shared_from_this(),
                                  sent](const poll_reply& reply)
                        { self->on_extra_poll_reply(reply, sent); });
}

void server_session::on_extra_poll_reply(const poll_reply& reply,
                                         const sent_poll& sent)
{
    this->extra_poll = false;
    this->on_poll_reply(reply, sent);
    if (sent.token < this->token_value)
    {
        this->poll_soon();
    }
}

std::uint64_t server_session::next_token() const
{
    const std::uint64_t next = this->token_value + 1;
    return next % tokens_per_hold == 0 ? this->token_value : next;
}

void server_session::on_unsettled(milliseconds lease)
{
    this->late_lease += lease + lease_slack;
    this->raise_token();
}

void server_session::raise_token()
{
    if (this->next_token() == this->token_value)
    {
        LOG(WARNING) << "server: fencing tokens used up; server="
                     << this->id_value;
        this->fenced();
        return;
    }
    ++this->token_value;
}

void server_session::on_poll_reply(const poll_reply& reply,
                                   const sent_poll& sent)
{
    if (this->ended)
    {
        return;
    }
    switch (reply.outcome)
    {
    case poll_outcome::answered:
        if (sent.token == this->token_value)
        {
            this->late_lease = milliseconds(0);
        }
        this->accept_poll_reply(reply, sent.at);
        if (sent.regular && !this->ended)
        {
            if (this->attached)
            {
                this->poll(this->schedule.wait(
                    this->dispatcher.has_runs(this->id_value),
                    event_loop::now()));
            }
            else
            {
                this->poll_after(takeover_poll_interval);
            }
        }
        return;
    case poll_outcome::fenced:
        if (sent.token == this->token_value)
        {
            this->fenced();
        }
        else if (sent.regular)
        {
            // A later request of this session overtook the poll.
            this->poll(milliseconds(0));
        }
        return;
    case poll_outcome::unanswered:
        if (sent.renewal)
        {
            this->on_unsettled(this->options.max_lease);
        }
        break;
    case poll_outcome::restarted:
    case poll_outcome::refused:
        break;
    }
    if (sent.regular)
    {
        this->on_unanswered_poll();
    }
}

void server_session::on_unanswered_poll()
{
    const instant now = event_loop::now();
    this->schedule.on_unanswered(now);
    if (this->schedule.timed_out(now))
    {
        this->set_reachable(false, "no listing");
    }
    this->check_lease_end(now);
    const instant last_lease_end = this->lease_end + this->late_lease;
    microseconds backoff = this->schedule.backoff();
    if (this->dispatcher.has_runs(this->id_value) && last_lease_end > now)
    {
        backoff = std::min(backoff, last_lease_end - now);
    }
    this->poll_after(backoff);
}

void server_session::check_lease_end(instant now)
{
    if (now < this->lease_end + this->late_lease ||
        !this->dispatcher.has_runs(this->id_value))
    {
        return;
    }
    this->attached = false;
    if (this->dispatcher.on_lease_ended(this->id_value, now) > 0)
    {
        LOG(INFO) << "server: lease ended; server=" << this->id_value;
    }
    if (this->dispatcher.has_runs(this->id_value) &&
        now >= this->last_unanswered_start + this->options.max_start_delay +
                   this->options.max_lease + lease_slack)
    {
        LOG(INFO) << "server: unanswered starts expired; server="
                  << this->id_value;
        this->dispatcher.on_all_runs_ended(this->id_value, now);
    }
}

void server_session::accept_poll_reply(const poll_reply& reply,
                                       instant polled_at)
{
    const instant now = event_loop::now();
    this->schedule.on_answer(now);
    if (reply.incarnation != 0 && this->incarnation != 0 &&
        reply.incarnation != this->incarnation)
    {
        if (polled_at <= this->restart_seen)
        {
            // Of an earlier boot, overtaken by a reply of the present one.
            return;
        }
        this->restart_seen = now;
        this->on_restarted();
    }
    this->clock_offset = microseconds(reply.server_clock) - now;
    if (reply.incarnation != 0)
    {
        this->incarnation = reply.incarnation;
        this->dispatcher.set_incarnation(this->id_value, reply.incarnation);
    }
    for (const ended_run& row : reply.ended)
    {
        this->acknowledged = std::max(this->acknowledged, row.number);
    }
    // Replies on different connections may overtake each other.
    if (reply.server_clock >= this->last_listed)
    {
        this->last_listed = reply.server_clock;
        this->stop_unknown_runs(reply);
    }
    const bool unknown = !this->unknown_runs.empty();
    if (unknown)
    {
        // Before the dispatcher uses what is free without this run.
        this->set_reachable(false, "unknown run");
    }
    this->dispatcher.on_poll_reply(this->id_value, reply, polled_at, now);
    if (unknown)
    {
        return;
    }
    this->attached = true;
    this->taken_over = true;
    // A start would prolong the lease of the run that has to end.
    const bool unresolved = this->has_unresolved_stop(now);
    this->set_reachable(!unresolved,
                        unresolved ? "stop not confirmed" : "listed");
}

void server_session::stop_unknown_runs(const poll_reply& reply)
{
    const std::map<run_id, instant> earlier = std::move(this->unknown_runs);
    this->unknown_runs.clear();
    for (const active_run& row : reply.running)
    {
        if (this->dispatcher.has_run(this->id_value, row.run))
        {
            continue;
        }
        const auto at = earlier.find(row.run);
        this->unknown_runs[row.run] =
            at == earlier.end() ? event_loop::now() : at->second;
        LOG(INFO) << "server: stopping unknown run; server=" << this->id_value
                  << " job=" << row.run.task.job << " run=" << row.run.run;
        this->channel->stop(
            row.run, this->token_value,
            [self = this->shared_from_this(), run = row.run](bool confirmed)
            {
                const auto stopped = self->unknown_runs.find(run);
                if (confirmed && stopped != self->unknown_runs.end())
                {
                    stopped->second = event_loop::now();
                }
            });
    }
}

void server_session::set_reachable(bool value, const char* reason)
{
    if (value == this->reachable)
    {
        return;
    }
    this->reachable = value;
    LOG(INFO) << "server: " << (value ? "reachable" : "unreachable")
              << "; server=" << this->id_value << " reason=\"" << reason
              << "\"";
    const instant now = event_loop::now();
    this->dispatcher.set_reachable(this->id_value, value, now);
    if (value)
    {
        this->dispatcher.pump(now);
    }
}

void server_session::on_restarted()
{
    LOG(INFO) << "server: restarted; server=" << this->id_value;
    this->acknowledged = 0;
    this->clock_offset.reset();
    this->last_listed = milliseconds(0);
}

void server_session::on_entry(std::uint64_t entry_incarnation)
{
    // Otherwise a poll reply has already reported this incarnation, and tasks
    // may run in it.
    if (entry_incarnation > this->incarnation)
    {
        this->poll_soon();
    }
}

void server_session::start(const run_id& run, const std::string& payload)
{
    if (this->ended)
    {
        return;
    }
    start_request request;
    request.run = run;
    request.payload = payload;
    request.token = this->token_value;
    request.refuse_after = this->server_now() + this->options.start_validity;
    this->extend_lease_end(event_loop::now() + this->options.max_lease);
    this->open_starts.insert(run);
    this->channel->start(
        request,
        [self = this->shared_from_this(), run,
         token = request.token](start_outcome outcome)
        {
            if (self->ended)
            {
                return;
            }
            self->open_starts.erase(run);
            const instant now = event_loop::now();
            if (outcome == start_outcome::unanswered)
            {
                self->schedule.on_request_unanswered(now);
                self->on_unsettled(self->options.start_validity);
                self->last_unanswered_start = now;
            }
            self->dispatcher.on_start_result(self->id_value, run, outcome, now);
            if (outcome == start_outcome::fenced && token == self->token_value)
            {
                self->fenced();
                return;
            }
            if (outcome != start_outcome::accepted)
            {
                LOG(INFO) << "server: start not accepted; server="
                          << self->id_value << " job=" << run.task.job
                          << " step=" << run.task.step
                          << " index=" << run.task.index << " run=" << run.run
                          << " verdict=" << static_cast<int>(outcome);
                self->dispatcher.pump(now);
            }
        });
}

void server_session::stop(const run_id& run)
{
    this->open_stops.emplace(run, event_loop::now());
    this->stop(run, first_stop_backoff);
}

bool server_session::has_unresolved_stop(instant now)
{
    std::erase_if(
        this->open_stops, [this](const auto& entry)
        { return !this->dispatcher.has_run(this->id_value, entry.first); });
    const auto unresolved = [now](const auto& entry)
    { return now - entry.second >= max_unresolved_stop; };
    return std::any_of(this->open_stops.begin(), this->open_stops.end(),
                       unresolved) ||
           std::any_of(this->unknown_runs.begin(), this->unknown_runs.end(),
                       unresolved);
}

void server_session::stop(const run_id& run, milliseconds backoff)
{
    if (this->ended)
    {
        return;
    }
    this->channel->stop(
        run, this->token_value,
        [self = this->shared_from_this(), run, backoff](bool confirmed)
        {
            if (self->ended)
            {
                return;
            }
            if (confirmed)
            {
                self->open_stops.erase(run);
                self->dispatcher.on_stopped(self->id_value, run,
                                            event_loop::now());
                return;
            }
            if (self->dispatcher.has_run(self->id_value, run))
            {
                self->loop.after(backoff,
                                 [self, run] { self->repeat_stop(run); });
            }
        });
}

void server_session::repeat_stop(const run_id& run)
{
    if (this->attached)
    {
        this->stop(run, stop_backoff);
        return;
    }
    // The run has ended with the lease or has not started. A stop would only
    // cost a connection, unless the server answers again.
    if (!this->ended && this->dispatcher.has_run(this->id_value, run))
    {
        this->loop.after(stop_backoff, [self = this->shared_from_this(), run]
                         { self->repeat_stop(run); });
    }
}

void server_session::reconnect(std::unique_ptr<server_channel> next)
{
    if (this->ended)
    {
        return;
    }
    LOG(INFO) << "server: new address; server=" << this->id_value;
    this->channel->close();
    this->channel = std::move(next);
    ++this->channel_number;
    this->extra_poll = false;
    // A renewal and starts may be in progress on the closed channel.
    this->on_unsettled(this->options.max_lease + this->options.start_validity);
    const instant now = event_loop::now();
    const std::set<run_id> unanswered = std::move(this->open_starts);
    this->open_starts.clear();
    for (const run_id& run : unanswered)
    {
        this->last_unanswered_start = now;
        this->dispatcher.on_start_result(this->id_value, run,
                                         start_outcome::unanswered, now);
    }
    this->poll(milliseconds(0));
    const std::map<run_id, instant> stops = this->open_stops;
    for (const auto& [run, since] : stops)
    {
        this->stop(run, first_stop_backoff);
    }
}

void server_session::end()
{
    this->ended = true;
    this->channel->close();
}

} // namespace jujubedrum
