#pragma once

#include "node/event_loop.hpp"
#include "node/http_server.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace jujubedrum::review
{

/// What a task needs. The cases write it into the `taskSpec` as
/// "MS CPU LABEL", with "-" for no label.
struct task_need
{
    double run_ms = 0;
    std::uint32_t cpu = 0;
    std::string label;

    static task_need parse(const std::string& spec);
};

/// A run as the worker sees it.
struct seen_run
{
    std::string worker;
    std::string task;
    std::uint32_t run = 0;
    std::uint64_t token = 0;
    task_need need;
    /// The sender has had a list of runs of this boot before.
    bool sender_knows_boot = false;
    /// Sum of `cpu` on the worker, with this run.
    std::uint32_t used_cpu = 0;
    std::uint32_t capacity_cpu = 0;
    std::set<std::string> labels; ///< of the worker in this boot
};

/// Receives what workers see.
class run_observer
{
public:
    virtual ~run_observer() = default;
    virtual void on_start(const seen_run& run) = 0;
    virtual void on_end(const std::string& worker, const std::string& task,
                        std::uint32_t run, const std::string& how) = 0;
};

/// A kind of worker.
struct worker_kind
{
    std::string label;
    std::uint32_t cpu = 0;
};

/// A sound worker as the users' PROTOCOL.md describes it: fence numbers, one
/// lease for all runs, stops, a list of ends, restarts under the same id.
class worker_standin
{
public:
    worker_standin(event_loop& loop, std::string id, std::string address,
                   std::string domain, std::string rack, worker_kind kind,
                   bool guards, run_observer& observer);

    bool listen();
    /// The process ends: its channels break and its runs are gone.
    void crash();
    /// The worker starts again under its id and address, as this kind.
    bool restart(const worker_kind& kind);
    /// While set, stops get no answer and have no effect.
    void set_stops_lost(bool value) { this->stops_lost = value; }
    /// Share of the starts that get no answer and are carried out 2 to 12 s
    /// later, by the boot that then answers at the address.
    void set_late_starts(double share) { this->late_share = share; }
    [[nodiscard]] bool up() const { return this->server != nullptr; }
    [[nodiscard]] const std::string& id() const { return this->name; }
    [[nodiscard]] const std::string& domain() const { return this->zone; }
    [[nodiscard]] const worker_kind& kind() const { return this->own_kind; }
    [[nodiscard]] std::string backend() const { return this->service; }
    void set_backend(const std::string& value) { this->service = value; }
    /// Returns the entry of the worker for the store.
    [[nodiscard]] std::string entry();
    [[nodiscard]] bool runs(const std::string& job) const;

private:
    struct active_run
    {
        std::uint32_t run = 0;
        task_need need;
        double progress_ms = 0;
        bool stopping = false;
        instant stop_at{0};
    };
    struct ended_run
    {
        std::uint64_t number = 0;
        std::string task;
        std::uint32_t run = 0;
        std::string how;
    };
    struct waiting_hold
    {
        std::shared_ptr<http_responder> responder;
        instant until{0};
    };

    [[nodiscard]] std::int64_t clock_ms() const;
    [[nodiscard]] std::uint32_t used_cpu() const;
    void begin_boot();
    /// Returns whether a start is carried out late, and has no answer.
    bool delay_start(const http_request& request);
    void serve(const http_request& request,
               const std::shared_ptr<http_responder>& responder);
    void start(const std::string& body,
               const std::shared_ptr<http_responder>& responder);
    void stop(const std::string& body,
              const std::shared_ptr<http_responder>& responder);
    void hold(const std::string& body,
              const std::shared_ptr<http_responder>& responder);
    void extend_lease(std::int64_t until_ms);
    void answer_list(const std::shared_ptr<http_responder>& responder);
    void refuse(const std::shared_ptr<http_responder>& responder,
                const char* reason);
    void end_run(const std::string& task, const std::string& how);
    void advance();
    void schedule_step();

    event_loop& loop;
    std::string name;
    std::string address;
    std::string zone;
    std::string rack;
    worker_kind own_kind;
    bool guards;
    run_observer& observer;
    std::string service = "workers";
    std::unique_ptr<http_server> server;
    std::vector<std::unique_ptr<http_server>> retired; ///< of earlier boots
    std::uint16_t port = 0;
    std::uint64_t born = 0;
    std::uint64_t sequence = 0;
    instant clock_origin{0};
    instant last_advance{0};
    std::uint64_t fence = 0;
    std::int64_t lease_end_ms = 0;
    std::uint64_t next_end = 1;
    std::map<std::string, active_run> active;
    std::vector<ended_run> ended;
    std::map<std::string, std::uint32_t> highest_run;
    std::vector<waiting_hold> waiting;
    /// Ranges of tokens whose sender has had a list of this boot.
    std::set<std::uint64_t> informed;
    bool stops_lost = false;
    double late_share = 0;
    std::mt19937 random{std::random_device{}()};
};

} // namespace jujubedrum::review
