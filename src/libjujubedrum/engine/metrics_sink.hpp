#pragma once

#include <cstdint>
#include <string_view>

namespace jujubedrum
{

/// Causes of overhead messages, which a dispatcher with perfect information
/// would not send.
enum class message_cause
{
    /// Heartbeats, list reads and log reads.
    control,
    /// A job, or a request about one, forwarded to another instance.
    forward,
    /// Slots borrowed or returned.
    grant,
    /// A claim appended to or read from the log.
    claim,
    /// A task sent a second time: a retry or a hedge.
    duplicate,
    /// A refusal by a backend server or by an entry instance.
    refusal,
    /// A request to stop a task.
    stop,
};

/// Returns the label of a cause in metrics and dumps.
[[nodiscard]] std::string_view to_string(message_cause cause);

/// Receives the engine's measurements. Called on the engine's thread.
class metrics_sink
{
public:
    virtual ~metrics_sink() = default;

    /// Counts task starts.
    virtual void on_task_started() = 0;
    /// Counts one message for a cause.
    virtual void on_message(message_cause cause, std::uint64_t count) = 0;
    /// Records the outcome of a job and its response time divided by the ideal
    /// one, or 0 if the ideal is unknown.
    virtual void on_job_finished(std::string_view outcome,
                                 double response_over_ideal) = 0;
};

} // namespace jujubedrum
