// GCC 12 reports an uninitialised member inside the quantile accumulator of
// Boost.Accumulators, which assigns it before use.
#if defined(__GNUC__) && !defined(__clang__)
#pragma GCC diagnostic ignored "-Wmaybe-uninitialized"
#endif

#include "metrics_registry.hpp"

#include <sstream>
#include <utility>

namespace jujubedrum
{

namespace
{

namespace acc = boost::accumulators;

constexpr std::array<double, 4> quantiles{0.5, 0.9, 0.99, 0.999};

template <typename Values>
void write_family(std::ostream& out, const std::string& name, const char* type,
                  const Values& values)
{
    out << "# TYPE jujubedrum_" << name << " " << type << "\n";
    for (const auto& [labels, value] : values)
    {
        out << "jujubedrum_" << name;
        if (!labels.empty())
        {
            out << "{" << labels << "}";
        }
        out << " " << value << "\n";
    }
}

} // namespace

metrics_registry::metrics_registry()
    : ratio(acc::extended_p_square_probabilities = quantiles)
{
}

void metrics_registry::on_task_started()
{
    const std::lock_guard lock(this->mutex);
    ++this->task_starts;
}

void metrics_registry::on_message(message_cause cause, std::uint64_t count)
{
    const std::lock_guard lock(this->mutex);
    this->messages.at(static_cast<std::size_t>(cause)) += count;
}

void metrics_registry::on_job_finished(std::string_view outcome,
                                       double response_over_ideal)
{
    const std::lock_guard lock(this->mutex);
    ++this->jobs[std::string(outcome)];
    if (response_over_ideal > 0)
    {
        this->ratio(response_over_ideal);
    }
}

void metrics_registry::set_gauge(const std::string& name, double value)
{
    this->set_gauge(name, "", value);
}

void metrics_registry::set_gauge(const std::string& name,
                                 const std::string& labels, double value)
{
    const std::lock_guard lock(this->mutex);
    this->gauges[name][labels] = value;
}

void metrics_registry::set_counter(const std::string& name,
                                   const std::string& labels,
                                   std::uint64_t value)
{
    const std::lock_guard lock(this->mutex);
    this->counters[name][labels] = value;
}

void metrics_registry::set_collector(
    std::function<void(metrics_registry&)> function)
{
    const std::lock_guard lock(this->collector_mutex);
    this->collector = std::move(function);
}

std::string metrics_registry::text()
{
    {
        const std::lock_guard lock(this->collector_mutex);
        if (this->collector)
        {
            this->collector(*this);
        }
    }
    const std::lock_guard lock(this->mutex);
    std::ostringstream out;
    // Twelve digits, so that revisions and counts are not rounded.
    out.precision(12);
    out << "# TYPE jujubedrum_task_starts_total counter\n"
        << "jujubedrum_task_starts_total " << this->task_starts << "\n"
        << "# TYPE jujubedrum_wasted_messages_total counter\n";
    for (std::size_t i = 0; i < cause_count; ++i)
    {
        out << "jujubedrum_wasted_messages_total{cause=\""
            << to_string(static_cast<message_cause>(i)) << "\"} "
            << this->messages.at(i) << "\n";
    }
    this->write_outcomes(out);
    for (const auto& [name, values] : this->gauges)
    {
        write_family(out, name, "gauge", values);
    }
    for (const auto& [name, values] : this->counters)
    {
        write_family(out, name, "counter", values);
    }
    return out.str();
}

void metrics_registry::write_outcomes(std::ostream& out) const
{
    out << "# TYPE jujubedrum_jobs_total counter\n";
    for (const auto& [outcome, count] : this->jobs)
    {
        out << "jujubedrum_jobs_total{outcome=\"" << outcome << "\"} " << count
            << "\n";
    }
    out << "# TYPE jujubedrum_response_over_ideal summary\n";
    // The estimator returns zeros until each of its markers has a sample.
    if (acc::count(this->ratio) >= 2 * quantiles.size() + 3)
    {
        for (const double q : quantiles)
        {
            out << "jujubedrum_response_over_ideal{quantile=\"" << q << "\"} "
                << acc::quantile(this->ratio, acc::quantile_probability = q)
                << "\n";
        }
    }
    out << "jujubedrum_response_over_ideal_sum " << acc::sum(this->ratio)
        << "\njujubedrum_response_over_ideal_count " << acc::count(this->ratio)
        << "\n";
}

} // namespace jujubedrum
