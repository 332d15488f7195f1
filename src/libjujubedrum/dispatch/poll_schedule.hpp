#pragma once

#include "base/time.hpp"

#include <cstdint>

namespace jujubedrum
{

/// Determines how often the holder of a backend server polls it, and when a
/// server that does not answer counts as timed out. A poll waits at the server
/// for the next run to end. While replies get lost the wait is shorter, since a
/// lost reply hides the runs that ended for as long as the poll waited.
class poll_schedule
{
public:
    /// \param now when the first poll is sent.
    explicit poll_schedule(instant now);

    /// A poll was answered.
    void on_answer(instant now);
    /// A poll was not answered in time.
    void on_unanswered(instant now);
    /// The answer to another request, such as a start, was lost.
    void on_request_unanswered(instant now);

    /// Returns how long the next poll waits for a run to end.
    /// \param busy whether runs may be on the server.
    [[nodiscard]] milliseconds wait(bool busy, instant now) const;
    /// Returns the wait before the poll that follows an unanswered one.
    [[nodiscard]] milliseconds backoff() const;
    /// Returns whether no poll is unanswered since the last answer.
    [[nodiscard]] bool answering() const { return this->unanswered == 0; }
    /// Returns whether the server counts as timed out.
    [[nodiscard]] bool timed_out(instant now) const;

private:
    instant last_answer;
    instant lossy_until{0};
    std::uint32_t unanswered = 0; ///< polls since the last answer
};

} // namespace jujubedrum
