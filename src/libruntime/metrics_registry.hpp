#pragma once

#include "engine/metrics_sink.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
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

/// Metrics of a process, readable in the Prometheus text format. Thread-safe.
class metrics_registry : public metrics_sink
{
public:
    metrics_registry();

    void on_task_started() override;
    void on_message(message_cause cause, std::uint64_t count) override;
    void on_job_finished(std::string_view outcome,
                         double response_over_ideal) override;

    /// Sets a gauge, for values that other parts own.
    void set_gauge(const std::string& name, double value);
    /// Returns all metrics as text.
    [[nodiscard]] std::string text() const;

private:
    static constexpr std::size_t cause_count = 7;

    using ratio_accumulator = boost::accumulators::accumulator_set<
        double,
        boost::accumulators::stats<
            boost::accumulators::tag::count, boost::accumulators::tag::sum,
            boost::accumulators::tag::extended_p_square_quantile>>;

    mutable std::mutex mutex;
    std::uint64_t task_starts = 0;
    std::array<std::uint64_t, cause_count> messages{};
    std::map<std::string, std::uint64_t, std::less<>> jobs;
    std::map<std::string, double> gauges;
    ratio_accumulator ratio;
};

} // namespace jujubedrum
