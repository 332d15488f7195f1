#include "metrics_snapshot.hpp"

#include <cstdlib>
#include <sstream>

#include <httplib.h>

namespace jujubedrum
{

namespace
{

const std::string starts_name = "jujubedrum_task_starts_total";
const std::string messages_name = "jujubedrum_wasted_messages_total{cause=\"";

} // namespace

metrics_snapshot metrics_snapshot::scrape(const run_options& options)
{
    metrics_snapshot snapshot;
    for (const run_options::entry& entry : options.entries)
    {
        httplib::Client client(entry.address, entry.port);
        const auto reply = client.Get("/metrics");
        if (reply && reply->status == 200)
        {
            snapshot.add(reply->body);
        }
    }
    return snapshot;
}

double metrics_snapshot::starts_since(const metrics_snapshot& earlier) const
{
    const auto now = this->values.find(starts_name);
    const auto previous = earlier.values.find(starts_name);
    return (now == this->values.end() ? 0.0 : now->second) -
           (previous == earlier.values.end() ? 0.0 : previous->second);
}

std::map<std::string, double>
metrics_snapshot::wasted_messages_since(const metrics_snapshot& earlier) const
{
    std::map<std::string, double> result;
    for (const auto& [name, value] : this->values)
    {
        if (!name.starts_with(messages_name))
        {
            continue;
        }
        const std::size_t end = name.find('"', messages_name.size());
        const auto previous = earlier.values.find(name);
        result[name.substr(messages_name.size(), end - messages_name.size())] =
            value - (previous == earlier.values.end() ? 0.0 : previous->second);
    }
    return result;
}

void metrics_snapshot::add(const std::string& text)
{
    std::istringstream lines(text);
    std::string line;
    while (std::getline(lines, line))
    {
        const std::size_t space = line.rfind(' ');
        if (!line.starts_with("#") && space != std::string::npos)
        {
            this->values[line.substr(0, space)] +=
                std::strtod(line.c_str() + space, nullptr);
        }
    }
}

} // namespace jujubedrum
