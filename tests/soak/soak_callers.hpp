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
/// is sent again to a random instance. Checks replies against the runs that
/// backend servers recorded.
class soak_callers
{
public:
    soak_callers(event_loop& loop, soak_cluster& cluster, random_source& random,
                 const std::string& address, std::uint32_t jobs_per_second);

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
        std::uint32_t attempts = 0;
        bool may_have_run = false; ///< an attempt was sent, not refused
        bool probe = false;
    };

    void send_next();
    std::shared_ptr<job> make_job();
    void attempt(const std::shared_ptr<job>& pending_job, std::size_t node);
    void on_reply(const std::shared_ptr<job>& pending_job,
                  const http_reply& reply);
    void finish_job(const job& pending_job, const std::string& outcome);

    loop_scope loop;
    soak_cluster& cluster;
    random_source& random;
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
