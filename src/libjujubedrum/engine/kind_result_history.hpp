#pragma once

#include <array>
#include <cstddef>
#include <map>
#include <string>

namespace jujubedrum
{

/// Stores, for each kind of task, the latest results on two servers. A task
/// that fails on every server is no evidence against a server; without the
/// distinction, one job with failing tasks ejects healthy servers.
class kind_result_history
{
public:
    /// Kinds are named by callers, so their number is bounded. All results are
    /// dropped when a new kind would exceed the bound.
    static constexpr std::size_t max_kinds = 1024;

    /// Records a result. Returns whether it is a failure that is attributed to
    /// the task: the latest result of its kind on another server was a failure
    /// as well.
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
