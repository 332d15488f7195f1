// Case 8: an instance that is cut off from the others acknowledges the cancel
// of a job, and the holder of the job goes on to start its tasks.

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
constexpr std::uint32_t step_count = 6;
constexpr milliseconds step_time{800};
constexpr milliseconds caller_limit{8000};
constexpr milliseconds cut_time{4500};
/// `cancel_ms` of the platform.
constexpr milliseconds cancel_bound{3000};
constexpr milliseconds cancel_limit{2000};

void wait(event_loop& loop, milliseconds time)
{
    loop.run_until([] { return false; }, time);
}

int run_case(const std::string& program, const std::string& folder,
             const std::string& record, bool trouble)
{
    event_loop loop;
    deployment all(loop, program, folder, record);
    all.note(trouble ? "TROUBLE=1" : "TROUBLE=0");
    all.add_server("s1", "d1");
    all.add_server("t1", "d2");
    deployment::node& holder = all.add_node("n1", "d1");
    deployment::node& third = all.add_node("n3", "d1");
    // The others connect to it, since its name is the largest one.
    deployment::node& other = all.add_node("n9", "d2");
    if (!all.await_ready(start_limit))
    {
        all.note("the instances did not become ready");
        return exit_not_run;
    }
    wait(loop, settle_time);

    const std::string job = "00000000000000aa";
    const auto submitted =
        all.submit_steps(holder, job, step_count, step_time, caller_limit);
    wait(loop, milliseconds(100));
    if (trouble)
    {
        all.note("cut n9 off from n1 and n3; all reach the store, the servers "
                 "and the callers");
        other.peer_relay->hold_open_connections();
        other.peer_relay->hold_new_connections();
        // Those that n9 would open; n1 and n3 stay connected.
        holder.peer_relay->hold_new_connections();
        third.peer_relay->hold_new_connections();
    }
    const instant cut_at = event_loop::now();
    wait(loop, milliseconds(100));
    const auto cancelled = all.cancel(other, job, cancel_limit);
    loop.run_until([&] { return cancelled->ended; }, cancel_limit);
    if (cancelled->status != 200 && cancelled->status != 410)
    {
        all.note("the cancel was not acknowledged");
        return exit_not_run;
    }
    wait(loop, cancel_bound);
    const std::uint64_t by_bound = all.runs().starts_of(job);
    all.note("3 s after the acknowledgement; starts so far: " +
             std::to_string(by_bound));
    const auto cut_left = std::chrono::duration_cast<milliseconds>(
        cut_at + cut_time - event_loop::now());
    wait(loop, cut_left);
    if (trouble)
    {
        all.note("end of the cut");
        holder.peer_relay->release();
        third.peer_relay->release();
        other.peer_relay->release();
    }
    loop.run_until([&] { return submitted->ended; }, caller_limit);
    wait(loop, milliseconds(1500));
    const std::uint64_t late = all.runs().starts_of(job) - by_bound;
    if (late > 0)
    {
        all.note("BROKEN UNASKED: tasks of the job started more than 3 s after "
                 "its cancel was acknowledged: " +
                 std::to_string(late));
    }
    all.note(late > 0 ? "result: broken" : "result: held");
    return late > 0 ? exit_broken : exit_held;
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 4)
    {
        std::cerr << "usage: unheard_cancel PROGRAM FOLDER RECORD\n";
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
        std::cerr << "unheard_cancel: " << error.what() << "\n";
        return exit_not_run;
    }
}
