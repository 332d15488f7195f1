#include "deployment.hpp"
#include "desk.hpp"

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <optional>

// A caller cancels its job at an instance that is cut off from the others.
//
// Two front instances in zone-a, one in zone-b. The servers of kind b, which
// the job needs, are in zone-b. The job is handed in at front-a1. While
// front-a2 is cut off, the cancel arrives there.

namespace
{

using namespace jujubedrum;

constexpr const char* job_id = "5c0e7a21d94b36f8";
constexpr milliseconds cancel_bound{3000}; ///< `cancel_ms`
constexpr milliseconds cut_time{5500};     ///< the longest of the site file
constexpr milliseconds cancel_after_cut{1000};
constexpr int job_steps = 14;
constexpr int task_ms = 400;
constexpr int job_limit_ms = 8000;
constexpr int objective_ms = 2000;

int run(const std::string& program, const std::filesystem::path& folder,
        const std::filesystem::path& record_path, bool trouble)
{
    std::ofstream record(record_path);
    event_loop loop;
    std::optional<instant> cancelled;
    deployment* all = nullptr;
    std::size_t starts = 0;
    std::size_t late_starts = 0;
    deployment cluster(
        loop, program, folder, record,
        [&](const worker_event& event)
        {
            if (event.kind == "start")
            {
                ++starts;
                const bool late =
                    cancelled && event_loop::now() - *cancelled > cancel_bound;
                late_starts += late ? 1 : 0;
                all->note(
                    "start " + event.task + " at " + event.worker +
                    (late ? "  LATER THAN cancel_ms AFTER THE ANSWER" : ""));
            }
            else
            {
                all->note(event.kind + " " + event.task + " at " +
                          event.worker + " " + event.detail);
            }
        });
    all = &cluster;
    cluster.publish(desk_configuration(job_limit_ms, objective_ms));
    for (int i = 0; i < 4; ++i)
    {
        const bool first_zone = i < 2;
        cluster.add_worker({"i-7f3a91c" + std::to_string(i),
                            first_zone ? "zone-a" : "zone-b",
                            desk_service,
                            16000,
                            32768,
                            {first_zone ? "a" : "b", "r1-1"},
                            true});
    }
    for (const auto& [name, zone] :
         {std::pair("front-a1", "zone-a"), std::pair("front-a2", "zone-a"),
          std::pair("front-b1", "zone-b")})
    {
        cluster.add_instance(name, zone);
    }
    cluster.start();
    if (!cluster.await_ready(milliseconds(15000)))
    {
        cluster.note("the instances did not become ready");
        return 2;
    }
    loop.run_until([] { return false; }, milliseconds(1500));

    const auto first = cluster.caller(*cluster.instances[0]);
    const auto second = cluster.caller(*cluster.instances[1]);
    int job_status = -1;
    http_call submit;
    submit.method = "POST";
    submit.target = std::string(desk_prefix) + job_id;
    submit.host = desk_host;
    submit.headers = {
        {"X-Jujubedrum-Deadline-Ms", std::to_string(job_limit_ms)}};
    submit.body = chain_job(job_steps, task_ms, "b");
    submit.timeout = milliseconds(job_limit_ms);
    cluster.note(std::string("POST ") + job_id + " at front-a1");
    first->call(std::move(submit),
                [&](const http_reply& reply)
                {
                    job_status = reply.status;
                    cluster.note(
                        "answer to the POST: " + std::to_string(reply.status) +
                        " " + reply.body + reply.error);
                });
    if (!loop.run_until([&] { return starts > 0; }, milliseconds(3000)))
    {
        cluster.note("the job did not start");
        return 2;
    }
    if (trouble)
    {
        cluster.note("front-a2 is cut off from the other instances");
        cluster.cut_off("front-a2");
        loop.run_until([] { return false; }, cancel_after_cut);
    }
    int cancel_status = -1;
    http_call cancel;
    cancel.method = "DELETE";
    cancel.target = std::string(desk_prefix) + job_id;
    cancel.host = desk_host;
    cancel.timeout = milliseconds(3000);
    cluster.note(std::string("DELETE ") + job_id + " at front-a2");
    second->call(std::move(cancel),
                 [&](const http_reply& reply)
                 {
                     cancel_status = reply.status;
                     cluster.note("answer to the DELETE: " +
                                  std::to_string(reply.status));
                     if (reply.status / 100 == 2 || reply.status == 410)
                     {
                         cancelled = event_loop::now();
                     }
                 });
    loop.run_until([] { return false; }, cut_time - cancel_after_cut);
    if (trouble)
    {
        cluster.note("the cut ends");
        cluster.heal("front-a2");
    }
    loop.run_until([&] { return job_status >= 0; }, milliseconds(job_limit_ms));
    cluster.note(
        "starts: " + std::to_string(starts) + ", later than " +
        std::to_string(cancel_bound.count()) +
        " ms after the answer to the DELETE: " + std::to_string(late_starts));
    if (late_starts > 0)
    {
        cluster.note("UNASKED is broken");
        return 1;
    }
    if (cancel_status < 0 || job_status < 0)
    {
        cluster.note("a request got no answer");
        return 2;
    }
    cluster.note("the rule held");
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 4)
    {
        std::cerr << "usage: review3_isolated_cancel_case NODE FOLDER RECORD\n";
        return 2;
    }
    std::signal(SIGPIPE, SIG_IGN);
    const char* trouble = std::getenv("TROUBLE");
    try
    {
        return run(argv[1], argv[2], argv[3],
                   trouble == nullptr || std::string(trouble) != "0");
    }
    catch (const std::exception& error)
    {
        std::cerr << error.what() << "\n";
        return 2;
    }
}
