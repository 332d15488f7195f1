#include "placement/server_stats.hpp"

#include <algorithm>
#include <cmath>

namespace jujubedrum
{

namespace
{

/// Bound on the deviation in the logarithm of the run time (a factor of 8) that
/// one observation counts for, so that a single absurd run time does not
/// distort the estimate for long.
constexpr double max_log_residual = 2.08;

/// Failures count as at least this multiple of the average run time. Among
/// equally fast servers, the run time of the slowest one would not lower the
/// rank of a failing server.
constexpr double min_failure_slowness = 4.0;

/// Observations needed for an estimate of the slowness of a server: deviations
/// of 30 % within a task kind then average to about 10 %.
constexpr std::size_t min_observations = 10;

/// 99 % of a normal distribution is below this many standard deviations.
constexpr double p99_deviations = 2.33;

double log_time(microseconds time)
{
    const auto count = std::max<microseconds::rep>(time.count(), 1);
    return std::log(static_cast<double>(count));
}

microseconds from_log(double value)
{
    // One hour, so that the conversion does not overflow; run times are at most
    // a minute.
    constexpr double max_run_time_us = 3.6e9;
    return microseconds(static_cast<microseconds::rep>(
        std::min(std::exp(value), max_run_time_us)));
}

double sample_weight(double weight, std::size_t earlier)
{
    return std::max(weight, 1.0 / (static_cast<double>(earlier) + 1.0));
}

} // namespace

server_stats::server_stats(server_stats_options options)
    : options(options)
{
}

void server_stats::set_servers(const std::vector<backend_server>& servers)
{
    std::map<std::string, server_record, std::less<>> kept;
    for (const backend_server& server : servers)
    {
        const auto known = this->servers.find(server.name());
        server_record& record = kept[server.name()];
        if (known != this->servers.end())
        {
            record = known->second;
        }
        record.domain = server.domain();
    }
    this->servers = std::move(kept);
}

void server_stats::on_finished(std::string_view server, std::string_view kind,
                               microseconds declared, microseconds run_time,
                               instant now)
{
    const auto at = this->servers.find(server);
    if (at == this->servers.end())
    {
        return;
    }
    const double observed = log_time(run_time);
    auto known = this->kinds.find(kind);
    if (known == this->kinds.end())
    {
        known = this->kinds.emplace(kind, kind_record{}).first;
        known->second.log_reference = log_time(declared);
    }
    kind_record& reference = known->second;
    const double residual =
        observed - reference.log_reference - at->second.log_slowness;
    // The first observation replaces the declared run time.
    const double shift =
        reference.observations == 0
            ? residual
            : std::clamp(residual, -max_log_residual, max_log_residual);
    if (reference.observations > 0)
    {
        // A run time far from the expected one is likely a change of speed.
        const bool is_outlier = shift * shift > 9.0 * reference.log_variance;
        update_slowness(at->second,
                        is_outlier ? this->options.outlier_weight
                                   : this->options.speed_weight,
                        shift);
        const double limited =
            std::min(shift * shift, 9.0 * reference.log_variance);
        reference.log_variance +=
            this->options.reference_weight * (limited - reference.log_variance);
    }
    reference.log_reference +=
        shift *
        sample_weight(this->options.reference_weight, reference.observations);
    ++reference.observations;
    record_success(at->second, this->options.failure_weight, now);
}

void server_stats::update_slowness(server_record& record, double weight,
                                   double residual)
{
    record.log_slowness +=
        residual * sample_weight(weight, record.observations + 1);
    ++record.observations;
}

void server_stats::on_overdue(std::string_view server, std::string_view kind,
                              microseconds declared, microseconds elapsed)
{
    const auto at = this->servers.find(server);
    if (at == this->servers.end())
    {
        return;
    }
    const double residual = log_time(elapsed) -
                            this->log_reference(kind, declared) -
                            at->second.log_slowness;
    if (residual > 0.0)
    {
        update_slowness(at->second, this->options.overdue_weight,
                        std::min(residual, max_log_residual));
    }
}

void server_stats::on_failed(std::string_view server, instant now)
{
    const auto at = this->servers.find(server);
    if (at == this->servers.end())
    {
        return;
    }
    server_record& record = at->second;
    record.failure_rate +=
        this->options.failure_weight * (1.0 - record.failure_rate);
    const bool failed_probe = record.ejected && record.probing;
    const bool above_threshold =
        !record.ejected &&
        record.failure_rate > this->options.ejection_threshold &&
        this->may_eject(record);
    if (failed_probe || above_threshold)
    {
        this->eject(record, now);
    }
}

void server_stats::eject(server_record& record, instant now)
{
    if (!record.ejected &&
        now - record.readmitted_at > this->options.max_ejection_time)
    {
        record.ejections = 0;
    }
    constexpr unsigned max_doublings = 16;
    const unsigned doublings = std::min(record.ejections, max_doublings);
    const auto ejection_time =
        std::min(this->options.min_ejection_time * (1 << doublings),
                 this->options.max_ejection_time);
    ++record.ejections;
    record.ejected = true;
    record.probing = false;
    record.ejected_until = now + ejection_time;
}

bool server_stats::may_eject(const server_record& record) const
{
    const auto members =
        std::count_if(this->servers.begin(), this->servers.end(),
                      [&](const auto& entry)
                      { return entry.second.domain == record.domain; });
    const auto limit = static_cast<std::size_t>(
        static_cast<double>(members) * this->options.max_ejected_share);
    // In a domain of two or three servers the limit rounds down to 0, so that
    // none could ever be ejected.
    const std::size_t min_ejected = members > 1 ? 1 : 0;
    return this->ejected(record.domain) < std::max(limit, min_ejected);
}

void server_stats::record_success(server_record& record, double weight,
                                  instant now)
{
    record.failure_rate *= 1.0 - weight;
    // Below this rate the penalty is smaller than the noise of run times.
    constexpr double negligible_rate = 0.01;
    if (record.failure_rate < negligible_rate)
    {
        record.failure_rate = 0.0;
    }
    if (record.ejected && record.probing)
    {
        record.ejected = false;
        record.probing = false;
        record.readmitted_at = now;
    }
}

void server_stats::on_probe_started(std::string_view server)
{
    const auto at = this->servers.find(server);
    if (at != this->servers.end())
    {
        at->second.probing = true;
    }
}

void server_stats::set_initial_slowness(std::string_view server,
                                        double slowness)
{
    const auto at = this->servers.find(server);
    if (at == this->servers.end() || slowness <= 0.0 ||
        this->has_estimate(server))
    {
        return;
    }
    at->second.log_slowness = std::log(slowness);
    at->second.observations = min_observations;
}

bool server_stats::has_estimate(std::string_view server) const
{
    const auto at = this->servers.find(server);
    return at != this->servers.end() &&
           at->second.observations >= min_observations;
}

void server_stats::on_probe_ended(std::string_view server)
{
    const auto at = this->servers.find(server);
    if (at != this->servers.end())
    {
        at->second.probing = false;
    }
}

double server_stats::log_reference(std::string_view kind,
                                   microseconds declared) const
{
    const auto known = this->kinds.find(kind);
    return known == this->kinds.end() ? log_time(declared)
                                      : known->second.log_reference;
}

double server_stats::log_expected(std::string_view server,
                                  std::string_view kind,
                                  microseconds declared) const
{
    return this->log_reference(kind, declared) +
           std::log(this->slowness(server));
}

microseconds server_stats::expected_run_time(std::string_view server,
                                             std::string_view kind,
                                             microseconds declared) const
{
    return from_log(this->log_expected(server, kind, declared));
}

microseconds server_stats::run_time_bound(std::string_view server,
                                          std::string_view kind,
                                          microseconds declared) const
{
    const auto known = this->kinds.find(kind);
    const double variance = known == this->kinds.end()
                                ? kind_record{}.log_variance
                                : known->second.log_variance;
    return from_log(this->log_expected(server, kind, declared) +
                    p99_deviations * std::sqrt(variance));
}

double server_stats::max_slowness() const
{
    double max_log_slowness = std::log(min_failure_slowness);
    for (const auto& [name, record] : this->servers)
    {
        max_log_slowness = std::max(max_log_slowness, record.log_slowness);
    }
    return std::exp(max_log_slowness);
}

double server_stats::slowness(std::string_view server) const
{
    const auto at = this->servers.find(server);
    if (at == this->servers.end())
    {
        return 1.0;
    }
    const double measured = std::exp(at->second.log_slowness);
    const double rate = at->second.failure_rate;
    return rate == 0.0 ? measured
                       : measured * (1.0 - rate) + this->max_slowness() * rate;
}

microseconds server_stats::reference(std::string_view kind,
                                     microseconds declared) const
{
    return from_log(this->log_reference(kind, declared));
}

admission_state server_stats::admission(std::string_view server,
                                        instant now) const
{
    const auto at = this->servers.find(server);
    if (at == this->servers.end() || !at->second.ejected)
    {
        return admission_state::open;
    }
    const bool due = now >= at->second.ejected_until && !at->second.probing;
    return due ? admission_state::probe : admission_state::ejected;
}

std::size_t server_stats::ejected(std::string_view domain) const
{
    return static_cast<std::size_t>(std::count_if(
        this->servers.begin(), this->servers.end(),
        [&](const auto& entry)
        { return entry.second.ejected && entry.second.domain == domain; }));
}

} // namespace jujubedrum
