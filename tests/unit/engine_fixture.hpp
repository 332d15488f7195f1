#pragma once

#include "base/random_source.hpp"
#include "config/config_edit.hpp"
#include "config/key_pair.hpp"
#include "engine/dispatch_engine.hpp"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace jujubedrum::tests
{

/// Ignores all measurements.
class null_metrics : public metrics_sink
{
public:
    void on_task_started() override {}
    void on_message(message_cause /*cause*/, std::uint64_t /*count*/) override
    {
    }
    void on_job_finished(std::string_view /*outcome*/,
                         double /*response_over_ideal*/) override
    {
    }
};

/// Bug that the test bed injects to show that its checks detect it.
enum class injected_bug
{
    none,
    /// Reports an attempt that may have started as not started.
    unknown_as_not_started,
    /// Restarts a process under its old incarnation.
    same_incarnation,
};

/// One request of a caller.
struct testbed_request
{
    std::string id;
    std::size_t instance = 0;
    int replies = 0;
    /// The instance that received the request died before it replied.
    bool instance_died = false;
    std::optional<api_reply> answer;
};

/// State that the test bed tracks for a job id.
struct testbed_job
{
    std::string body;
    std::size_t tasks = 0;
    bool repeatable = false;
    /// Copies submitted by callers.
    int copies = 0;
    int starts = 0;
    /// Reported as not_run: no task may have started or may start later.
    bool refused = false;
    /// Incarnations that sent a task of the job.
    std::set<std::uint64_t> runners;
};

/// A simulated backend server and its injected faults.
struct testbed_server
{
    std::string name;
    std::string domain = "d1";
    std::uint32_t slots = 4;
    double slowdown = 1.0;
    bool fail = false;
    bool refuse = false;
    bool draining = false;
    bool drop_reply = false;
    bool listed = true;
    microseconds reply_delay{0};
    /// Network partition; a negative one is reachable from every partition.
    int partition = 0;
    int received = 0;
};

/// An entry instance: the engine is null while the process is dead.
struct testbed_instance
{
    instance_info self;
    std::uint64_t incarnation = 0;
    std::unique_ptr<dispatch_engine> engine;
    bool suspended = false;
    std::vector<event> held_events;
    int partition = 0;
    std::uint64_t config_next = 0;
    std::uint64_t revision = 0;
    std::map<std::string, int> busy;
    std::map<attempt_id, std::string> attempts;
};

/// Runs engines in one process against a simulated log, instance list, backend
/// servers and peer network, driven by one heap of events on a virtual clock.
class engine_testbed
{
public:
    explicit engine_testbed(std::uint64_t seed, std::size_t instances = 3,
                            std::size_t servers = 4);

    /// Injected faults of the log, the instance list and the peer network.
    struct
    {
        bool log_down = false;
        bool log_slow = false;
        bool drop_append_replies = false;
        bool list_down = false;
        microseconds list_lag{0};
        double drop_request = 0;
        double drop_reply = 0;
        microseconds peer_delay = milliseconds(1);
    } faults;
    injected_bug bug = injected_bug::none;
    struct tunables tunables;

    /// Advances the clock, handling the events that fall due.
    void run(microseconds span);
    /// Advances the clock until the request is answered, by at most `span`.
    const testbed_request& wait(request_token token,
                                microseconds span = seconds(30));

    /// Restarts the process as a new incarnation, under a new name if one is
    /// given.
    void restart(std::size_t instance, const std::string& name = "");
    void kill(std::size_t instance);
    void suspend(std::size_t instance);
    void resume(std::size_t instance);
    void clear_faults();
    /// Publishes the current instance list.
    void publish();
    /// Appends a signed edit of the team section `t`.
    void edit(const std::string& body);

    /// Returns an id issued by the instance.
    std::string new_id(std::size_t instance);
    /// Returns an id chosen by the caller.
    std::string chosen_id();
    /// Returns a job body with tasks of the given run time.
    std::string body(const std::string& id, std::size_t tasks,
                     bool repeatable = false, int run_ms = 50,
                     int deadline_ms = 5000, const std::string& payload = "1");
    request_token submit(std::size_t instance, const std::string& body);
    request_token collect(std::size_t instance, const std::string& id);
    request_token cancel(std::size_t instance, const std::string& id);
    void send(std::size_t instance, event next);

    [[nodiscard]] const testbed_request& at(request_token token) const
    {
        return this->requests.at(token);
    }
    /// Returns the outcome's name, the error's code, or "none".
    [[nodiscard]] std::string result(request_token token) const;
    [[nodiscard]] int starts(const std::string& id) const;
    [[nodiscard]] wall_time wall() const
    {
        return std::chrono::duration_cast<milliseconds>(this->now) +
               wall_time(1'000'000'000);
    }
    /// Reports a violation if the busy slots of an engine differ from its
    /// attempts in flight.
    void check_slots();

    random_source random;
    instant now{0};
    std::vector<testbed_instance> instances;
    std::vector<testbed_server> servers;
    std::map<request_token, testbed_request> requests;
    std::map<std::string, testbed_job> jobs;
    std::map<std::string, int> task_starts;
    std::map<std::string, int> task_stops;
    std::vector<std::string> violations;
    std::size_t steps = 0;

private:
    struct timer
    {
        instant at{0};
        std::uint64_t number = 0;
        std::function<void()> run;
        bool operator<(const timer& other) const
        {
            return std::tie(other.at, other.number) <
                   std::tie(this->at, this->number);
        }
    };
    struct stream
    {
        std::uint64_t first = 0;
        std::deque<std::pair<instant, std::string>> records;
    };
    struct peer_call
    {
        std::size_t from = 0;
        std::uint64_t incarnation = 0;
        call_id call = 0;
        std::size_t to = 0;
        bool answered = false;
    };

    void after(microseconds delay, std::function<void()> run);
    void post(std::size_t instance, std::uint64_t incarnation, event next);
    void handle(std::size_t instance, event next);
    void tick(std::size_t instance, std::uint64_t incarnation, int round);
    void poll_list(std::size_t instance);
    void poll_config(std::size_t instance);
    void violate(const std::string& text);
    std::uint64_t append(const std::string& name, const std::string& record);
    records_event read(const std::string& name, std::uint64_t from);
    void on_start(const std::string& task);
    void check_reply(const testbed_request& request);

    void perform(std::size_t instance, reply_action&& next);
    void perform(std::size_t instance, ids_action&& next);
    void perform(std::size_t instance, send_task_action&& next);
    void perform(std::size_t instance, stop_task_action&& next);
    void perform(std::size_t instance, call_peer_action&& next);
    void perform(std::size_t instance, reply_peer_action&& next);
    void perform(std::size_t instance, append_action&& next);
    void perform(std::size_t instance, read_action&& next);
    void perform(std::size_t /*node*/, document_action&& /*next*/) {}
    void answer_peer(request_token token, peer_reply reply);
    void fail_call(request_token token, peer_delivery delivery);

    null_metrics metrics;
    config_reason why;
    key_pair admin;
    std::priority_queue<timer> timers;
    std::uint64_t last_timer = 0;
    request_token last_token = 0;
    std::uint64_t last_id = 0;
    std::map<std::string, stream> streams;
    std::map<request_token, peer_call> calls;
    std::map<request_token, id_block> blocks;
    std::vector<std::pair<instant, instance_page>> pages;
    std::uint64_t base = 0;
};

} // namespace jujubedrum::tests
