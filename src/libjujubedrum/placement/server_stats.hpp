#pragma once

#include "base/time.hpp"
#include "placement/backend_server.hpp"

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace jujubedrum
{

/// Whether a server may be given a task.
enum class admission_state
{
    open,
    /// Ejected, but may be given one repeatable task as a probe.
    probe,
    ejected,
};

/// Parameters of `server_stats`.
struct server_stats_options
{
    /// Weight of one observation in the speed estimate of a server.
    double speed_weight = 0.03;
    /// The same for a run time more than 3 standard deviations from the
    /// expected one.
    double outlier_weight = 0.2;
    /// The same for a task that still runs after `run_time_bound`. Higher,
    /// because its final run time will be longer still.
    double overdue_weight = 0.7;
    /// Weight of one observation in the reference run time of a task kind.
    double reference_weight = 0.02;
    /// Weight of one outcome in the failure rate of a server.
    double failure_weight = 0.2;
    /// Failure rate above which a server is ejected.
    double ejection_threshold = 0.5;
    /// Largest share of the servers of a failure domain that is ejected at
    /// once; one server may always be ejected if the domain has several.
    double max_ejected_share = 0.3;
    /// Duration of the first ejection; doubles with each further one.
    microseconds min_ejection_time = seconds(1);
    microseconds max_ejection_time = seconds(60);
};

/// Estimated run times and failure rates of backend servers.
class server_stats
{
public:
    explicit server_stats(server_stats_options options = {});

    /// Replaces the list of servers; those listed before keep their estimates.
    void set_servers(const std::vector<backend_server>& servers);

    /// Records a task that the server answered.
    /// \param kind task kind.
    /// \param declared run time that the caller declared.
    /// \param run_time observed run time.
    void on_finished(std::string_view server, std::string_view kind,
                     microseconds declared, microseconds run_time, instant now);
    /// Records that a task still runs after `elapsed`, longer than expected.
    void on_overdue(std::string_view server, std::string_view kind,
                    microseconds declared, microseconds elapsed);
    /// Records a failed or refused task. Ejects the server if its failure rate
    /// exceeds `ejection_threshold`, or if the task was the probe.
    void on_failed(std::string_view server, instant now);
    /// Records that a probe was started; no other one starts until it ends.
    void on_probe_started(std::string_view server);
    /// Sets the slowness of a server that has no estimate yet; does nothing if
    /// it has one or `slowness` is not positive.
    void set_initial_slowness(std::string_view server, double slowness);
    /// Allows another probe if the last one neither succeeded nor failed.
    void on_probe_ended(std::string_view server);

    /// Returns the expected run time of a task; unknown servers are assumed to
    /// have average speed. Failures count as run times on the slowest server.
    [[nodiscard]] microseconds expected_run_time(std::string_view server,
                                                 std::string_view kind,
                                                 microseconds declared) const;
    /// Returns the run time that 99 % of such tasks are expected to stay below.
    [[nodiscard]] microseconds run_time_bound(std::string_view server,
                                              std::string_view kind,
                                              microseconds declared) const;
    /// Returns the run time relative to the reference: 2 is half as fast.
    /// Failures count as run times on the slowest server.
    [[nodiscard]] double slowness(std::string_view server) const;
    /// Returns whether enough tasks ran on a server to estimate its slowness.
    [[nodiscard]] bool has_estimate(std::string_view server) const;
    /// Returns the estimated run time of a task kind at slowness 1; the
    /// declared one if none was observed.
    [[nodiscard]] microseconds reference(std::string_view kind,
                                         microseconds declared) const;
    /// Returns whether the server may be given a task; unknown ones may.
    [[nodiscard]] admission_state admission(std::string_view server,
                                            instant now) const;
    /// Returns the number of ejected servers of a failure domain.
    [[nodiscard]] std::size_t ejected(std::string_view domain) const;

private:
    struct server_record
    {
        std::string domain;
        double log_slowness = 0.0;
        std::size_t observations = 0;
        double failure_rate = 0.0;
        unsigned ejections = 0;
        bool ejected = false;
        bool probing = false;
        instant ejected_until{};
        instant readmitted_at{};
    };

    struct kind_record
    {
        double log_reference = 0.0;
        /// Variance of the logarithm of the run time around its expected value.
        double log_variance = 0.25;
        std::size_t observations = 0;
    };

    void eject(server_record& record, instant now);
    static void record_success(server_record& record, double weight,
                               instant now);
    static void update_slowness(server_record& record, double weight,
                                double residual);
    [[nodiscard]] double max_slowness() const;
    [[nodiscard]] bool may_eject(const server_record& record) const;
    [[nodiscard]] double log_expected(std::string_view server,
                                      std::string_view kind,
                                      microseconds declared) const;
    [[nodiscard]] double log_reference(std::string_view kind,
                                       microseconds declared) const;

    server_stats_options options;
    std::map<std::string, server_record, std::less<>> servers;
    std::map<std::string, kind_record, std::less<>> kinds;
};

} // namespace jujubedrum
