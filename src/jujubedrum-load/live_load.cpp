#include "live_load.hpp"

#include "entry_session.hpp"

#include <thread>

namespace jujubedrum
{

live_load::live_load(const run_options& settings,
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

void live_load::run()
{
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < this->options.senders; ++i)
    {
        const std::size_t entry = i % this->queues.size();
        threads.emplace_back([this, entry, i] { this->send(entry, i); });
    }
    this->start = clock::now();
    for (std::size_t i = 0; i < this->schedule.jobs().size(); ++i)
    {
        const arriving_job& job = this->schedule.jobs()[i];
        std::this_thread::sleep_until(this->start + job.at);
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

void live_load::send(std::size_t entry, std::size_t number)
{
    const auto now = clock::now().time_since_epoch().count();
    entry_session session(this->options, this->options.entries[entry],
                          "load." + std::to_string(now) + "." +
                              std::to_string(number));
    while (const auto job = this->queues[entry]->pop(std::chrono::minutes(5)))
    {
        this->record(*job, session.submit(this->schedule.jobs()[*job]));
    }
}

void live_load::record(std::size_t job, const std::string& outcome)
{
    const arriving_job& arrival = this->schedule.jobs()[job];
    const std::chrono::duration<double, std::micro> response =
        clock::now() - this->start - arrival.at;
    const double ratio =
        response.count() / (static_cast<double>(arrival.ideal().count()) *
                            this->options.work_scale);
    const std::lock_guard lock(this->mutex);
    ++this->counts[outcome];
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

latency_summary live_load::all() const
{
    return latency_summary(this->ratios);
}

latency_summary live_load::repeatable() const
{
    return latency_summary(this->repeatable_ratios);
}

} // namespace jujubedrum
