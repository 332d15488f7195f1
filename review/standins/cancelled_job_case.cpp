// A job is cancelled just after the instance that holds it froze.

#include "case_support.hpp"

#include <algorithm>
#include <csignal>
#include <map>
#include <optional>

namespace
{

using namespace jujubedrum;
using namespace jujubedrum::review;

constexpr milliseconds cancel_bound{3000}; ///< `cancel_ms`
constexpr milliseconds freeze_time{4000};  ///< as in the site file
constexpr milliseconds time_limit{20000};  ///< of the client
constexpr std::size_t chain_steps = 9;
constexpr long step_ms = 700;

/// Plays one job in a zone. Returns false if the case could not be set up.
bool play(deployment& system, case_record& record, const std::string& zone,
          std::uint64_t number, bool trouble)
{
    const auto holders = system.holders();
    node* holder = nullptr;
    node* acceptor = nullptr;
    for (const auto& instance : system.nodes())
    {
        if (instance->zone != zone)
        {
            continue;
        }
        const bool holds =
            std::count(holders.begin(), holders.end(), instance->name) > 0;
        (holds ? holder : acceptor) = instance.get();
    }
    if (holder == nullptr || acceptor == nullptr)
    {
        record.line("no pair of holder and other instance in " + zone);
        return false;
    }
    const std::string id = job_id(number);
    std::optional<instant> cancelled_at;
    std::optional<std::uint64_t> fence_before;
    std::size_t late_starts = 0;
    bool ended = false;
    record.check_start = [&](const seen_run& run)
    {
        if (run.task.rfind(id + ".", 0) != 0)
        {
            return;
        }
        if (!cancelled_at)
        {
            fence_before = std::max(fence_before.value_or(0), run.token);
            return;
        }
        // The frozen instance may wake within the time; its fence is lower
        // than that of its successor, which was in touch all the while.
        if (event_loop::now() > *cancelled_at + cancel_bound &&
            (!trouble || run.token > *fence_before + (1U << 18U)))
        {
            ++late_starts;
            record.violation(
                "UNASKED: start of " + run.task + " " +
                std::to_string(std::chrono::duration_cast<milliseconds>(
                                   event_loop::now() - *cancelled_at)
                                   .count()) +
                " ms after the cancelling was acknowledged");
        }
    };
    record.line("client: POST " + id + " to " + acceptor->name + ", held by " +
                holder->name);
    system.call(*acceptor, "POST", std::string(deployment::prefix) + id,
                chain_job(std::to_string(step_ms) + " 6800 -", chain_steps,
                          step_ms, 6800),
                time_limit,
                [&](const http_reply& reply)
                {
                    ended = true;
                    record.line("client: POST " + id + " answered " +
                                std::to_string(reply.status) + " " +
                                reply.body);
                });
    system.run_for(milliseconds(1000));
    if (trouble)
    {
        record.line("freeze " + holder->name);
        system.signal(*holder, SIGSTOP);
    }
    system.run_for(milliseconds(300));
    record.line("client: DELETE " + id + " to " + acceptor->name);
    system.call(*acceptor, "DELETE", std::string(deployment::prefix) + id, "",
                milliseconds(4000),
                [&](const http_reply& reply)
                {
                    record.line("client: DELETE " + id + " answered " +
                                std::to_string(reply.status));
                    if (reply.status / 100 == 2 || reply.status == 410)
                    {
                        cancelled_at = event_loop::now();
                    }
                });
    system.run_for(freeze_time - milliseconds(300));
    if (trouble)
    {
        record.line("wake " + holder->name);
        system.signal(*holder, SIGCONT);
    }
    system.run_for(milliseconds(6000));
    if (!ended)
    {
        system.run_for(time_limit - milliseconds(11000));
    }
    record.check_start = nullptr;
    record.line("job " + id + ": " + std::to_string(late_starts) +
                " starts more than 3000 ms after the acknowledgement");
    return cancelled_at.has_value();
}

int play_all(const case_options& options, case_record& record)
{
    event_loop loop;
    deployment_options wanted;
    wanted.root = options.root;
    wanted.folder = options.scratch;
    wanted.timeout_ms = time_limit.count();
    deployment system(loop, wanted, record);
    if (!system.await_ready(milliseconds(15000)))
    {
        record.line("the instances did not become ready");
        return cannot_run;
    }
    system.run_for(milliseconds(3000));
    std::size_t played = 0;
    std::uint64_t number = 0x5c0e7a2100000001;
    for (const std::string& zone : wanted.zones)
    {
        played += play(system, record, zone, number++, options.trouble) ? 1 : 0;
        system.run_for(milliseconds(3000));
    }
    if (played == 0)
    {
        return cannot_run;
    }
    return record.violations() > 0 ? rule_broken : rule_held;
}

} // namespace

int main(int argc, char** argv)
{
    return run_case(argc, argv, play_all);
}
