#pragma once

#include "run_options.hpp"

#include <map>
#include <string>

namespace jujubedrum
{

/// Counters read from /metrics, summed over entry instances.
class metrics_snapshot
{
public:
    /// Returns the sums; instances that do not answer are left out.
    static metrics_snapshot scrape(const run_options& options);

    /// Returns the task starts since an earlier reading.
    [[nodiscard]] double starts_since(const metrics_snapshot& earlier) const;
    /// Returns the wasted messages by cause since an earlier reading.
    [[nodiscard]] std::map<std::string, double>
    wasted_messages_since(const metrics_snapshot& earlier) const;

private:
    void add(const std::string& text);

    std::map<std::string, double> values;
};

} // namespace jujubedrum
