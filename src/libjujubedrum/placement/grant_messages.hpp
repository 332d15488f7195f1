#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace jujubedrum
{

/// Number of slots of one server.
struct slot_count
{
    std::string server;
    unsigned count = 0;
    /// Run time on the server relative to that on the lender's fastest server;
    /// 0 if unknown. Set in grants only; the borrower takes it as its initial
    /// estimate.
    double slowness = 0.0;

    bool operator==(const slot_count&) const = default;
};

/// Slots lent for one request.
struct slot_grant
{
    /// Sequence of the request that it answers.
    std::uint64_t sequence = 0;
    std::vector<slot_count> slots;

    bool operator==(const slot_grant&) const = default;
};

/// Grants that a borrower holds from one lender. A report carries the whole
/// state, so a lost or repeated one does no harm. Sent when slots are
/// returned, with every heartbeat, and within requests and replies.
struct grant_report
{
    std::string borrower;
    /// Requests to any peer up to this sequence that are neither in `held` nor
    /// in `open` will never be used.
    std::uint64_t through = 0;
    /// Grants from this lender, with the slots not yet returned.
    std::vector<slot_grant> held;
    /// Sequences of unanswered requests to this lender.
    std::vector<std::uint64_t> open;
    /// Free slots that the borrower could itself lend.
    unsigned free = 0;

    bool operator==(const grant_report&) const = default;
};

/// Request to borrow slots of another instance.
struct borrow_request
{
    /// Grants already held from the lender; names the borrower.
    grant_report report;
    /// Increases with every request of a borrower, whichever peer it goes to.
    /// Borrower and sequence together identify the grant.
    std::uint64_t sequence = 0;
    /// Slots needed for the tasks that are waiting.
    unsigned needed = 0;
    /// Total slots requested, at least `needed`.
    unsigned wanted = 0;

    bool operator==(const borrow_request&) const = default;
};

/// Reply of a lender to a `borrow_request`.
struct borrow_reply
{
    /// Slots lent; empty if the request is refused.
    slot_grant grant;
    /// Grants that the lender in turn holds from the borrower; names the
    /// lender. It returns idle slots of the borrower without a further message.
    grant_report report;
    /// Sequences of grants that the borrower reported and the lender has no
    /// record of.
    std::vector<std::uint64_t> revoked;

    bool operator==(const borrow_reply&) const = default;
};

} // namespace jujubedrum
