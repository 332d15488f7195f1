#pragma once

#include "base/time.hpp"
#include "dispatch/held_server.hpp"

namespace jujubedrum
{

/// Chooses the server for a task: the one that ends it first by its learned
/// speed and the rack of the data, of equal ones the fullest. Answers to pools
/// whose servers differ in speed and are partly busy.
class server_chooser
{
public:
    /// \param far_factor run time away from the rack of the data, as a
    /// multiple.
    explicit server_chooser(double far_factor);

    /// Returns nothing if no server has room, or if the task had better wait
    /// for one that is busy.
    [[nodiscard]] held_server* choose(held_servers& servers,
                                      const pooled_job& job,
                                      const pooled_task& task,
                                      const job_step& step, instant now) const;
    /// Returns the expected run time of a task in milliseconds.
    [[nodiscard]] double expected_ms(const server_record& server,
                                     const job_step& step) const;

private:
    [[nodiscard]] static bool is_eligible(const held_server& server,
                                          const pooled_job& job,
                                          const job_step& step, instant now);
    /// Returns whether the step may have another task on the server.
    [[nodiscard]] static bool spread_allows(const held_server& server,
                                            const pooled_job& job,
                                            const job_step& step);

    double far;
};

} // namespace jujubedrum
