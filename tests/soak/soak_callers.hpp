#pragma once

#include "soak_cluster.hpp"

#include "base/random_source.hpp"
#include "node/http_client.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace jujubedrum
{

/// Sends jobs to all instances over persistent connections, as the users'
/// clients do: a job without a reply, or with an error other than a refusal,
/// is sent again to a random instance, in the overlap profile another one.
/// Checks replies against the runs that
/// backend servers recorded.
class soak_callers
{
public:
    soak_callers(event_loop& loop, soak_cluster& cluster, random_source& random,
                 const std::string& address, soak_profile profile,
                 microseconds job_interval);

    void start();
    void stop() { this->sending = false; }
    /// Returns whether all jobs have ended.
    [[nodiscard]] bool idle() const { return this->open_jobs == 0; }
    /// Sends one job, at first to the given instance, and counts it in
    /// probes_completed() if it completes.
    void probe(std::size_t node);
    [[nodiscard]] std::uint64_t probes_completed() const
    {
        return this->probes_done;
    }
    /// Returns the number of ended jobs by outcome.
    [[nodiscard]] const std::map<std::string, std::uint64_t>& outcomes() const
    {
        return this->outcome_counts;
    }
    [[nodiscard]] const std::vector<std::string>& violations() const
    {
        return this->violation_list;
    }

private:
    struct job
    {
        std::string id;
        std::string body;
        milliseconds deadline{0};  ///< sent with each attempt
        std::size_t last_node = 0; ///< of the last attempt
        std::uint32_t attempts = 0;
        bool may_have_run = false; ///< an attempt was sent, not refused
        bool probe = false;
    };

    void send_next();
    std::shared_ptr<job> make_job();
    /// Draws the run time of a task, and in the overlap profile the deadline of
    /// its job. A share of the tasks there outlasts the grace period of a stop
    /// or the deadline.
    std::uint64_t draw_run_time(job& new_job);
    /// Returns the instance for the next attempt.
    std::size_t next_node(const job& pending_job);
    void attempt(const std::shared_ptr<job>& pending_job, std::size_t node);
    void on_reply(const std::shared_ptr<job>& pending_job,
                  const http_reply& reply);
    void finish_job(const job& pending_job, const std::string& outcome);

    loop_scope loop;
    soak_cluster& cluster;
    random_source& random;
    soak_profile profile;
    microseconds job_interval;
    std::vector<std::shared_ptr<http_client>> clients;
    std::uint64_t next_id = 1;
    std::uint64_t open_jobs = 0;
    std::uint64_t probes_done = 0;
    bool sending = true;
    std::map<std::string, std::uint64_t> outcome_counts;
    std::vector<std::string> violation_list;
};

} // namespace jujubedrum
