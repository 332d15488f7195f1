#pragma once

#include "base/time.hpp"

#include <cstdint>

namespace jujubedrum
{

/// Decides how often the holder of a backend server looks at it, and when one
/// that does not answer counts as silent. A look waits at the server for the
/// next end; while answers get lost, looks are shorter, since each lost one
/// hides the ends of tasks for as long as it would have waited.
class poll_schedule
{
public:
    /// \param now when the first look is sent.
    explicit poll_schedule(instant now);

    /// A look was answered.
    void on_answer(instant now);
    /// A look was not answered in time.
    void on_unanswered(instant now);
    /// The answer to another order was lost.
    void on_request_unanswered(instant now);

    /// Returns how long the next look waits for an end.
    /// \param busy whether tasks may run on the server.
    [[nodiscard]] milliseconds wait(bool busy, instant now) const;
    /// Returns the pause before the look that follows an unanswered one.
    [[nodiscard]] milliseconds backoff() const;
    /// Returns whether the server counts as silent.
    [[nodiscard]] bool timed_out(instant now) const;

private:
    instant last_answer;
    instant lossy_until{0};
    std::uint32_t unanswered = 0; ///< looks since the last answer
};

} // namespace jujubedrum
