#pragma once

#include "base/time.hpp"
#include "engine/events.hpp"
#include "engine/outbox.hpp"
#include "engine/quota_controller.hpp"
#include "membership/member_table.hpp"
#include "placement/grant_book.hpp"
#include "placement/server_stats.hpp"
#include "placement/slot_pool.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace jujubedrum
{

/// Applies membership to placement and quotas: which slots this instance owns,
/// which peers may lend slots, and how the quotas are divided.
class member_controller
{
public:
    /// The referenced objects must outlive the controller.
    member_controller(instance_info self, std::uint64_t incarnation,
                      const member_options& options, slot_pool& pool,
                      server_stats& stats, grant_book& grants,
                      quota_controller& quotas);

    /// Applies a page of the platform's instance list.
    void on_list(const list_event& page, instant now);
    /// Returns the members.
    [[nodiscard]] member_table& table() { return this->members; }
    /// Returns the members.
    [[nodiscard]] const member_table& table() const { return this->members; }
    /// Rebuilds slots, peers and quotas if the members changed. Returns
    /// whether they did.
    bool refresh(instant now);

    /// Returns the address of a peer, or nothing if it is unknown, dead or
    /// unreachable.
    [[nodiscard]] std::optional<peer_address>
    find_reachable(const std::string& name) const;
    /// Returns the entry instance that is preferred for a key, by rendezvous
    /// hashing over the live instances of all regions.
    [[nodiscard]] std::string preferred_instance(std::string_view key) const;
    /// Returns the number of live entry instances, this one included.
    [[nodiscard]] std::size_t live_entry_count() const;

private:
    void rebuild_slots();
    void rebuild_peers();
    void rebuild_quotas(instant now);

    member_table members;
    slot_pool& pool;
    server_stats& stats;
    grant_book& grants;
    quota_controller& quotas;
    std::optional<std::uint64_t> applied_change;
    /// Incarnation of each peer at the last rebuild.
    std::map<std::string, std::uint64_t> incarnations;
};

} // namespace jujubedrum
