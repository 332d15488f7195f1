#pragma once

#include "base/time.hpp"
#include "membership/instance_info.hpp"
#include "membership/instance_page.hpp"
#include "membership/member_options.hpp"
#include "membership/peer_digest.hpp"
#include "membership/peer_record.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace jujubedrum
{

/// State of a peer as this instance sees it.
struct peer_view
{
    instance_info info;
    peer_state state = peer_state::alive;
    /// 0 before the first contact.
    std::uint64_t incarnation = 0;
    /// Whether slots are assigned to the peer.
    bool owns_slots = false;
    peer_phase phase = peer_phase::starting;
    /// As of its last digest, as are the phase and the queued tasks.
    std::uint32_t free_slots = 0;
    std::uint32_t queued_tasks = 0;
    /// Highest configuration revision reported for the peer; 0 if none.
    std::uint64_t revision = 0;

    bool operator==(const peer_view&) const = default;
};

/// Highest known configuration revision and a peer that has it.
struct revision_source
{
    std::uint64_t revision = 0;
    std::string name;

    bool operator==(const revision_source&) const = default;
};

/// Failure detector and membership list of the entry instances: determines
/// from the platform's list and from heartbeats which instances are live and
/// which own slots. Reads no clock: the caller passes the time. Not
/// thread-safe.
class member_table
{
public:
    /// \param self description of this instance, from its settings.
    /// \param incarnation random value of this process start, not 0.
    member_table(instance_info self, std::uint64_t incarnation,
                 member_options options = {});

    /// Applies a page of the platform's list. Ignores a partial page with a
    /// version below the known one, and any page requested before the last one
    /// that was applied.
    /// \param requested_at when the request for the page was sent: the page is
    /// no evidence of anything after that.
    void on_list(const instance_page& page, instant requested_at);

    /// Applies the digest of a heartbeat that a peer sent to this instance.
    /// An incarnation other than the known one is accepted only when it answers
    /// a heartbeat, because a delayed request may come from a dead process.
    void on_digest(const peer_digest& digest, instant now);

    /// Applies the digest with which a peer answered a heartbeat.
    /// \param sent_at when the heartbeat was sent.
    void on_reply(const peer_digest& digest, instant sent_at, instant now);

    /// Counts a failed heartbeat, or another failed call, to the peer.
    void on_heartbeat_failed(const std::string& name, instant now);

    /// Updates all states and returns the peers to send a heartbeat to; none
    /// between rounds. May be called at any rate.
    [[nodiscard]] std::vector<instance_info> tick(instant now);

    /// Returns the digest of this instance with its observations of others.
    /// Increments the heartbeat counter.
    [[nodiscard]] peer_digest make_digest(peer_phase phase,
                                          std::uint64_t revision,
                                          std::uint32_t free_slots,
                                          std::uint32_t queued_tasks);

    /// Returns whether the process is proved to have ended: another incarnation
    /// answered under its name afterwards, or its name was removed from a list
    /// page requested at least `list_grace_period` after the last contact. For
    /// an incarnation without contact so far, only evidence later than the
    /// first such query counts.
    [[nodiscard]] bool is_dead(const std::string& name,
                               std::uint64_t incarnation, instant now);

    /// Returns the peer, or nothing if the name is unknown.
    [[nodiscard]] std::optional<peer_view> find(const std::string& name) const;

    /// Returns all known peers that are not dead, ordered by name.
    [[nodiscard]] std::vector<peer_view> peers() const;

    /// Returns the entry instances, this one included, among which the slots of
    /// the domain's backend servers are divided, ordered by name. For an
    /// orphaned domain these are the entry instances of the region.
    [[nodiscard]] std::vector<instance_info>
    slot_owners(const std::string& domain) const;

    /// Returns the listed backend servers, live and leaving, ordered by name.
    [[nodiscard]] std::vector<instance_info> backends() const;

    /// Returns the other failure domains of this region that have backend
    /// servers but have had no live entry instance for `takeover_delay`.
    [[nodiscard]] std::vector<std::string> orphaned_domains() const;

    /// Returns the highest configuration revision among the peers that are
    /// neither dead nor unreachable, or nothing before the first contact.
    [[nodiscard]] std::optional<revision_source> highest_revision() const;

    /// Returns a counter that increases when a state, an owner of slots, a
    /// listed instance or the set of orphaned domains changes.
    [[nodiscard]] std::uint64_t change_count() const;

    /// Returns the number of entry instances on the list, this one included,
    /// reachable or not. Quotas are divided by it.
    [[nodiscard]] std::size_t listed_entries() const;

    /// Returns the total weight of the entry instances on the list, this one
    /// included.
    [[nodiscard]] std::uint64_t listed_weight() const;

    /// Returns the version of the last applied page, to be passed as `since` in
    /// the next request.
    [[nodiscard]] std::uint64_t list_version() const;

    /// Returns the description of this instance.
    [[nodiscard]] const instance_info& self() const;

private:
    /// First call of `is_dead` for an incarnation without contact so far.
    struct death_query
    {
        std::string name;
        std::uint64_t incarnation = 0;
        instant at{0};
    };

    /// Starts no more tasks on backend servers with a malformed entry: it names
    /// no server to use, but does not prove that the server has ended.
    void stop_use_of_malformed(const instance_page& page);
    void apply_change(const instance_info& info, instant requested_at);
    void apply_entry(const instance_info& info, instant requested_at);
    void mark_missing_removed(const instance_page& page, instant requested_at);
    void limit_tombstones();
    peer_record* find_sender(const peer_digest& digest);
    void record_contact(peer_record& peer, const peer_digest& digest,
                        instant now);
    void apply_observation(const peer_observation& observation, instant now);
    void update_state(peer_record& peer, instant now);
    void update_all_states(instant now);
    void update_orphaned_domains(instant now);
    void exclude_own_suspension(instant now);
    [[nodiscard]] std::vector<instance_info> regular_targets(instant now);
    void add_probe_targets(std::vector<instance_info>& targets, instant now);
    [[nodiscard]] bool needs_probe(const peer_record& peer) const;
    [[nodiscard]] std::uint64_t heartbeat_weight(const peer_record&) const;
    [[nodiscard]] microseconds
    regular_heartbeat_interval(const peer_record& peer) const;
    [[nodiscard]] bool removal_proves_death(const peer_record&,
                                            instant since) const;
    instant first_query_time(const std::string& name, std::uint64_t incarnation,
                             instant now);
    [[nodiscard]] std::vector<instance_info>
    owners_where(const std::string& domain, const std::string& region) const;

    instance_info own_info;
    std::uint64_t incarnation = 0;
    member_options options;
    std::map<std::string, peer_record> records;
    std::map<std::string, instance_info> servers;
    /// By domain: since when it has been without a live entry instance.
    std::map<std::string, instant> unserved_since;
    std::set<std::string> orphaned;
    std::vector<death_query> death_queries;
    bool has_list = false;
    std::uint64_t version = 0;
    instant list_requested_at{0};
    std::optional<instant> last_tick;
    std::optional<instant> last_round;
    std::uint64_t total_heartbeat_weight = 0;
    double last_position = 0;
    std::uint64_t heartbeat = 0;
    std::uint64_t change_counter = 0;
    std::string observation_cursor;
};

} // namespace jujubedrum
