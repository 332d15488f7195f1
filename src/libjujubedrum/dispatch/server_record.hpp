#pragma once

#include "base/time.hpp"
#include "dispatch/server_info.hpp"

#include <cstdint>
#include <string>

namespace jujubedrum
{

/// A backend server as its pool holder sees it: room that is taken, speed and
/// failures learned from the runs that ended there.
class server_record
{
public:
    explicit server_record(server_info description);

    [[nodiscard]] const server_info& info() const { return this->description; }
    /// Replaces the description, keeping what was learned.
    void set_info(server_info changed);

    /// Returns whether the server answers and may get new tasks.
    [[nodiscard]] bool usable(instant now) const;
    void set_reachable(bool value) { this->reachable = value; }

    [[nodiscard]] bool fits(const resource_amounts& demand) const;
    void reserve(const resource_amounts& demand);
    void release(const resource_amounts& demand);
    /// Returns the thousandths of a core that are free.
    [[nodiscard]] std::uint32_t free_cpu() const;

    /// Keeps the server from new tasks for a while, after it had no room.
    void back_off_until(instant until);

    /// Returns the learned run time as a multiple of the declared one.
    [[nodiscard]] double slowdown() const { return this->slowdown_value; }
    /// Learns from a run that ended well.
    /// \param ratio observed run time over the declared one.
    void on_done(double ratio, instant now);
    /// Learns that a run failed or stood still.
    void on_failed(const std::string& job, instant now);

private:
    server_info description;
    resource_amounts reserved;
    bool reachable = false;
    instant backoff_until{0};
    double slowdown_value = 1.0;
    std::uint32_t consecutive_failures = 0;
    std::uint32_t consecutive_ejections = 0;
    std::string last_failed_job;
};

} // namespace jujubedrum
