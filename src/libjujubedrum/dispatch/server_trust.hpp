#pragma once

#include "base/time.hpp"

#include <cstdint>
#include <deque>
#include <string>

namespace jujubedrum
{

/// Decides how many tasks a backend server may have at a time, from its recent
/// runs. Made for servers that fail or drop what they start while others serve:
/// they are always free, so that every task would go there. A server is
/// distrusted for a time that doubles; afterwards it is on probation, where it
/// may have one task at a time, and twice as many after each completed one.
///
/// Failures count once a job, so that a job that can never succeed causes no
/// distrust. Without failures, every server is trusted.
class server_trust
{
public:
    enum class level
    {
        trusted,
        probation,
        distrusted,
    };

    /// A run completed.
    /// \param ratio observed run time over the declared one.
    void on_done(double ratio, instant now);
    /// A run of the job failed or stalled.
    void on_failed(const std::string& job, instant now);
    /// A start got no answer.
    void on_unanswered(const std::string& job, instant now);
    /// Sets the shares of failed and of implausibly fast runs at the median
    /// server: jobs that can never succeed, or whose declared times are far too
    /// long, are so everywhere.
    void set_typical(double failed, double fast);
    /// Returns whether the distrust may end early. A server whose last probe
    /// failed gets the next one 500 ms later at the earliest.
    [[nodiscard]] bool may_lift(instant now) const;
    /// Ends the distrust early, since the other servers cannot carry the load.
    void lift(instant now);

    [[nodiscard]] level state(instant now) const;
    /// Returns whether another task may start.
    /// \param tasks reserved or running there.
    [[nodiscard]] bool allows_start(std::uint32_t tasks, instant now) const;
    /// Returns the share of recent runs that failed, 0 to 1.
    [[nodiscard]] double failure_rate() const { return this->rate; }
    /// Returns the share of recent runs that ended implausibly fast, 0 to 1.
    [[nodiscard]] double fast_rate() const { return this->implausible; }
    /// Returns how the state arose, for log lines.
    [[nodiscard]] const char* reason() const { return this->cause; }

private:
    /// Returns whether a failure of the job is not counted yet.
    bool is_new_failure(const std::string& job);
    /// Returns whether the failure rate is above the limit.
    [[nodiscard]] bool fails_often() const;
    void on_evidence(bool conclusive, const char* why, instant now);
    /// Returns the failures in a row that hardly occur at the typical rate.
    [[nodiscard]] std::uint32_t conclusive_failures() const;
    void distrust(instant now);

    double rate = 0;
    double typical_rate = 0;
    double typical_implausible = 0;
    std::uint32_t failures_in_row = 0;
    double implausible = 0; ///< share of recent runs that ended too soon
    std::deque<std::string> failed_jobs; ///< the last ones
    const char* cause = "";
    bool on_probation = false; ///< from `distrusted_until` on
    instant distrusted_since{0};
    instant distrusted_until{0};
    std::uint32_t periods = 0;   ///< consecutive ones
    std::uint32_t probes = 0;    ///< completed on probation
    std::uint32_t completed = 0; ///< since the last period
};

[[nodiscard]] const char* trust_name(server_trust::level value);

} // namespace jujubedrum
