#pragma once

#include "base/reason.hpp"

namespace jujubedrum
{

/// Errors of the parsers of list pages and digests.
enum class membership_error
{
    none,
    /// The list page is not JSON or lacks a required field.
    malformed_page,
    /// The list page exceeds `max_page_bytes` or `max_listed_instances`.
    page_too_large,
    /// The digest of a heartbeat is truncated, has a value out of range or an
    /// unknown format version.
    malformed_digest
};

using membership_reason = basic_reason<membership_error>;

} // namespace jujubedrum
