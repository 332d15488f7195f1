#pragma once

#include "base/reason.hpp"

namespace jujubedrum
{

/// Errors about a submission, an id or a claim.
enum class job_error
{
    none,
    malformed,         ///< not JSON, wrong type, unknown key or bad id (400)
    limit,             ///< a value outside the limits (422)
    too_large,         ///< body, payload or number of tasks too large (413)
    too_old,           ///< id older than the claim window: failed, may have run
    in_future,         ///< id too far in the future: not run
    capacity_exceeded, ///< a bounded table or queue is full: not run, retry
};

/// Explains a refused submission, id or claim.
using job_reason = basic_reason<job_error>;

} // namespace jujubedrum
