#include "load_runner.hpp"

#include "entry_session.hpp"

#include <thread>

namespace jujubedrum
{

load_runner::load_runner(const run_options& settings,
                         const arrival_schedule& arrivals)
    : options(settings)
    , schedule(arrivals)
{
    for (std::size_t i = 0; i < settings.entries.size(); ++i)
    {
        this->queues.push_back(std::make_unique<bounded_ring<std::size_t>>(
            arrivals.jobs().size()));
    }
}

void load_runner::run()
{
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < this->options.senders; ++i)
    {
        const std::size_t entry = i % this->queues.size();
        threads.emplace_back([this, entry, i] { this->run_sender(entry, i); });
    }
    this->start = clock::now();
    for (std::size_t i = 0; i < this->schedule.jobs().size(); ++i)
    {
        const arriving_job& job = this->schedule.jobs()[i];
        std::this_thread::sleep_until(this->start + job.arrival_time);
        this->queues[job.instance]->push(i);
    }
    for (auto& queue : this->queues)
    {
        queue->close();
    }
    for (std::thread& thread : threads)
    {
        thread.join();
    }
    this->duration = clock::now() - this->start;
}

void load_runner::run_sender(std::size_t entry, std::size_t sender)
{
    const auto now = clock::now().time_since_epoch().count();
    entry_session session(this->options, this->options.entries[entry],
                          "load." + std::to_string(now) + "." +
                              std::to_string(sender));
    while (const auto job = this->queues[entry]->pop(std::chrono::minutes(5)))
    {
        this->record(*job, session.submit(this->schedule.jobs()[*job]));
    }
}

void load_runner::record(std::size_t job, const std::string& outcome)
{
    const arriving_job& arrival = this->schedule.jobs()[job];
    const std::chrono::duration<double, std::micro> response =
        clock::now() - this->start - arrival.arrival_time;
    const double ratio =
        response.count() /
        (static_cast<double>(arrival.ideal_response_time().count()) *
         this->options.work_scale);
    const std::lock_guard lock(this->mutex);
    ++this->outcome_counts[outcome];
    if (outcome != "complete" || !this->schedule.measured(job))
    {
        return;
    }
    this->ratios.push_back(ratio);
    if (arrival.repeatable)
    {
        this->repeatable_ratios.push_back(ratio);
    }
}

latency_summary load_runner::all() const
{
    return latency_summary(this->ratios);
}

latency_summary load_runner::repeatable() const
{
    return latency_summary(this->repeatable_ratios);
}

} // namespace jujubedrum
