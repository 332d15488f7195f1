#include "dispatch/server_trust.hpp"

#include <algorithm>
#include <cmath>

namespace jujubedrum
{

namespace
{

/// Weight of a run in the failure rate: a window of about 20 runs.
constexpr double run_weight = 0.1;
/// A server is distrusted above this failure rate, plus the typical one with
/// its deviation over the window.
constexpr double max_failure_rate = 0.35;
constexpr double typical_factor = 1.5;
/// Failures in a row, of different jobs, that cause distrust at once.
constexpr std::uint32_t min_failures_in_row = 3;
/// As many failures in a row that their probability at the typical rate is
/// lower.
constexpr double max_chance = 1e-5;
constexpr double max_typical_rate = 0.5;
/// Jobs whose further failures do not count.
constexpr std::size_t max_failed_jobs = 16;
/// Failure rate, and completed runs, at which probation ends.
constexpr double trusted_rate = 0.2;
constexpr std::uint32_t trusted_probes = 5;
/// Duration of the first period. Each further one doubles it.
constexpr milliseconds min_period{1000};
constexpr std::uint32_t max_doublings = 3;
/// Completed runs after which earlier periods no longer count. A server that
/// fails a third of its runs completes so many rarely.
constexpr std::uint32_t forgiving_runs = 20;
/// Runs shorter than this share of the declared time are implausible: declared
/// times are wrong by e^0.4, twice that is a factor of 2.2, and the fastest
/// servers have a speed of 1.25.
constexpr double implausible_ratio = 0.25;
/// Weight of a run in the share of implausible ones. Six in a row exceed the
/// limit; a single one says nothing.
constexpr double implausible_weight = 0.15;
constexpr double max_implausible = 0.6;
/// An unanswered start counts half as much as a failed run, as links lose up to
/// a quarter of the answers.
constexpr double unanswered_weight = run_weight / 2;
/// Least time between the probes of a server whose last probe failed.
constexpr milliseconds min_probe_interval{500};

} // namespace

const char* trust_name(server_trust::level value)
{
    switch (value)
    {
    case server_trust::level::trusted:
        return "trusted";
    case server_trust::level::probation:
        return "probation";
    case server_trust::level::distrusted:
        break;
    }
    return "distrusted";
}

server_trust::level server_trust::state(instant now) const
{
    if (!this->on_probation)
    {
        return level::trusted;
    }
    return now < this->distrusted_until ? level::distrusted : level::probation;
}

bool server_trust::allows_start(std::uint32_t tasks, instant now) const
{
    switch (this->state(now))
    {
    case level::trusted:
        return true;
    case level::probation:
        return tasks < (1U << std::min(this->probes, 16U));
    case level::distrusted:
        break;
    }
    return false;
}

void server_trust::on_done(double ratio, instant now)
{
    const bool too_soon = ratio < implausible_ratio;
    this->implausible +=
        implausible_weight * ((too_soon ? 1.0 : 0.0) - this->implausible);
    if (too_soon &&
        this->implausible > max_implausible + this->typical_implausible)
    {
        this->on_evidence(true, "implausibly fast", now);
        return;
    }
    this->rate -= run_weight * this->rate;
    this->failures_in_row = 0;
    ++this->completed;
    if (this->completed >= forgiving_runs)
    {
        this->periods = 0;
    }
    if (this->state(now) != level::probation)
    {
        return;
    }
    ++this->probes;
    if (this->probes >= trusted_probes && this->rate < trusted_rate)
    {
        this->on_probation = false;
    }
}

bool server_trust::is_new_failure(const std::string& job)
{
    if (std::find(this->failed_jobs.begin(), this->failed_jobs.end(), job) !=
        this->failed_jobs.end())
    {
        return false;
    }
    this->failed_jobs.push_back(job);
    if (this->failed_jobs.size() > max_failed_jobs)
    {
        this->failed_jobs.pop_front();
    }
    return true;
}

void server_trust::on_failed(const std::string& job, instant now)
{
    if (!this->is_new_failure(job))
    {
        return;
    }
    this->rate += run_weight * (1 - this->rate);
    ++this->failures_in_row;
    this->on_evidence(this->failures_in_row >= this->conclusive_failures() ||
                          this->fails_often(),
                      "failures", now);
}

void server_trust::on_unanswered(const std::string& job, instant now)
{
    if (!this->is_new_failure(job))
    {
        return;
    }
    this->rate += unanswered_weight * (1 - this->rate);
    this->on_evidence(this->fails_often(), "starts unanswered", now);
}

void server_trust::set_typical(double failed, double fast)
{
    this->typical_rate = failed;
    this->typical_implausible = fast;
}

bool server_trust::fails_often() const
{
    return this->rate > max_failure_rate + typical_factor * this->typical_rate;
}

std::uint32_t server_trust::conclusive_failures() const
{
    const double chance =
        std::clamp(this->typical_rate, max_chance, max_typical_rate);
    return std::max(min_failures_in_row,
                    static_cast<std::uint32_t>(
                        std::ceil(std::log(max_chance) / std::log(chance))));
}

void server_trust::on_evidence(bool conclusive, const char* why, instant now)
{
    const level before = this->state(now);
    if (before == level::probation || (before == level::trusted && conclusive))
    {
        this->cause = why;
        this->distrust(now);
    }
}

void server_trust::distrust(instant now)
{
    const std::uint32_t doublings = std::min(this->periods, max_doublings);
    this->distrusted_since = now;
    this->distrusted_until = now + min_period * (1U << doublings);
    this->on_probation = true;
    ++this->periods;
    this->probes = 0;
    this->completed = 0;
    this->failures_in_row = 0;
}

bool server_trust::may_lift(instant now) const
{
    return this->state(now) == level::distrusted &&
           (this->periods <= 1 ||
            now - this->distrusted_since >= min_probe_interval);
}

void server_trust::lift(instant now)
{
    this->distrusted_until = std::min(this->distrusted_until, now);
}

} // namespace jujubedrum
