#pragma once

#include "base/time.hpp"
#include "placement/entry_instance.hpp"
#include "placement/grant_messages.hpp"
#include "placement/placement_policy.hpp"
#include "placement/server_stats.hpp"
#include "placement/slot_pool.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jujubedrum
{

/// Order in which a lender selects free slots to lend.
enum class lend_order
{
    /// Servers with the largest share of free slots first.
    most_idle,
    fastest,
    slowest,
};

/// Parameters of a `grant_book`.
struct grant_options
{
    /// Borrowed slots that stayed idle for this time are returned.
    microseconds idle_grace_period = seconds(4);
    /// Time after which an unanswered request is closed.
    microseconds reply_timeout = seconds(1);
    /// Time after a refusal or an unanswered request before the next request
    /// to the same peer; doubles with each one in a row, up to
    /// `max_refusal_backoff`.
    microseconds refusal_backoff = milliseconds(100);
    microseconds max_refusal_backoff = milliseconds(1600);
    /// Age after which a reported number of free slots is ignored.
    microseconds max_free_slots_age = seconds(2);
    /// Share of its owned slots that a lender keeps free for its own tasks.
    double reserve = 0.3;
    /// Slots requested in addition to those needed, as a share of the owned
    /// slots.
    double headroom = 0.1;
    lend_order order = lend_order::most_idle;
};

/// A borrow request and the peer to send it to.
struct planned_request
{
    std::string lender;
    borrow_request request;

    bool operator==(const planned_request&) const = default;
};

/// A report and the peer to send it to.
struct planned_report
{
    std::string lender;
    grant_report report;

    bool operator==(const planned_report&) const = default;
};

/// Account of the slots lent to and borrowed from peers. The lender removes a
/// slot from its pool before it sends the reply, and the borrower removes it
/// before it reports the slot as returned, so no slot is in two pools at once.
class grant_book
{
public:
    /// `pool` and `stats` must outlive the book.
    grant_book(std::string self, slot_pool& pool, server_stats& stats,
               grant_options options = {});

    /// Replaces the peers that slots may be borrowed from: the live entry
    /// instances of the region. A peer no longer listed is treated as dead.
    void set_peers(const std::vector<entry_instance>& peers,
                   std::string_view own_domain);
    /// Records the number of free slots that a peer reported.
    void on_peer_free_slots(std::string_view peer, unsigned free, instant now);

    /// Opens a request for slots and returns it for sending. Returns nothing if
    /// no task waits, another request is still open, or every peer is within
    /// its backoff.
    /// \param waiting number of tasks waiting for a slot.
    std::optional<planned_request> plan_request(std::size_t waiting,
                                                instant now);
    /// Adds the granted slots to the pool. Returns false and adds none if the
    /// request is no longer open (late reply); the next report returns them to
    /// the lender.
    bool on_reply(const borrow_reply& reply, instant now);
    /// Closes a request that was not answered, and starts the peer's backoff.
    void on_no_reply(std::uint64_t sequence, instant now);
    /// Closes a request that timed out, returns slots that stayed idle for
    /// `idle_grace_period`, and returns the reports to send to their lenders.
    /// Call it at least every 100 ms.
    std::vector<planned_report> tick(instant now);
    /// Returns the current report for a lender, sent with each heartbeat.
    [[nodiscard]] grant_report report_for(std::string_view lender) const;
    /// Removes held grants that the lender has no record of.
    void on_revoked(std::string_view lender,
                    const std::vector<std::uint64_t>& sequences);

    /// Answers a request of a peer. A repeated request gets what is left of the
    /// same grant, never a second one.
    borrow_reply lend(const borrow_request& request, instant now);
    /// Reclaims lent slots that the borrower no longer holds. Returns the
    /// sequences of reported grants that this instance has no record of; the
    /// borrower has to remove them.
    std::vector<std::uint64_t> on_report(const grant_report& report,
                                         instant now);

    /// Reclaims grants with slots that this instance no longer owns. Call it
    /// after the slots of the pool were replaced.
    void on_slots_changed();
    /// Reclaims all slots lent to a peer and removes those borrowed from it.
    void on_peer_dead(std::string_view peer);

    /// Returns the number of grants to borrowers.
    [[nodiscard]] std::size_t lent_grants() const;
    /// Returns the number of grants from lenders.
    [[nodiscard]] std::size_t held_grants() const;

private:
    struct peer_record
    {
        bool same_domain = false;
        /// Last reported free slots. Without a recent report the peer is
        /// assumed to have as many as needed.
        std::optional<unsigned> free;
        instant free_reported_at{};
        instant backoff_until{};
        unsigned consecutive_refusals = 0;
        /// Largest sequence of the requests received from the peer.
        std::uint64_t last_sequence = 0;
    };

    struct open_request
    {
        std::string lender;
        std::uint64_t sequence = 0;
        instant sent_at{};
    };

    using grant_map = std::map<std::uint64_t, std::map<std::string, unsigned>>;

    [[nodiscard]] const std::string* best_lender(unsigned needed,
                                                 instant now) const;
    [[nodiscard]] unsigned lendable_slots() const;
    [[nodiscard]] std::vector<slot_count> lend_slots(unsigned count,
                                                     instant now);
    /// Returns the slowness of the fastest server that has an estimate; 1 if
    /// none has.
    [[nodiscard]] double min_slowness() const;
    void add_slowness(std::vector<slot_count>& slots) const;
    [[nodiscard]] std::vector<slot_count>
    to_slot_counts(const std::map<std::string, unsigned>& grant) const;
    void reclaim(std::map<std::string, unsigned>& grant,
                 const slot_grant* kept);
    void drop_grant(const std::map<std::string, unsigned>& grant);
    unsigned return_slots(grant_map& grants, bool idle_since_reset);
    void record_refusal(peer_record& peer, instant now);

    std::string self;
    slot_pool& pool;
    server_stats& stats;
    grant_options options;
    std::map<std::string, peer_record, std::less<>> peers;
    std::map<std::string, grant_map, std::less<>> lent;
    std::map<std::string, grant_map, std::less<>> held;
    std::optional<open_request> open;
    std::uint64_t next_sequence = 1;
    instant min_free_since{};
};

} // namespace jujubedrum
