#pragma once

#include "arrival_schedule.hpp"
#include "event_scheduler.hpp"
#include "model_cluster.hpp"
#include "model_instance.hpp"
#include "model_result.hpp"

#include <cstddef>
#include <deque>
#include <memory>
#include <string>
#include <vector>

namespace jujubedrum
{

/// Simulates a schedule with the production placement classes in every entry
/// instance. Network delays are constant and there are no failures.
class policy_model
{
public:
    policy_model(const model_options& options, const model_cluster& cluster,
                 const arrival_schedule& schedule, std::string policy_name);

    model_result run();

private:
    struct task_state
    {
        std::size_t job = 0;
        const arriving_task* task = nullptr;
        std::size_t instance = 0;
        bool done = false;
        bool hedged = false;
        /// Indexes into the copies of the model.
        std::vector<std::size_t> copies;
    };

    /// One start of a task on a server.
    struct task_copy
    {
        std::size_t task = 0;
        std::size_t server = 0;
        slot_choice choice;
        instant sent_at{};
        /// False while the copy is in transit or queued on the server.
        bool running = false;
        /// Whether the server finished or stopped the copy.
        bool ended = false;
    };

    struct model_server
    {
        unsigned running = 0;
        /// Copies that arrived while all slots were taken.
        std::deque<std::size_t> queue;
    };

    void on_job_arrival(std::size_t job);
    void sort_longest_first(std::vector<std::size_t>& task_indexes,
                            const model_instance& dispatcher) const;
    void dispatch(std::size_t instance);
    void borrow(std::size_t instance);
    void lend(std::size_t borrower, const planned_request& plan);
    void start(std::size_t task, const slot_choice& choice);
    void server_receive(std::size_t copy);
    void server_begin(std::size_t copy);
    void server_end(std::size_t copy);
    void server_stop(std::size_t copy);
    void on_answer(std::size_t copy);
    void finish_task(std::size_t task, std::size_t copy);
    void check_overdue(std::size_t copy);
    void tick(std::size_t instance);
    void heartbeat(std::size_t instance);
    void report(std::size_t from, const planned_report& report);
    /// Ends a copy on its server and begins the next queued one.
    void release(std::size_t copy);

    [[nodiscard]] task_demand demand(const task_state& task) const;
    [[nodiscard]] microseconds server_delay(const task_copy& copy) const;
    [[nodiscard]] microseconds peer_delay(std::size_t from,
                                          std::size_t to) const;
    [[nodiscard]] std::size_t instance_index(const std::string& name) const;
    void count_messages(const std::string& cause, std::size_t messages);

    const model_options& options;
    const model_cluster& cluster;
    const arrival_schedule& schedule;
    event_scheduler scheduler;
    std::vector<std::unique_ptr<model_instance>> instances;
    std::vector<model_server> servers;
    std::vector<task_state> tasks;
    std::vector<task_copy> copies;
    /// By job.
    std::vector<std::size_t> unfinished_tasks;
    /// By job: expected run time of its longest task on a server of slowness 1.
    std::vector<microseconds> expected_job_run_times;
    std::size_t unfinished_jobs;
    std::vector<double> ratios;
    std::vector<double> repeatable_ratios;
    model_result result;
};

} // namespace jujubedrum
