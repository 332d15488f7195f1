#include "dispatch/server_chooser.hpp"

#include <algorithm>
#include <limits>

namespace jujubedrum
{

namespace
{

/// Among servers whose expected run times differ by a smaller share, best fit
/// decides.
constexpr double equal_time_tolerance = 0.05;
/// Multiplies the expected run time on the server where the task last failed
/// or was stopped as overdue: it is chosen again only if others are slower by
/// this factor.
constexpr double repeat_factor = 2.5;

} // namespace

server_chooser::server_chooser(double far_factor)
    : far(far_factor)
{
}

double server_chooser::expected_ms(const server_record& server,
                                   const job_step& step) const
{
    const bool far =
        !step.data_rack.empty() && !server.info().has_label(step.data_rack);
    return static_cast<double>(step.estimate.count()) * server.slowdown() *
           (far ? this->far : 1.0);
}

bool server_chooser::is_eligible(const held_server& server,
                                 const pooled_job& job, const job_step& step,
                                 instant now)
{
    const server_record& record = server.record;
    return record.usable(now) && record.info().service == job.terms.service &&
           (step.label.empty() || record.info().has_label(step.label));
}

std::uint32_t server_chooser::places_left(const held_server& server,
                                          const pooled_job& job,
                                          const job_step& step)
{
    if (step.max_per_server == 0)
    {
        return std::numeric_limits<std::uint32_t>::max();
    }
    const auto here =
        std::count_if(server.runs.begin(), server.runs.end(),
                      [&job, &step](const task_ref& other)
                      { return other.job == &job && &other.spec() == &step; });
    return step.max_per_server -
           std::min(step.max_per_server, static_cast<std::uint32_t>(here));
}

bool server_chooser::may_start(const held_server& server, const pooled_job& job,
                               const job_step& step, std::uint64_t max_number,
                               instant now)
{
    return server.number <= max_number && is_eligible(server, job, step, now) &&
           server.record.fits(step.demand) &&
           places_left(server, job, step) > 0;
}

held_server* server_chooser::choose(held_servers& servers,
                                    const pooled_job& job,
                                    const pooled_task& task,
                                    const job_step& step,
                                    std::uint64_t max_number, instant now) const
{
    held_server* best = nullptr;
    double best_ms = std::numeric_limits<double>::max();
    double fastest_ms = std::numeric_limits<double>::max();
    for (auto& [id, server] : servers)
    {
        if (server.number > max_number || !is_eligible(server, job, step, now))
        {
            continue;
        }
        double ms = this->expected_ms(server.record, step);
        if (task.failures + task.moves > 0 && task.server == id)
        {
            ms *= repeat_factor;
        }
        fastest_ms = std::min(fastest_ms, ms);
        if (!server.record.fits(step.demand) ||
            places_left(server, job, step) == 0)
        {
            continue;
        }
        const bool better = ms < best_ms * (1 - equal_time_tolerance);
        const bool equal = ms < best_ms * (1 + equal_time_tolerance);
        if (better || (equal && best != nullptr &&
                       server.record.free_cpu() < best->record.free_cpu()))
        {
            best = &server;
            best_ms = ms;
        }
    }
    // A slow server that would miss the objective is passed over while a
    // faster one that is busy now could still meet it.
    const double remaining_ms =
        std::chrono::duration<double, std::milli>(job.objective_at - now)
            .count();
    const bool wait_for_faster =
        best_ms > remaining_ms && fastest_ms < remaining_ms;
    return wait_for_faster ? nullptr : best;
}

} // namespace jujubedrum
