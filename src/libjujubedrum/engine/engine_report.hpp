#pragma once

#include "base/time.hpp"
#include "engine/claim_controller.hpp"
#include "engine/config_controller.hpp"
#include "engine/job_controller.hpp"
#include "engine/quota_controller.hpp"
#include "jobs/job_table.hpp"
#include "membership/member_table.hpp"
#include "placement/grant_book.hpp"
#include "placement/server_stats.hpp"
#include "placement/slot_pool.hpp"

#include <cstddef>
#include <cstdint>
#include <string>

namespace jujubedrum
{

/// State that a report reads. The referenced objects must outlive the report.
struct report_sources
{
    const instance_info& self;
    std::uint64_t incarnation;
    bool ready;
    bool draining;
    /// Number of calls to peers that await a reply.
    std::size_t peer_calls;
    const member_table& members;
    const slot_pool& pool;
    const server_stats& stats;
    const grant_book& grants;
    const quota_controller& quotas;
    const job_table& table;
    const job_controller& jobs;
    const config_controller& config;
    const claim_controller& claims;
};

/// Writes the state of an engine as JSON for operators.
class engine_report
{
public:
    explicit engine_report(const report_sources& sources);

    /// Returns this instance, its peers and the configuration revision in force
    /// on each.
    [[nodiscard]] std::string status() const;
    /// Returns the full state. Its size is bounded by the numbers of servers,
    /// teams and peers.
    [[nodiscard]] std::string dump(instant now) const;

private:
    report_sources from;
};

} // namespace jujubedrum
