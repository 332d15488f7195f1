#pragma once

#include "base/time.hpp"

#include <cstddef>
#include <cstdint>

namespace jujubedrum
{

/// Limits on what the connections of one listener may hold. They apply in
/// addition to the limits of the configuration (`request_limits`).
struct caller_limits
{
    /// Memory for buffers, parsed requests, open jobs and unread answers; 0:
    /// not limited.
    std::size_t memory_bytes = 0;
    /// Maximum number of connections; 0: not limited.
    std::size_t connections = 0;
    /// Maximum size of the chunk extensions of a request, and of its trailers;
    /// 0: the header limit of the configuration.
    std::size_t chunk_extra_bytes = 0;
    /// Maximum number of header fields and trailers; 0: a quarter of the header
    /// limit, since the shortest field takes 4 bytes.
    std::size_t fields = 0;
    /// Time without progress in writing an answer.
    milliseconds answer_timeout{15000};

    /// Returns limits with the defaults for a machine.
    /// \param memory_mb memory of the machine; 0: not limited.
    /// \param max_fds descriptors of the process; 0: not limited.
    [[nodiscard]] static caller_limits for_machine(std::uint32_t memory_mb,
                                                   std::uint32_t max_fds);
    /// Returns the share of the port for callers.
    [[nodiscard]] caller_limits for_callers() const;
    /// Returns the share of the port for operators, which also answers
    /// readiness checks.
    [[nodiscard]] caller_limits for_operators() const;

    bool operator==(const caller_limits&) const = default;
};

} // namespace jujubedrum
