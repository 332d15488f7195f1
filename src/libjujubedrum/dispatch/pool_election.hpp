#pragma once

#include "base/time.hpp"
#include "dispatch/evacuation.hpp"
#include "dispatch/server_info.hpp"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace jujubedrum
{

/// A share of the backend servers of a failure domain.
struct pool_id
{
    std::string domain;
    std::uint32_t shard = 0;

    auto operator<=>(const pool_id&) const = default;
};

/// Pools of a failure domain. There are more than holders, so that an
/// additional holder takes whole pools.
constexpr std::uint32_t pools_per_domain = 4;

/// Backend servers that one instance holds before the next one takes a share:
/// about 400 starts a second at 10 a server, which use a tenth of a core.
/// Instances with a narrow network link hold fewer.
constexpr std::size_t max_servers_per_holder = 40;

/// Instances of a failure domain that watch the list of backend servers: all
/// that may hold pools, and two that may succeed them.
constexpr std::size_t server_watchers = pools_per_domain + 2;

/// Returns the pool of a server.
[[nodiscard]] pool_id pool_of(const server_info& server);

/// Returns the hash by which heartbeats list a server.
[[nodiscard]] std::uint64_t hash_of(const std::string& server);

struct pool_hold
{
    pool_id pool;
    std::uint64_t token = 0; ///< fencing token
    /// No run that an earlier holder started remains on its servers.
    bool clean = false;
    /// Hashes of the ids of the servers on which the holder may start tasks, by
    /// `hash_of`, in ascending order. Nothing if the holder is of a version
    /// that does not list them.
    std::optional<std::vector<std::uint64_t>> servers = std::nullopt;

    bool operator==(const pool_hold&) const = default;
};

/// An instance, as it describes itself in its heartbeats.
struct instance_view
{
    std::string name;
    std::uint64_t boot = 0; ///< identifies one start of the instance
    std::string domain;
    std::uint32_t cpu = 0; ///< thousandths of a core
    bool draining = false;
    std::vector<pool_hold> holds;
    /// Servers on which it may have runs and that other instances may not know,
    /// since they have no entry or a new one.
    std::vector<std::string> unlisted_servers = {};
    std::uint32_t link_kbps = 0; ///< rate of its network link; 0: not limited
    /// Number of its last session with a server; the lists in `holds` cover the
    /// sessions up to it. 0 if it is of a version that does not count them.
    std::uint64_t server_number = 0;
    /// Newest operator records that it knows, by failure domain.
    std::vector<evacuation> evacuations = {};
    /// It has read or been told the operator's records since its start. False
    /// in messages of earlier versions.
    bool evacuations_known = false;

    bool operator==(const instance_view&) const = default;
};

/// An instance, as its announcement describes it.
struct announced_instance
{
    std::string name;
    std::string domain;          ///< empty if not announced
    std::uint32_t cpu = 0;       ///< thousandths of a core
    bool linked = false;         ///< a link to it is open
    std::uint32_t link_kbps = 0; ///< rate of its network link; 0: not limited

    bool operator==(const announced_instance&) const = default;
};

/// What an instance knows of the others during its start.
struct startup_state
{
    milliseconds age{0};         ///< since its start
    bool members_read = false;   ///< the announcements have been read
    bool has_run_before = false; ///< one of them is of its own earlier start
    std::size_t unlinked_candidates = 0; ///< first candidates without a link

    bool operator==(const startup_state&) const = default;
};

/// Returns how many backend servers an instance can hold before its network
/// link limits the starts on them.
/// \param link_kbps rate of the link in kbit/s; 0 if it is not limited.
[[nodiscard]] std::size_t server_capacity(std::uint32_t link_kbps);

/// Decides which pools an instance takes or gives up, from the heartbeats of
/// the others. Instances that decide differently do no harm: the servers obey
/// the holder with the highest fencing token.
class pool_election
{
public:
    /// Returns whether a starting instance knows enough of the others to take
    /// pools. After a restart of all instances the earlier ones are announced,
    /// so it waits no longer than until the first candidates are linked.
    [[nodiscard]] static bool may_take_pools(const startup_state& start);

    /// Returns how many of the first candidates for the pools of the failure
    /// domain have no link. Later candidates are not waited for, since slow
    /// machines may start late.
    [[nodiscard]] static std::size_t
    unlinked_candidates(const std::string& domain,
                        const std::vector<announced_instance>& announced);

    /// Returns the pools that `self` should take now: those without a live
    /// holder for which it is the first candidate.
    /// \param live instances with a recent heartbeat, without `self`.
    /// \param servers number of backend servers by failure domain.
    [[nodiscard]] static std::vector<pool_id>
    pools_to_take(const instance_view& self,
                  const std::vector<instance_view>& live,
                  const std::map<std::string, std::size_t>& servers);

    /// Returns the pools that `self` should leave to another instance of the
    /// failure domain: it holds more servers than it can, and the other one
    /// precedes it as the holder and holds at least two pools fewer, so that no
    /// pool moves back. Servers that register one after the other make the
    /// first holder take all pools. Otherwise pools stay together, since they
    /// share capacity at one holder.
    [[nodiscard]] static std::vector<pool_id>
    pools_to_hand_over(const instance_view& self,
                       const std::vector<instance_view>& live,
                       const std::map<std::string, std::size_t>& servers);

    /// Returns whether `self` holds pools or may hold some soon, and so has to
    /// watch the list of servers.
    [[nodiscard]] static bool
    watches_servers(const instance_view& self,
                    const std::vector<instance_view>& live);

    [[nodiscard]] static bool holds(const instance_view& instance,
                                    const pool_id& pool);

    /// Returns whether another instance holds the pool and keeps it. A holder
    /// of another failure domain yields to an instance of the pool's own.
    [[nodiscard]] static bool
    held_by_other(const instance_view& self,
                  const std::vector<instance_view>& live, const pool_id& pool);

    /// Returns the pools of `self` that another instance holds with a higher
    /// token, or with the same one and a smaller name.
    [[nodiscard]] static std::vector<pool_id>
    pools_to_give_up(const instance_view& self,
                     const std::vector<instance_view>& live);

    /// Returns whether an instance has not restarted since `before` and still
    /// has all pools that it held, under the same tokens.
    [[nodiscard]] static bool same_holder(const instance_view& before,
                                          const instance_view& now);

    /// Returns whether an instance has not restarted since `before`, and each
    /// pool that it held is still its own under the same token or was taken
    /// over, as in `all_clean`. It then knows all runs that it started and that
    /// may remain.
    [[nodiscard]] static bool
    knows_its_runs(const instance_view& before, const instance_view& now,
                   const std::vector<instance_view>& instances);

    /// Returns whether every pool of `lost` has a holder with a higher token
    /// that has taken over all servers on which `lost` may have runs, so that
    /// none of them remains. A holder that does not know one of these servers,
    /// or has dropped it, cannot have stopped the runs there.
    [[nodiscard]] static bool
    all_clean(const instance_view& lost,
              const std::vector<instance_view>& instances);

    /// Returns the position of `self` among the candidates for the pool, from
    /// 0; their number if it is none of them.
    [[nodiscard]] static std::size_t
    rank(const instance_view& self, const std::vector<instance_view>& live,
         const pool_id& pool);
};

} // namespace jujubedrum
