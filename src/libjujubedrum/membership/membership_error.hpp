#pragma once

#include "base/reason.hpp"

namespace jujubedrum
{

/// Errors of the membership layer.
enum class membership_error
{
    none,
    /// The list page is not JSON or lacks a required field.
    malformed_page,
    /// The list page is larger than an installation can be.
    page_too_large,
    /// A heartbeat's digest is truncated or has a value out of range.
    malformed_digest
};

using membership_reason = basic_reason<membership_error>;

} // namespace jujubedrum
