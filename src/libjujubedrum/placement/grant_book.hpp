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

/// Which free slots a lender gives away first.
enum class lend_order
{
    /// Those of the servers it uses least.
    most_idle,
    fastest,
    slowest,
};

/// Parameters of a `grant_book`.
struct grant_options
{
    /// Time after which borrowed slots that stayed idle are returned.
    microseconds idle_grace_period = seconds(4);
    /// Time to wait for the reply to a request.
    microseconds reply_timeout = seconds(1);
    /// Time after a refusal before the same peer is asked again; doubles with
    /// each refusal in a row, up to `max_refusal_backoff`.
    microseconds refusal_backoff = milliseconds(100);
    microseconds max_refusal_backoff = milliseconds(1600);
    /// Age after which a reported number of free slots says nothing.
    microseconds max_free_slots_age = seconds(2);
    /// Share of its owned slots that a lender keeps free for itself.
    double reserve = 0.3;
    /// Slots asked for in addition to those needed, as a share of the
    /// owned slots.
    double headroom = 0.1;
    lend_order order = lend_order::most_idle;
};

/// A request and the peer it goes to.
struct planned_request
{
    std::string lender;
    borrow_request request;

    bool operator==(const planned_request&) const = default;
};

/// A report and the peer it goes to.
struct planned_report
{
    std::string lender;
    grant_report report;

    bool operator==(const planned_report&) const = default;
};

/// Slots lent to and borrowed from peers. A slot that is lent leaves the pool
/// of the lender before the reply is sent, and leaves the pool of the borrower
/// before it is reported as returned, so no slot is in two pools at once.
class grant_book
{
public:
    /// The pool and stats outlive the book.
    grant_book(std::string self, slot_pool& pool, server_stats& stats,
               grant_options options = {});

    /// Replaces the peers that may be asked: live entry instances of the
    /// region. A peer that disappeared is treated as dead.
    void set_peers(const std::vector<entry_instance>& peers,
                   std::string_view own_domain);
    /// Records how many free slots a peer reported.
    void on_peer_free_slots(std::string_view peer, unsigned free, instant now);

    /// Returns the request to send for tasks that have no free slot, or
    /// nothing if none helps now. Only one request waits at a time.
    /// \param waiting number of tasks waiting for a slot.
    std::optional<planned_request> plan_request(std::size_t waiting,
                                                instant now);
    /// Adds the granted slots to the pool. Returns false if the request is not
    /// open (late reply); the next report returns such slots.
    bool on_reply(const borrow_reply& reply, instant now);
    /// Closes a request whose reply did not arrive.
    void on_no_reply(std::uint64_t sequence, instant now);
    /// Closes overdue requests and returns reports for slots that stayed idle
    /// for the linger time; call at least every 100 ms.
    std::vector<planned_report> tick(instant now);
    /// Returns the report for a lender, to be sent with each heartbeat.
    [[nodiscard]] grant_report report_for(std::string_view lender) const;
    /// Drops grants that the lender does not know.
    void on_revoked(std::string_view lender,
                    const std::vector<std::uint64_t>& sequences);

    /// Answers a request of a peer. The same request again gets the grant that
    /// remains, never a second one.
    borrow_reply lend(const borrow_request& request, instant now);
    /// Takes back what a borrower no longer holds. Returns the sequences the
    /// borrower reported that this instance does not know; the borrower has
    /// to drop them.
    std::vector<std::uint64_t> on_report(const grant_report& report,
                                         instant now);

    /// Recalls grants of slots that this instance no longer owns. Call it after
    /// the slots of the pool were replaced.
    void on_slots_changed();
    /// Takes back all slots lent to a peer and drops those borrowed from it.
    void on_peer_dead(std::string_view peer);

    /// Returns the number of grants lent.
    [[nodiscard]] std::size_t lent_grants() const;
    /// Returns the number of grants held.
    [[nodiscard]] std::size_t held_grants() const;

private:
    struct peer_record
    {
        bool same_domain = false;
        /// Last known free slots; unknown is treated as plenty.
        std::optional<unsigned> free;
        instant free_reported_at{};
        instant backoff_until{};
        unsigned consecutive_refusals = 0;
        /// Largest request sequence seen from the peer as a borrower.
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
    /// Returns the slowness of the fastest server known well; 1 if none is.
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
