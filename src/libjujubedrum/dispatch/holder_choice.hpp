#pragma once

#include "base/random_source.hpp"
#include "base/time.hpp"
#include "dispatch/dispatch_load.hpp"
#include "dispatch/pooled_job.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace jujubedrum
{

/// What an accepting instance knows of a responsive holder.
struct holder_view
{
    std::uint64_t link = 0; ///< 0: the accepting instance itself
    std::string name;
    std::string domain;
    dispatch_load load;
    milliseconds load_age{0}; ///< since the load arrived
};

/// What the choice of a holder needs to know of a job.
struct holder_request
{
    std::uint64_t cpu = 0;         ///< thousandths of a core, all tasks
    std::uint32_t largest_cpu = 0; ///< of one task
    std::uint32_t priority = 0;    ///< 0 is the highest
    milliseconds objective{0};     ///< from acceptance
    milliseconds run_time{0};      ///< declared, along the longest chain
    milliseconds waited{0};        ///< since acceptance
    milliseconds since_sent{0};    ///< to its present holder
    milliseconds time_left{0};     ///< until the caller stops waiting

    /// \param terms with the times that remain.
    static holder_request create(const pooled_job& job);

    bool operator==(const holder_request&) const = default;
};

/// How holders are chosen.
enum class holder_policy
{
    shortest_wait, ///< the one with the shortest estimated wait
    balanced,      ///< spread over those with room; late jobs are recalled
};

enum class no_holder_reason
{
    none,
    no_holder,   ///< no responsive holder that was not tried has capacity
    all_busy,    ///< enough holders refused, and no other one shows room
    out_of_time, ///< holders refused, and the time does not last any more
};

struct holder_decision
{
    std::optional<std::uint64_t> link;
    milliseconds expected_wait{0};
    no_holder_reason reason = no_holder_reason::none;
};

/// Chooses the holder for a job. Made for ten or more accepting instances that
/// choose at the same time from loads that are 0.1 to 0.3 s old, longer than
/// short tasks run: if all took the holder with the shortest wait, they would
/// take the same one. The older a load is, compared with the run time, the more
/// its holder is assumed to be used as much as the others of its failure
/// domain. Holders with room for the whole job are chosen at random, weighted
/// by what they have free. Those of the own failure domain come first; as it
/// fills, a growing share of the jobs goes to others. Without room, the wait
/// decides.
class holder_choice
{
public:
    /// A job that this many holders refused goes only to one that shows room.
    static constexpr std::size_t max_holders_tried = 2;

    holder_choice(std::string own_domain, std::uint64_t seed,
                  holder_policy used = holder_policy::balanced);

    /// Counts a job that was sent, until the load of the holder includes it or
    /// its declared run time is over.
    void on_sent(std::uint64_t link, const holder_request& request,
                 instant now);
    /// A load of the holder arrived: forgets the jobs that it includes.
    void on_load(std::uint64_t link, instant now);
    void on_link_closed(std::uint64_t link);

    /// \param tried names of the holders that are not chosen again.
    /// \param refusals number of holders that refused the job.
    [[nodiscard]] holder_decision
    choose(const std::vector<holder_view>& holders,
           const holder_request& request, const std::set<std::string>& tried,
           std::size_t refusals, instant now);
    /// Returns whether a job that was sent to `current` should be recalled: if
    /// it still waits, it would start late there, and another holder has room
    /// for the whole job.
    [[nodiscard]] bool should_recall(const std::vector<holder_view>& holders,
                                     std::uint64_t current,
                                     const holder_request& request,
                                     const std::set<std::string>& tried,
                                     instant now) const;

private:
    struct sent_job
    {
        instant at{0};
        instant ends{0}; ///< if it started at once and the run time is right
        std::uint64_t cpu = 0;
    };
    /// A holder with the estimates for one job.
    struct candidate
    {
        std::uint64_t link = 0;
        std::uint64_t weight = 0;
        milliseconds wait{0};
        bool room = false;  ///< for the whole job
        bool ample = false; ///< room, and enough of it to be shared
        bool own_domain = false;
        double trust = 0; ///< share of the runs in the load that go on
        double total_cpu = 0;
        double demand_cpu = 0; ///< in use or waiting, in the load
    };

    [[nodiscard]] std::uint64_t sent_cpu(std::uint64_t link, instant now) const;
    /// \param mean_use share of the capacity in use at the holders of its
    /// failure domain.
    [[nodiscard]] candidate estimate(const holder_view& holder,
                                     const holder_request& request,
                                     double mean_use, instant now) const;
    /// Returns the share of such jobs that stay in the own failure domain while
    /// others have room.
    [[nodiscard]] static double own_share(const std::vector<candidate>& all,
                                          const holder_request& request);
    [[nodiscard]] holder_decision
    pick(const std::vector<candidate>& candidates);
    [[nodiscard]] holder_decision
    choose_shortest_wait(const std::vector<holder_view>& holders,
                         const holder_request& request,
                         const std::set<std::string>& tried,
                         std::size_t refusals, instant now) const;

    std::string domain;
    random_source random;
    holder_policy policy;
    std::map<std::uint64_t, std::deque<sent_job>> sent; ///< by link
};

} // namespace jujubedrum
