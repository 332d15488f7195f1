#pragma once

#include "engine/metrics_sink.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <sstream>
#include <string>
#include <string_view>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

namespace jujubedrum
{

/// Metrics of the process, exported in the Prometheus text format. Thread-safe.
class metrics_registry : public metrics_sink
{
public:
    metrics_registry();

    void on_task_started() override;
    void on_message(message_cause cause, std::uint64_t count) override;
    void on_job_finished(std::string_view outcome,
                         double response_over_ideal) override;

    /// Sets a gauge without labels.
    void set_gauge(const std::string& name, double value);
    /// Sets the value of a gauge for one set of labels, such as
    /// `state="alive"`.
    void set_gauge(const std::string& name, const std::string& labels,
                   double value);
    /// Sets a counter that is counted elsewhere to its current value.
    void set_counter(const std::string& name, const std::string& labels,
                     std::uint64_t value);
    /// Sets a function that `text()` calls first, to update gauges and
    /// counters.
    void set_collector(std::function<void(metrics_registry&)> function);
    /// Returns all metrics in the Prometheus text format.
    [[nodiscard]] std::string text();

private:
    void write_outcomes(std::ostream& out) const;

    static constexpr std::size_t cause_count = 7;

    using ratio_accumulator = boost::accumulators::accumulator_set<
        double,
        boost::accumulators::stats<
            boost::accumulators::tag::count, boost::accumulators::tag::sum,
            boost::accumulators::tag::extended_p_square_quantile>>;

    std::mutex collector_mutex;
    std::function<void(metrics_registry&)> collector;
    mutable std::mutex mutex;
    std::uint64_t task_starts = 0;
    std::array<std::uint64_t, cause_count> messages{};
    std::map<std::string, std::uint64_t, std::less<>> jobs;
    /// By name, then by labels: the text format requires that all values of a
    /// name stand together.
    std::map<std::string, std::map<std::string, double>> gauges;
    std::map<std::string, std::map<std::string, std::uint64_t>> counters;
    ratio_accumulator ratio;
};

} // namespace jujubedrum
