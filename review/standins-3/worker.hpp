#pragma once

#include "node/event_loop.hpp"
#include "node/http_server.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace jujubedrum
{

/// What happened at a backend server: "start", "end" with the outcome, "crash".
struct worker_event
{
    std::string kind;
    std::string worker;
    std::string task;
    std::uint32_t run = 0;
    std::string detail; ///< task text of a start, outcome of an end
};

/// Stand-in for a backend server of the users' platform, as PROTOCOL.md tells
/// it: leases, fence numbers, ends listed until they are taken note of, stops
/// that take `stopMs`. A task text begins with the run time in milliseconds and
/// the processor share and memory that the task takes.
class worker
{
public:
    using observer = std::function<void(const worker_event&)>;

    struct traits
    {
        std::string id;
        std::string zone;
        std::string service;
        std::uint32_t cpu = 16000;
        std::uint32_t memory_mb = 32768;
        std::vector<std::string> labels;
        bool guards = true; ///< refuses what does not fit
    };

    worker(event_loop& events, traits description, observer on_event);

    bool listen();
    [[nodiscard]] const traits& description() const { return this->info; }
    [[nodiscard]] std::uint16_t port() const { return this->server.port(); }
    /// Entry for the store.
    [[nodiscard]] std::string entry(std::uint16_t port) const;
    void set_draining(bool value) { this->draining = value; }
    void set_labels(std::vector<std::string> labels)
    {
        this->info.labels = std::move(labels);
    }
    /// While set, requests get no answer and are not carried out.
    void set_silent(bool value) { this->silent = value; }
    /// Carries out a share of the requests after the delay, without an answer.
    /// Their times count from then.
    /// \param share of the requests, 0 to 1000.
    void set_late(std::uint32_t share, milliseconds by, bool starts_only);
    /// Starts again under the same id: nothing runs, no fence number is known
    /// and the clock starts anew. Late requests are still carried out.
    void crash();
    [[nodiscard]] bool over_capacity() const;
    [[nodiscard]] std::size_t running() const { return this->runs.size(); }
    /// Numbers of orders received, and of those to be carried out late.
    [[nodiscard]] std::size_t orders() const { return this->all_orders; }
    [[nodiscard]] std::size_t late_orders() const { return this->late_count; }

private:
    struct run_state
    {
        std::uint32_t run = 0;
        double needed_ms = 0;
        double done_ms = 0;
        std::uint32_t cpu = 0;
        std::uint32_t memory_mb = 0;
        bool stopping = false;
        instant stop_at{0};
    };
    struct ended_run
    {
        std::uint64_t number = 0;
        std::string task;
        std::uint32_t run = 0;
        std::string outcome;
    };
    struct waiting_poll
    {
        std::shared_ptr<http_responder> responder;
        instant until{0};
    };

    void serve(const http_request& request,
               const std::shared_ptr<http_responder>& responder);
    int start(const std::string& body, std::string& reply);
    int stop(const std::string& body, std::string& reply);
    int hold(const std::string& body, std::string& reply);
    void advance();
    void step();
    void end(const std::string& task, const std::string& outcome);
    [[nodiscard]] std::string listing() const;
    [[nodiscard]] std::int64_t clock_ms() const;
    [[nodiscard]] std::string refusal(const char* reason) const;
    void extend(std::int64_t until_ms);

    event_loop& loop;
    http_server server;
    traits info;
    observer observe;
    std::uint64_t born;
    instant clock_origin{0};
    std::uint64_t token = 0;
    std::int64_t lease_end_ms = 0;
    std::uint64_t next_end = 1;
    std::map<std::string, run_state> runs;
    std::map<std::string, std::uint32_t> highest; ///< ended or stopped runs
    std::vector<ended_run> ends;
    std::vector<waiting_poll> polls;
    bool draining = false;
    bool silent = false;
    std::size_t all_orders = 0;
    std::size_t late_count = 0;
    std::uint32_t late_share = 0;
    milliseconds late_by{0};
    bool late_starts_only = false;
    std::uint64_t draws = 88172645463325252ULL;
    instant advanced;
};

} // namespace jujubedrum
