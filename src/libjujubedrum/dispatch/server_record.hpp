#pragma once

#include "base/time.hpp"
#include "dispatch/server_info.hpp"
#include "dispatch/server_trust.hpp"

#include <cstdint>
#include <string>

namespace jujubedrum
{

/// State that a pool holder keeps of a backend server: its reserved capacity,
/// and its slowdown and failures as observed from the runs that ended there.
class server_record
{
public:
    /// \param rated judged by `server_trust` rather than by failures in a row.
    explicit server_record(server_info description, bool rated = true);

    [[nodiscard]] const server_info& info() const { return this->description; }
    /// Replaces the description. Observations are kept unless the server has
    /// restarted.
    void set_info(server_info changed);

    /// Returns whether the server is reachable and may get a new task: neither
    /// is it draining nor its failure domain evacuated, no backoff is in
    /// effect, its description is of the boot that answered last, and it is
    /// trusted that far.
    [[nodiscard]] bool usable(instant now) const;
    /// Returns whether it may get new tasks now, or once a probe has ended.
    [[nodiscard]] bool in_service(instant now) const;
    /// Returns whether it is reachable, not draining, evacuated or in a
    /// backoff, whether or not it is trusted.
    [[nodiscard]] bool is_available(instant now) const;
    void set_reachable(bool value) { this->reachable = value; }
    /// Sets whether the failure domain of the server is evacuated, so that it
    /// gets no new tasks.
    void set_evacuated(bool value) { this->evacuated = value; }
    [[nodiscard]] bool is_evacuated() const { return this->evacuated; }
    /// Records which boot of the server answered last. Labels, capacity and
    /// state of another boot do not apply to it, so the server is not usable
    /// while its description is of another one.
    void set_running_incarnation(std::uint64_t value)
    {
        this->running_incarnation = value;
    }

    [[nodiscard]] bool fits(const resource_amounts& demand) const;
    void reserve(const resource_amounts& demand);
    void release(const resource_amounts& demand);
    /// Returns the free capacity in thousandths of a core.
    [[nodiscard]] std::uint32_t free_cpu() const;

    /// Returns the free amounts of all resources.
    [[nodiscard]] resource_amounts free_amounts() const;

    /// Gives the server no new tasks before this time. A later end of an
    /// earlier backoff stays in effect.
    void back_off_until(instant until);

    /// Returns the observed run time as a multiple of the declared one.
    [[nodiscard]] double slowdown() const { return this->slowdown_value; }
    [[nodiscard]] const server_trust& trust() const { return this->trusted; }
    [[nodiscard]] server_trust& trust() { return this->trusted; }
    /// Returns the reserved capacity in thousandths of a core.
    [[nodiscard]] std::uint32_t reserved_cpu() const
    {
        return this->reserved.cpu;
    }
    /// Updates the slowdown and the trust from a completed run.
    /// \param ratio observed run time over the declared one.
    void on_done(double ratio, instant now);
    /// Counts a failed or stalled run.
    void on_failed(const std::string& job, instant now);
    /// Counts a start that got no answer.
    void on_unanswered(const std::string& job, instant now);

private:
    [[nodiscard]] bool describes_running_boot() const;

    server_info description;
    resource_amounts reserved;
    bool reachable = false;
    bool evacuated = false;
    std::uint64_t running_incarnation = 0; ///< 0: unknown
    instant backoff_until{0};
    double slowdown_value = 1.0;
    bool rated = true;
    server_trust trusted;
    // If it is not rated:
    std::uint32_t consecutive_failures = 0;
    std::uint32_t consecutive_ejections = 0;
    std::string last_failed_job;
    std::uint32_t reserved_tasks = 0;
};

} // namespace jujubedrum
