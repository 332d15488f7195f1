#include "node/server_session.hpp"

#include "logging.hpp"

#include <algorithm>

namespace jujubedrum
{

namespace
{

/// Pause before a stop that was not confirmed is repeated: at once the first
/// time, since tasks wait for it, later as for a server that is gone.
constexpr milliseconds first_stop_pause{5};
constexpr milliseconds stop_pause{50};
/// Servers' clocks may be slow by 2 %, and orders take time to arrive.
constexpr milliseconds lease_slack{60};
/// Pause between looks at a server that is being taken over.
constexpr milliseconds takeover_pause{20};

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
                               std::unique_ptr<server_channel> orders,
                               pool_dispatcher& owner,
                               std::function<void()> on_fenced)
    : loop(events)
    , id_value(info.id)
    , token_value(token)
    , options(settings)
    , channel(std::move(orders))
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

void server_session::note_lease(instant until)
{
    this->lease_end = std::max(this->lease_end, until + lease_slack);
}

void server_session::poll(milliseconds wait)
{
    if (this->ended)
    {
        return;
    }
    poll_request order;
    order.token = this->token_value;
    order.acknowledged = this->acknowledged;
    order.wait = wait;
    // A silent server may be gone for good: its lease has to run out before
    // its tasks can run elsewhere, so looks at it do not prolong it.
    if (this->attached && this->clock_offset &&
        !this->schedule.timed_out(event_loop::now()))
    {
        order.lease_until = this->server_now() + this->options.longest;
        this->note_lease(event_loop::now() + this->options.longest);
    }
    this->channel->poll(
        order, [self = this->shared_from_this(),
                asked_at = event_loop::now()](const poll_reply& listing)
        { self->on_poll_reply(listing, asked_at, true); });
}

void server_session::look_soon()
{
    if (this->ended || this->extra_look || !this->attached)
    {
        return;
    }
    this->extra_look = true;
    poll_request order;
    order.token = this->token_value;
    order.acknowledged = this->acknowledged;
    this->channel->poll(
        order,
        [self = this->shared_from_this(),
         asked_at = event_loop::now()](const poll_reply& listing)
        {
            self->extra_look = false;
            self->on_poll_reply(listing, asked_at, false);
        });
}

void server_session::on_poll_reply(const poll_reply& listing, instant asked_at,
                                   bool main)
{
    if (this->ended)
    {
        return;
    }
    switch (listing.outcome)
    {
    case poll_outcome::answered:
        this->accept_listing(listing, asked_at);
        if (main && !this->ended)
        {
            if (this->attached)
            {
                this->poll(this->schedule.wait(
                    this->dispatcher.has_runs(this->id_value),
                    event_loop::now()));
            }
            else
            {
                this->loop.after(takeover_pause,
                                 [self = this->shared_from_this()]
                                 { self->poll(milliseconds(0)); });
            }
        }
        return;
    case poll_outcome::fenced:
        this->fenced();
        return;
    case poll_outcome::restarted:
    case poll_outcome::refused:
    case poll_outcome::unanswered:
        break;
    }
    if (main)
    {
        this->on_silence();
    }
}

void server_session::on_silence()
{
    const instant now = event_loop::now();
    this->schedule.on_unanswered(now);
    if (this->schedule.timed_out(now))
    {
        this->set_reachable(false, "no listing");
    }
    if (now >= this->lease_end && this->dispatcher.has_runs(this->id_value))
    {
        LOG(INFO) << "server: lease ended; server=" << this->id_value;
        this->attached = false;
        this->dispatcher.on_all_runs_ended(this->id_value, now);
    }
    microseconds backoff = this->schedule.backoff();
    if (this->dispatcher.has_runs(this->id_value) && this->lease_end > now)
    {
        backoff = std::min(backoff, this->lease_end - now);
    }
    this->loop.after(backoff, [self = this->shared_from_this()]
                     { self->poll(milliseconds(0)); });
}

void server_session::accept_listing(const poll_reply& listing, instant asked_at)
{
    const instant now = event_loop::now();
    this->schedule.on_answer(now);
    if (listing.incarnation != 0 && this->incarnation != 0 &&
        listing.incarnation != this->incarnation)
    {
        this->on_reborn();
    }
    this->clock_offset = microseconds(listing.server_clock) - now;
    if (listing.incarnation != 0)
    {
        this->incarnation = listing.incarnation;
    }
    for (const ended_run& row : listing.ended)
    {
        this->acknowledged = std::max(this->acknowledged, row.number);
    }
    this->dispatcher.on_poll_reply(this->id_value, listing, asked_at, now);
    const bool unknown = this->stop_unknown(listing);
    if (!unknown)
    {
        this->attached = true;
    }
    if (this->attached)
    {
        this->set_reachable(true, "listed");
    }
}

bool server_session::stop_unknown(const poll_reply& listing)
{
    bool any = false;
    for (const active_run& row : listing.running)
    {
        if (!this->dispatcher.has_run(this->id_value, row.run))
        {
            any = true;
            LOG(INFO) << "server: stopping unknown run; server="
                      << this->id_value << " job=" << row.run.task.job
                      << " run=" << row.run.run;
            this->channel->stop(row.run, this->token_value, [](bool) {});
        }
    }
    return any;
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

void server_session::on_reborn()
{
    LOG(INFO) << "server: new life; server=" << this->id_value;
    this->acknowledged = 0;
    this->clock_offset.reset();
}

void server_session::on_entry(std::uint64_t entry_born)
{
    // The listing may have told of that life before, and tasks may run in it.
    if (entry_born > this->incarnation)
    {
        this->look_soon();
    }
}

void server_session::start(const run_id& run, const std::string& payload)
{
    if (this->ended)
    {
        return;
    }
    start_request order;
    order.run = run;
    order.payload = payload;
    order.token = this->token_value;
    order.refuse_after = this->server_now() + this->options.start_validity;
    this->note_lease(event_loop::now() + this->options.longest);
    this->channel->start(
        order,
        [self = this->shared_from_this(), run](start_outcome outcome)
        {
            if (self->ended)
            {
                return;
            }
            const instant now = event_loop::now();
            if (outcome == start_outcome::unanswered)
            {
                self->schedule.on_request_unanswered(now);
            }
            self->dispatcher.on_start_result(self->id_value, run, outcome, now);
            if (outcome == start_outcome::fenced)
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
    this->stop(run, first_stop_pause);
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
                self->dispatcher.on_stopped(self->id_value, run,
                                            event_loop::now());
                return;
            }
            if (self->dispatcher.has_run(self->id_value, run))
            {
                self->loop.after(backoff,
                                 [self, run] { self->stop(run, stop_pause); });
            }
        });
}

void server_session::end()
{
    this->ended = true;
    this->channel->close();
}

} // namespace jujubedrum
