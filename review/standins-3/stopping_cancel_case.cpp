#include "deployment.hpp"
#include "desk.hpp"

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <map>
#include <optional>

// Callers cancel their jobs at an instance that is being stopped.
//
// Two front instances in one zone. front-a gets SIGTERM. The jobs are handed in
// at front-b, which holds the servers by then; their cancels arrive at front-a
// over channels that are open since before the SIGTERM, one each 15 ms, around
// the time at which front-a ends.

namespace
{

using namespace jujubedrum;

constexpr milliseconds cancel_bound{3000}; ///< `cancel_ms`
constexpr int job_limit_ms = 9000;
constexpr int objective_ms = 2000;
constexpr int job_steps = 16;
constexpr int task_ms = 400;
constexpr int jobs = 24;
constexpr int workers = 12;
/// After the SIGTERM; `graceS` is 6 s.
constexpr milliseconds jobs_begin{4000};
constexpr milliseconds cancels_begin{5350};
constexpr milliseconds cancel_interval{15};
constexpr milliseconds observation_time{5000};

struct job
{
    std::string id;
    std::optional<instant> cancelled; ///< when that was acknowledged
    std::size_t late_starts = 0;
};

class stopping_cancel
{
public:
    stopping_cancel(const std::string& program,
                    const std::filesystem::path& folder, std::ostream& record,
                    bool with_stop)
        : trouble(with_stop)
        , cluster(this->loop, program, folder, record,
                  [this](const worker_event& event) { this->on_event(event); })
    {
    }

    int run()
    {
        this->cluster.publish(desk_configuration(job_limit_ms, objective_ms));
        for (int i = 0; i < workers; ++i)
        {
            this->cluster.add_worker({"i-7f3a91" + std::to_string(10 + i),
                                      "zone-a",
                                      desk_service,
                                      16000,
                                      32768,
                                      {"a", "r1-1"},
                                      true});
        }
        this->cluster.add_instance("front-a", "zone-a");
        this->cluster.add_instance("front-b", "zone-a");
        this->cluster.start();
        if (!this->cluster.await_ready(milliseconds(15000)))
        {
            this->cluster.note("the instances did not become ready");
            return 2;
        }
        this->wait(milliseconds(1500));
        this->open_channels();
        const instant stop = event_loop::now();
        if (this->trouble)
        {
            this->cluster.note("SIGTERM to front-a");
            this->cluster.instances[0]->process->signal(SIGTERM);
        }
        this->wait_until(stop + jobs_begin);
        for (int i = 0; i < jobs; ++i)
        {
            this->submit(i);
        }
        this->wait_until(stop + cancels_begin);
        for (int i = 0; i < jobs; ++i)
        {
            this->cancel(i);
            this->wait(cancel_interval);
        }
        this->wait(observation_time);
        return this->verdict();
    }

private:
    void wait(milliseconds time)
    {
        this->loop.run_until([] { return false; }, time);
    }

    void wait_until(instant time)
    {
        this->loop.run_until([time] { return event_loop::now() >= time; },
                             milliseconds(10000));
    }

    void open_channels()
    {
        for (int i = 0; i < jobs; ++i)
        {
            char id[17];
            std::snprintf(id, sizeof(id), "5c0e7a21d94b%04x", i);
            this->all.push_back({id, std::nullopt, 0});
            this->channels.push_back(
                this->cluster.caller(*this->cluster.instances[0]));
            http_call call;
            call.target = desk_prefix;
            call.host = desk_host;
            this->channels.back()->call(std::move(call),
                                        [](const http_reply&) {});
        }
        this->wait(milliseconds(500));
    }

    void submit(int number)
    {
        http_call call;
        call.method = "POST";
        call.target = desk_prefix + this->all[number].id;
        call.host = desk_host;
        call.headers = {
            {"X-Jujubedrum-Deadline-Ms", std::to_string(job_limit_ms)}};
        call.body = chain_job(job_steps, task_ms, "");
        call.timeout = milliseconds(job_limit_ms);
        this->cluster.note("POST " + this->all[number].id + " at front-b");
        this->submitters.push_back(
            this->cluster.caller(*this->cluster.instances[1]));
        this->submitters.back()->call(std::move(call),
                                      [this, number](const http_reply& reply)
                                      {
                                          this->cluster.note(
                                              "answer to the POST of " +
                                              this->all[number].id + ": " +
                                              std::to_string(reply.status) +
                                              " " + reply.body + reply.error);
                                      });
    }

    void cancel(int number)
    {
        http_call call;
        call.method = "DELETE";
        call.target = desk_prefix + this->all[number].id;
        call.host = desk_host;
        this->cluster.note("DELETE " + this->all[number].id + " at front-a");
        this->channels[number]->call(
            std::move(call),
            [this, number](const http_reply& reply)
            {
                this->cluster.note(
                    "answer to the DELETE of " + this->all[number].id + ": " +
                    std::to_string(reply.status) + " " + reply.error);
                if (reply.status / 100 == 2 || reply.status == 410)
                {
                    this->all[number].cancelled = event_loop::now();
                }
            });
    }

    void on_event(const worker_event& event)
    {
        bool late = false;
        for (job& each : this->all)
        {
            if (event.kind == "start" && event.task.starts_with(each.id))
            {
                ++this->starts;
                late = each.cancelled &&
                       event_loop::now() - *each.cancelled > cancel_bound;
                each.late_starts += late ? 1 : 0;
            }
        }
        this->cluster.note(
            event.kind + " " + event.task + " at " + event.worker + " " +
            (event.kind == "start" ? "" : event.detail) +
            (late ? "LATER THAN cancel_ms AFTER THE ANSWER" : ""));
    }

    int verdict()
    {
        int acknowledged = 0;
        int broken = 0;
        for (const job& each : this->all)
        {
            acknowledged += each.cancelled ? 1 : 0;
            broken += each.late_starts > 0 ? 1 : 0;
        }
        this->cluster.note(
            "cancels acknowledged: " + std::to_string(acknowledged) + " of " +
            std::to_string(jobs) + "; jobs with starts later than " +
            std::to_string(cancel_bound.count()) +
            " ms after that: " + std::to_string(broken));
        if (broken > 0)
        {
            this->cluster.note("UNASKED is broken");
            return 1;
        }
        if (this->starts < jobs || acknowledged == 0)
        {
            this->cluster.note("too few jobs ran or were cancelled");
            return 2;
        }
        this->cluster.note("the rule held");
        return 0;
    }

    event_loop loop;
    bool trouble;
    std::vector<job> all;
    std::vector<std::shared_ptr<http_client>> channels;
    std::vector<std::shared_ptr<http_client>> submitters;
    deployment cluster;
    int starts = 0;
};

} // namespace

int main(int argc, char** argv)
{
    if (argc != 4)
    {
        std::cerr << "usage: review3_stopping_cancel_case NODE FOLDER RECORD\n";
        return 2;
    }
    std::signal(SIGPIPE, SIG_IGN);
    const char* trouble = std::getenv("TROUBLE");
    try
    {
        std::ofstream record(argv[3]);
        return stopping_cancel(argv[1], argv[2], record,
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
