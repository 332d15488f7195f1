#pragma once

#include "run_options.hpp"

#include <map>
#include <string>

namespace jujubedrum
{

/// Values of /metrics by series, summed over the entry instances.
class metrics_snapshot
{
public:
    /// Reads the metrics of all entry instances; those that do not reply with
    /// status 200 are left out of the sums.
    static metrics_snapshot scrape(const run_options& options);

    /// Returns the number of task starts since an earlier snapshot.
    [[nodiscard]] double starts_since(const metrics_snapshot& earlier) const;
    /// Returns the number of wasted messages by cause since an earlier
    /// snapshot.
    [[nodiscard]] std::map<std::string, double>
    wasted_messages_since(const metrics_snapshot& earlier) const;

private:
    /// Adds the values of a reply in the text format of Prometheus.
    void add(const std::string& text);

    std::map<std::string, double> values;
};

} // namespace jujubedrum
