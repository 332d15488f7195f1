// Case 7: the tasks of a job are started with another `taskSpec` than the one
// that the caller sent, when the servers of the accepting instance's failure
// domain are leaving and the job goes to the holder of another domain.

#include "deployment.hpp"

#include <cstdlib>
#include <iostream>
#include <string_view>

namespace
{

using namespace jujubedrum;

constexpr int exit_held = 0;
constexpr int exit_broken = 1;
constexpr int exit_not_run = 2;

constexpr milliseconds start_limit{20000};
constexpr milliseconds settle_time{3000};
constexpr milliseconds job_interval{300};
constexpr milliseconds run_time{100};
constexpr milliseconds caller_limit{1500};
/// Time from the report that a server drains until it leaves (`drainMs`, and a
/// little longer).
constexpr milliseconds drain_time{2500};
constexpr int jobs_before = 5;
constexpr int jobs_after = 10;
/// Servers of the other domain: one of seven leaves, 0.143 of them.
constexpr int other_servers = 6;

int run_case(const std::string& program, const std::string& folder,
             const std::string& record, bool trouble)
{
    event_loop loop;
    deployment all(loop, program, folder, record);
    all.note(trouble ? "TROUBLE=1" : "TROUBLE=0");
    all.add_server("s1", "d1");
    for (int i = 0; i < other_servers; ++i)
    {
        all.add_server("t" + std::to_string(i), "d2");
    }
    deployment::node& accepting = all.add_node("n1", "d1");
    all.add_node("n2", "d2");
    if (!all.await_ready(start_limit))
    {
        all.note("the instances did not become ready");
        return exit_not_run;
    }
    loop.run_until([] { return false; }, settle_time);

    std::vector<std::shared_ptr<deployment::caller_attempt>> sent;
    // Two fields separated by a NUL, as `find -print0` and `xargs -0` do.
    const std::string argument = std::string(" gate 4") + '\0' + "open 30 s";
    const auto send_jobs = [&](int count)
    {
        for (int i = 0; i < count; ++i)
        {
            std::string id = std::to_string(100 + sent.size());
            id.insert(0, 16 - id.size(), '0');
            sent.push_back(all.submit(accepting, id, 1, run_time, run_time,
                                      caller_limit, argument));
            loop.run_until([] { return false; }, job_interval);
        }
    };
    send_jobs(jobs_before);
    if (trouble)
    {
        all.drain_server("s1");
        loop.after(drain_time, [&all] { all.remove_server("s1"); });
    }
    send_jobs(jobs_after);
    loop.run_until([] { return false; }, caller_limit);

    int completed = 0;
    for (const auto& attempt : sent)
    {
        completed += attempt->state == "completed" ? 1 : 0;
    }
    for (const std::string& violation : all.runs().violations())
    {
        all.note("BROKEN UNASKED: " + violation);
    }
    const bool broken = !all.runs().violations().empty();
    all.note("jobs answered as completed: " + std::to_string(completed) +
             " of " + std::to_string(sent.size()));
    if (!broken && completed < jobs_before + jobs_after)
    {
        all.note("the jobs were not served");
        return exit_not_run;
    }
    all.note(broken ? "result: broken" : "result: held");
    return broken ? exit_broken : exit_held;
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 4)
    {
        std::cerr << "usage: cut_specification PROGRAM FOLDER RECORD\n";
        return exit_not_run;
    }
    const char* value = std::getenv("TROUBLE");
    const bool trouble = value == nullptr || std::string_view(value) != "0";
    try
    {
        return run_case(argv[1], argv[2], argv[3], trouble);
    }
    catch (const std::exception& error)
    {
        std::cerr << "cut_specification: " << error.what() << "\n";
        return exit_not_run;
    }
}
