#pragma once

#include <array>
#include <cstddef>
#include <map>
#include <string>

namespace jujubedrum
{

/// Remembers, for each kind of task, the last results on two servers. A task
/// that fails wherever it runs says nothing about a server; without the
/// distinction, one bad job ejects sound servers.
class kind_result_history
{
public:
    /// Kinds are named by callers, so their number is bounded.
    static constexpr std::size_t max_kinds = 1024;

    /// Notes a result. Returns whether a failure is to be charged to the task:
    /// the last result of its kind on another server was a failure as well.
    bool note(const std::string& kind, const std::string& server, bool failed);

private:
    struct result
    {
        std::string server;
        bool failed = false;
    };

    /// The latest result first; the servers differ.
    std::map<std::string, std::array<result, 2>> kinds;
};

} // namespace jujubedrum
