#pragma once

#include "base/time.hpp"
#include "dispatch/held_server.hpp"

#include <cstdint>

namespace jujubedrum
{

/// Chooses the server for a task: the one with the shortest expected run time,
/// given its observed slowdown and the rack of the data; of about equal ones,
/// the one with the least free capacity. Made for pools whose servers differ in
/// speed and are partly busy.
class server_chooser
{
public:
    /// \param far_factor run time away from the rack of the data, as a
    /// multiple.
    explicit server_chooser(double far_factor);

    /// Returns null if no suitable server has enough free capacity, or if only
    /// one that is busy now can still meet the objective.
    /// \param max_number servers with a higher number are left out, as the
    /// accepting instance does not know that the job may run there.
    [[nodiscard]] held_server*
    choose(held_servers& servers, const pooled_job& job,
           const pooled_task& task, const job_step& step,
           std::uint64_t max_number, instant now) const;
    /// Returns the expected run time of a task in milliseconds.
    [[nodiscard]] double expected_ms(const server_record& server,
                                     const job_step& step) const;

    /// Returns whether the task may start on this server now.
    [[nodiscard]] static bool may_start(const held_server& server,
                                        const pooled_job& job,
                                        const job_step& step,
                                        std::uint64_t max_number, instant now);

    /// Returns whether tasks of the step may start on the server now, apart
    /// from its free capacity.
    [[nodiscard]] static bool is_eligible(const held_server& server,
                                          const pooled_job& job,
                                          const job_step& step, instant now);
    /// Returns how many more tasks `max_per_server` allows on the server.
    [[nodiscard]] static std::uint32_t places_left(const held_server& server,
                                                   const pooled_job& job,
                                                   const job_step& step);

private:
    double far;
};

} // namespace jujubedrum
