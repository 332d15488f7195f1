#include "dispatch_fixture.hpp"

namespace jujubedrum
{

void dispatch_fixture::start(const std::string& server, const run_id& run,
                             const std::string&)
{
    this->starts.emplace_back(server, run);
}

void dispatch_fixture::stop(const std::string& server, const run_id& run)
{
    this->stops.emplace_back(server, run);
}

void dispatch_fixture::poll(const std::string& server)
{
    this->polls.push_back(server);
}

void dispatch_fixture::job_ended(const job_origin& origin,
                                 const job_result& result,
                                 const job_report& report)
{
    this->ended.push_back({origin, result, report});
}

void dispatch_fixture::add_server(const std::string& id, std::uint32_t cpu,
                                  std::vector<std::string> labels)
{
    server_info info;
    info.id = id;
    info.service = "service";
    info.domain = "d1";
    info.capacity = {cpu, 32768, 0};
    info.labels = std::move(labels);
    this->dispatcher.set_server(info);
    this->dispatcher.set_reachable(id, true, this->now);
}

job_request dispatch_fixture::make_job(const std::string& id,
                                       std::uint32_t tasks,
                                       milliseconds estimate, std::uint32_t cpu)
{
    job_request job;
    job.id = id;
    job.payload = "payload";
    job_step step;
    step.count = tasks;
    step.demand = {cpu, 64, 0};
    step.estimate = estimate;
    job.steps.push_back(step);
    return job;
}

job_terms dispatch_fixture::make_terms()
{
    job_terms terms;
    terms.service = "service";
    terms.max_attempts = 3;
    terms.stretch = 1.6;
    terms.target = milliseconds(60);
    terms.time_left = milliseconds(1500);
    return terms;
}

void dispatch_fixture::submit(const job_request& job, std::uint64_t ticket)
{
    this->dispatcher.submit(job, make_terms(), {0, ticket}, this->now);
}

std::optional<job_result>
dispatch_fixture::result_of(std::uint64_t ticket) const
{
    for (const ended_job& each : this->ended)
    {
        if (each.origin.ticket == ticket)
        {
            return each.result;
        }
    }
    return std::nullopt;
}

void dispatch_fixture::accept_all()
{
    for (const auto& [server, run] : this->starts)
    {
        this->dispatcher.on_start_result(server, run, start_outcome::accepted,
                                         this->now);
    }
}

void dispatch_fixture::end_run(const std::string& server, const run_id& run,
                               run_outcome outcome)
{
    poll_reply reply;
    reply.outcome = poll_outcome::answered;
    reply.ended.push_back({this->next_end++, run, outcome});
    // Polled before the outcome of any start or stop was known, so that only
    // the ended run counts.
    this->dispatcher.on_poll_reply(server, reply, instant(0), this->now);
}

void dispatch_fixture::report_running(const std::string& server,
                                      std::vector<active_run> running)
{
    poll_reply reply;
    reply.outcome = poll_outcome::answered;
    reply.running = std::move(running);
    this->dispatcher.on_poll_reply(server, reply, this->now, this->now);
}

void dispatch_fixture::advance(milliseconds by)
{
    this->now += by;
    this->dispatcher.pump(this->now);
}

} // namespace jujubedrum
