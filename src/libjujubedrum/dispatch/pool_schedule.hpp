#pragma once

#include "base/time.hpp"
#include "dispatch/held_server.hpp"
#include "dispatch/late_starts.hpp"
#include "dispatch/server_chooser.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace jujubedrum
{

/// A task of a job on a server at an expected time.
struct planned_start
{
    task_ref task;
    held_server* server = nullptr;
    instant at{0};
};

/// The expected end of a job, and where its waiting tasks start.
struct job_plan
{
    /// False if the waiting tasks cannot be placed now, so that nothing is
    /// known of the end.
    bool known = false;
    instant end{0};
    instant last_start{0};
};

/// Plans the waiting jobs of a holder on its actual servers: their free
/// capacity, the expected ends of their runs, their speed and rack. Jobs are
/// added in their order; each gets only what those before it leave free, so
/// later ones do not delay earlier ones. Capacity that a planned task waits for
/// is not lent until its start. Made for pools whose free capacity is split
/// into parts too small for some tasks.
///
/// Planning a job takes O(servers * (runs on a server + tasks)).
class pool_schedule
{
public:
    /// The referenced objects outlive the schedule.
    /// \param unanswered tasks that may start on one server only.
    pool_schedule(const server_chooser& chooser, const late_starts& unanswered);

    /// Starts again with the current runs only.
    void reset(held_servers& servers, instant now);
    /// Plans the waiting tasks of a job. The earlier plans remain.
    /// \param max_number servers with a higher number are left out.
    /// \param only_now leaves out capacity that becomes free later.
    [[nodiscard]] job_plan plan(pooled_job& job, std::uint64_t max_number,
                                bool only_now = false);
    /// Takes back the last plan.
    void undo();
    /// Returns the starts of the last plan.
    [[nodiscard]] const std::vector<planned_start>& starts() const
    {
        return this->planned;
    }
    /// Returns how many tasks were planned since the last reset.
    [[nodiscard]] std::size_t tasks_planned() const { return this->count; }

private:
    /// Resources that become free at a time and remain so.
    struct release
    {
        instant at{0};
        resource_amounts amount;
    };
    struct planned_server
    {
        held_server* server = nullptr;
        std::vector<release> releases; ///< by time
        std::vector<release> saved;    ///< before the last plan
        bool changed = false;          ///< by the last plan
    };
    /// The earliest start of one of several equal tasks on a server.
    struct candidate
    {
        planned_server* on = nullptr;
        double run_ms = 0;
        bool fits = false;
        instant start{0};
        instant end{0};
        double score = 0;
        std::uint32_t places = 0; ///< left by `max_per_server`
    };

    void add_runs(planned_server& on) const;
    bool plan_step(pooled_job& job, std::uint32_t step,
                   std::uint64_t max_number, job_plan& result);
    void update(candidate& of, const job_step& step, instant due) const;
    /// \param only_on id of the only server that the task may start on.
    [[nodiscard]] candidate*
    best_for(const pooled_task& task,
             const std::optional<std::string>& only_on);
    static void take(planned_server& on, const resource_amounts& demand,
                     instant start, instant end);

    const server_chooser& chooser;
    const late_starts& unanswered;
    std::vector<planned_server> servers;
    std::vector<candidate> candidates;
    std::vector<planned_start> planned;
    std::size_t used = 0; ///< entries of `servers` in use
    std::size_t count = 0;
    bool only_now = false;
    instant now{0};
};

} // namespace jujubedrum
