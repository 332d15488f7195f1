#pragma once

#include "base/reason.hpp"

namespace jujubedrum
{

/// Errors in a submission, an id or a claim, with the resulting HTTP status or
/// outcome.
enum class job_error
{
    none,
    malformed,         ///< not JSON, wrong type, unknown key, invalid id (400)
    limit,             ///< a value is outside its limits (422)
    too_large,         ///< body, payload or number of tasks is too large (413)
    too_old,           ///< older than the claim window: failed, may have run
    in_future,         ///< created too far in the future: not run
    capacity_exceeded, ///< a bounded queue is full: not run, may be retried
};

/// Error code, place and text of a refused submission, id or claim.
using job_reason = basic_reason<job_error>;

} // namespace jujubedrum
