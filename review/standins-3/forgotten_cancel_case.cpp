#include "deployment.hpp"
#include "desk.hpp"

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <optional>

// The instance that acknowledged a cancel is killed and starts again. The
// caller of the job, whose attempts are answered 504, sends it again 1.3 s
// after each of them.
//
// One front instance in each of three zones. The job is handed in at front-b,
// the cancel at front-a.

namespace
{

using namespace jujubedrum;

constexpr const char* job_id = "5c0e7a21d94b36f8";
constexpr milliseconds cancel_bound{3000}; ///< `cancel_ms`
constexpr milliseconds contact_time{3000}; ///< `contactMs`
constexpr milliseconds resend_delay{1300}; ///< `resendMs`
constexpr milliseconds kill_delay{200};    ///< after the acknowledgement
constexpr int job_limit_ms = 1500;         ///< of the small sites
constexpr int objective_ms = 60;
constexpr int job_steps = 3;
constexpr int task_ms = 300;
/// Where the caller's attempts arrive.
constexpr std::size_t attempts[] = {1, 2, 1, 0};

class forgotten_cancel
{
public:
    forgotten_cancel(const std::string& program,
                     const std::filesystem::path& folder, std::ostream& record,
                     bool with_kill)
        : trouble(with_kill)
        , cluster(this->loop, program, folder, record,
                  [this](const worker_event& event) { this->on_event(event); })
    {
    }

    int run()
    {
        this->cluster.publish(desk_configuration(job_limit_ms, objective_ms));
        for (int i = 0; i < 6; ++i)
        {
            this->cluster.add_worker({"i-7f3a91c" + std::to_string(i),
                                      "zone-" + std::string(1, "abc"[i % 3]),
                                      desk_service,
                                      16000,
                                      32768,
                                      {"a", "r1-1"},
                                      true});
        }
        for (const char zone : {'a', 'b', 'c'})
        {
            this->cluster.add_instance("front-" + std::string(1, zone),
                                       "zone-" + std::string(1, zone));
        }
        this->cluster.start();
        if (!this->cluster.await_ready(milliseconds(15000)))
        {
            this->cluster.note("the instances did not become ready");
            return 2;
        }
        this->wait(milliseconds(1500));
        this->attempt(0);
        this->loop.run_until([this] { return this->starts > 0; },
                             milliseconds(1000));
        this->cancel();
        this->loop.run_until([this] { return this->cancelled.has_value(); },
                             milliseconds(1000));
        if (!this->cancelled)
        {
            this->cluster.note("the cancel was not acknowledged");
            return 2;
        }
        if (this->trouble)
        {
            this->wait(kill_delay);
            this->cluster.note("front-a is killed");
            this->cluster.instances[0]->process->signal(SIGKILL);
        }
        this->loop.run_until([this] { return this->finished; },
                             milliseconds(20000));
        this->wait(milliseconds(1500));
        this->cluster.note("starts later than " +
                           std::to_string(cancel_bound.count()) +
                           " ms after the answer to the DELETE: " +
                           std::to_string(this->late_starts));
        this->cluster.note(this->late_starts > 0 ? "UNASKED is broken"
                                                 : "the rule held");
        return this->late_starts > 0 ? 1 : 0;
    }

private:
    void wait(milliseconds time)
    {
        this->loop.run_until([] { return false; }, time);
    }

    void on_event(const worker_event& event)
    {
        if (event.kind != "start")
        {
            this->cluster.note(event.kind + " " + event.task + " at " +
                               event.worker + " " + event.detail);
            return;
        }
        ++this->starts;
        const instant now = event_loop::now();
        const bool late =
            this->cancelled && now - *this->cancelled > cancel_bound;
        // Only front-a holds servers of its zone, so it started the task.
        const bool in_touch =
            now - this->cluster.instances[0]->started > contact_time;
        this->late_starts += late && in_touch ? 1 : 0;
        this->cluster.note(
            "start " + event.task + " at " + event.worker +
            (late ? "  LATER THAN cancel_ms AFTER THE ANSWER" : "") +
            (late && !in_touch ? ", but front-a is not in touch" : ""));
    }

    void cancel()
    {
        http_call call;
        call.method = "DELETE";
        call.target = std::string(desk_prefix) + job_id;
        call.host = desk_host;
        call.timeout = milliseconds(3000);
        this->cluster.note(std::string("DELETE ") + job_id + " at front-a");
        this->cluster.caller(*this->cluster.instances[0])
            ->call(std::move(call),
                   [this](const http_reply& reply)
                   {
                       this->cluster.note("answer to the DELETE: " +
                                          std::to_string(reply.status));
                       if (reply.status / 100 == 2 || reply.status == 410)
                       {
                           this->cancelled = event_loop::now();
                       }
                   });
    }

    void attempt(std::size_t number)
    {
        if (number == std::size(attempts))
        {
            this->finished = true;
            return;
        }
        const auto& target = *this->cluster.instances[attempts[number]];
        http_call call;
        call.method = "POST";
        call.target = std::string(desk_prefix) + job_id;
        call.host = desk_host;
        call.headers = {
            {"X-Jujubedrum-Deadline-Ms", std::to_string(job_limit_ms)}};
        call.body = chain_job(job_steps, task_ms, "");
        call.timeout = milliseconds(job_limit_ms);
        this->cluster.note(std::string("POST ") + job_id + " at " +
                           target.name + ", attempt " +
                           std::to_string(number + 1));
        this->cluster.caller(target)->call(
            std::move(call),
            [this, number](const http_reply& reply)
            {
                this->cluster.note(
                    "answer to the POST: " + std::to_string(reply.status) +
                    " " + reply.body + reply.error);
                const bool again = reply.status == 0 || reply.status == 502 ||
                                   reply.status == 504;
                if (!again)
                {
                    this->finished = true;
                    return;
                }
                this->loop.after(resend_delay,
                                 [this, number] { this->attempt(number + 1); });
            });
    }

    event_loop loop;
    bool trouble;
    deployment cluster;
    std::optional<instant> cancelled;
    std::size_t starts = 0;
    std::size_t late_starts = 0;
    bool finished = false;
};

} // namespace

int main(int argc, char** argv)
{
    if (argc != 4)
    {
        std::cerr
            << "usage: review3_forgotten_cancel_case NODE FOLDER RECORD\n";
        return 2;
    }
    std::signal(SIGPIPE, SIG_IGN);
    const char* trouble = std::getenv("TROUBLE");
    try
    {
        std::ofstream record(argv[3]);
        return forgotten_cancel(argv[1], argv[2], record,
                                trouble == nullptr ||
                                    std::string(trouble) != "0")
            .run();
    }
    catch (const std::exception& error)
    {
        std::cerr << error.what() << "\n";
        return 2;
    }
}
