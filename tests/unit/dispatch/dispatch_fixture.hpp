#pragma once

#include "dispatch/pool_dispatcher.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace jujubedrum
{

/// A dispatcher with recorded starts, stops, polls and results, and a manual
/// clock.
struct dispatch_fixture : task_launcher, job_listener
{
    struct ended_job
    {
        job_origin origin;
        job_result result;
        job_report report;
    };

    void start(const std::string& server, const run_id& run,
               const std::string& payload) override;
    void stop(const std::string& server, const run_id& run) override;
    void poll(const std::string& server) override;
    void job_ended(const job_origin& origin, const job_result& result,
                   const job_report& report) override;

    /// Adds a reachable server.
    void add_server(const std::string& id, std::uint32_t cpu = 16000,
                    std::vector<std::string> labels = {});
    static job_request make_job(const std::string& id, std::uint32_t tasks,
                                milliseconds estimate = milliseconds(100),
                                std::uint32_t cpu = 6800);
    static job_terms make_terms();
    void submit(const job_request& job, std::uint64_t ticket = 1);
    /// Returns the result of the job with this ticket, if it has ended.
    [[nodiscard]] std::optional<job_result>
    result_of(std::uint64_t ticket) const;
    void accept_all();
    /// Reports that a run ended, in a poll reply.
    void end_run(const std::string& server, const run_id& run,
                 run_outcome outcome = run_outcome::done);
    /// Reports the running runs, in the reply to a poll sent now.
    void report_running(const std::string& server,
                        std::vector<active_run> running);
    void advance(milliseconds by);

    pool_dispatcher dispatcher{dispatch_options{}, *this, *this};
    instant now{1000000};
    std::vector<std::pair<std::string, run_id>> starts;
    std::vector<std::pair<std::string, run_id>> stops;
    std::vector<std::string> polls;
    std::vector<ended_job> ended;

private:
    std::uint64_t next_end = 1;
};

} // namespace jujubedrum
