// Case 6: the submission of a job is held up on its way to a holder for 0.65 s,
// while the accepting instance has reconnected and given the job to another
// holder.

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
/// Heartbeats of all links have settled by then.
constexpr milliseconds settle_time{3000};
/// The bytes are delivered by the third transmission of TCP: the first one is
/// at 0, the next ones at 200 and 600 ms.
constexpr milliseconds hold_time{650};
constexpr milliseconds fill_delay{50};
constexpr milliseconds fill_time{550};
constexpr milliseconds caller_limit{1500};

int run_case(const std::string& program, const std::string& folder,
             const std::string& record, bool trouble)
{
    event_loop loop;
    deployment all(loop, program, folder, record);
    all.note(trouble ? "TROUBLE=1" : "TROUBLE=0");
    all.add_server("s1", "d1");
    all.add_server("s2", "d2");
    // The accepting instance connects to the others, since its name is the
    // smallest one; it has no servers in its own domain.
    deployment::node& accepting = all.add_node("a0", "d0");
    deployment::node& holder = all.add_node("h1", "d1");
    if (!all.await_ready(start_limit))
    {
        all.note("the first two instances did not become ready");
        return exit_not_run;
    }
    all.add_node("h2", "d2");
    if (!all.await_ready(start_limit))
    {
        all.note("the third instance did not become ready");
        return exit_not_run;
    }
    loop.run_until([] { return false; }, settle_time);

    if (trouble)
    {
        all.note("hold the open connections between a0 and h1");
        holder.peer_relay->hold_open_connections();
    }
    const auto job =
        all.submit(accepting, "00000000000000aa", 1, milliseconds(400),
                   milliseconds(600), caller_limit);
    loop.run_until([] { return false; }, fill_delay);
    const auto filler = all.submit(holder, "00000000000000bb", 2, fill_time,
                                   fill_time, caller_limit);
    loop.run_until([] { return false; }, hold_time - fill_delay);
    if (trouble)
    {
        all.note("deliver " + std::to_string(holder.peer_relay->held_bytes()) +
                 " held bytes; connections opened since: " +
                 std::to_string(holder.peer_relay->fresh_connections()));
        holder.peer_relay->release();
    }
    loop.run_until([&] { return job->ended && filler->ended; },
                   caller_limit + milliseconds(2000));
    loop.run_until([] { return false; }, milliseconds(1500));
    for (const std::string& violation : all.runs().violations())
    {
        all.note("BROKEN TWICE: " + violation);
    }
    const bool broken = !all.runs().violations().empty();
    if (!broken && (!job->ended || job->status != 200 || !filler->ended))
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
        std::cerr << "usage: held_submission PROGRAM FOLDER RECORD\n";
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
        std::cerr << "held_submission: " << error.what() << "\n";
        return exit_not_run;
    }
}
