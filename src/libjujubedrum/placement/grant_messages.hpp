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
    /// Run time on the server relative to that on the lender's fastest one, so
    /// that a borrower need not learn it anew; 0 if unknown. Only in grants.
    double slowness = 0.0;

    bool operator==(const slot_count&) const = default;
};

/// Slots lent for one request.
struct slot_grant
{
    /// Sequence of the request it answers.
    std::uint64_t sequence = 0;
    std::vector<slot_count> slots;

    bool operator==(const slot_grant&) const = default;
};

/// What a borrower holds of one lender. It carries the whole state, so a lost
/// or repeated report does no harm. Sent to give slots back, with every
/// heartbeat, and inside requests and replies.
struct grant_report
{
    std::string borrower;
    /// Every request to any peer up to this sequence is either among `held`
    /// or `open`, or will never be used.
    std::uint64_t through = 0;
    /// Grants of this lender with the slots that remain in use.
    std::vector<slot_grant> held;
    /// Sequences of requests to this lender that still wait for the reply.
    std::vector<std::uint64_t> open;
    /// Free slots of the borrower.
    unsigned free = 0;

    bool operator==(const grant_report&) const = default;
};

/// Request of one instance to use slots of another.
struct borrow_request
{
    /// What the borrower holds of the lender so far; names the borrower.
    grant_report report;
    /// Increases with every request of a borrower, whichever peer it goes to.
    /// Borrower and sequence together identify the grant.
    std::uint64_t sequence = 0;
    /// Slots needed for tasks that wait now.
    unsigned needed = 0;
    /// Slots wanted in all, at least `needed`.
    unsigned wanted = 0;

    bool operator==(const borrow_request&) const = default;
};

/// Answer of a lender.
struct borrow_reply
{
    /// Slots lent; empty if none could be spared.
    slot_grant grant;
    /// What the lender in turn holds of the borrower; names the lender. It
    /// returns idle slots of the borrower without a further message.
    grant_report report;
    /// Grants that the borrower reported and the lender does not know.
    std::vector<std::uint64_t> revoked;

    bool operator==(const borrow_reply&) const = default;
};

} // namespace jujubedrum
