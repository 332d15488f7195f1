#include "dispatch/overload_counts.hpp"

#include <algorithm>
#include <cctype>
#include <utility>
#include <vector>

namespace jujubedrum
{

namespace
{

/// Keys that one report names; a line stays below 1 KB.
constexpr std::size_t max_reported = 8;

/// Returns the text without characters that would end a field or a label.
std::string plain(std::string text)
{
    constexpr std::size_t max_length = 60;
    text.resize(std::min(text.size(), max_length));
    std::replace_if(
        text.begin(), text.end(),
        [](unsigned char c)
        { return std::iscntrl(c) != 0 || c > 126 || c == '"' || c == '\\'; },
        '_');
    return text;
}

} // namespace

void overload_counts::add(const key& counted, std::uint64_t free_cpu)
{
    key used{counted.outcome, plain(counted.route), counted.priority,
             plain(counted.reason)};
    if (this->entries.size() >= max_keys && this->entries.count(used) == 0)
    {
        used = {counted.outcome, "other", 0, "other"};
    }
    entry& found = this->entries[used];
    ++found.count;
    found.free_cpu += free_cpu;
}

std::string overload_counts::report()
{
    std::map<std::string, std::uint64_t> sums;
    std::vector<std::pair<std::uint64_t, std::string>> details;
    for (auto& [counted, entry] : this->entries)
    {
        const std::uint64_t added = entry.count - entry.reported;
        if (added == 0)
        {
            continue;
        }
        const std::uint64_t free =
            (entry.free_cpu - entry.reported_free_cpu) / added;
        entry.reported = entry.count;
        entry.reported_free_cpu = entry.free_cpu;
        sums[counted.outcome] += added;
        std::string text = counted.outcome;
        text += counted.route.empty() ? "" : " " + counted.route;
        text += " priority " + std::to_string(counted.priority);
        text += counted.reason.empty() ? "" : " (" + counted.reason + ")";
        text +=
            " " + std::to_string(added) + ", free cpu " + std::to_string(free);
        details.emplace_back(added, std::move(text));
    }
    std::sort(details.rbegin(), details.rend());
    std::string result;
    for (const auto& [outcome, count] : sums)
    {
        result +=
            (result.empty() ? "" : " ") + outcome + "=" + std::to_string(count);
    }
    if (details.empty())
    {
        return result;
    }
    result += " detail=\"";
    for (std::size_t at = 0; at < std::min(details.size(), max_reported); ++at)
    {
        result += (at == 0 ? "" : "; ") + details[at].second;
    }
    return result + "\"";
}

std::string overload_counts::labels(const key& counted)
{
    std::string result = "outcome=\"" + counted.outcome + "\"";
    result += counted.route.empty() ? "" : ",route=\"" + counted.route + "\"";
    result += ",priority=\"" + std::to_string(counted.priority) + "\"";
    return result + ",reason=\"" + counted.reason + "\"";
}

} // namespace jujubedrum
