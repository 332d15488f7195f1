#include "node_fixture.hpp"

#include "users/free_port.hpp"

#include <algorithm>

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

namespace jujubedrum
{

namespace
{

/// Bounds every wait; generous, since no check depends on being faster.
constexpr milliseconds wait_timeout{20000};
/// Interval at which servers write their entries.
constexpr milliseconds entry_refresh_interval{1000};

node_settings make_settings(const std::string& name, const std::string& domain,
                            std::uint16_t peers, std::uint16_t store,
                            const fault_relay* relay)
{
    nlohmann::json object{
        {"instance", name},
        {"domain", domain},
        {"callers", "127.0.0.1:0"},
        {"operators", "127.0.0.1:0"},
        {"peers", unique_loopback_address() + ":" + std::to_string(peers)},
        {"store", "127.0.0.1:" + std::to_string(store)},
        // Off by default; the tests of recalls need them.
        {"holder_policy", "balanced"},
        {"server_trust", true},
        {"overload_order", "caller_cost"}};
    if (relay != nullptr)
    {
        object["announced_peers"] =
            "127.0.0.1:" + std::to_string(relay->port());
    }
    config_reason why;
    const auto settings = node_settings::load(object.dump(), why);
    BOOST_REQUIRE_MESSAGE(settings, why.message());
    return *settings;
}

} // namespace

node_under_test::node_under_test(event_loop& loop,
                                 const node_settings& settings,
                                 std::uint64_t boot)
    : store(loop, settings.store().address, settings.store().port)
    , channels(loop)
    , instance(loop, settings, boot, this->store, this->channels, this->metrics)
{
    BOOST_REQUIRE(this->instance.start());
}

node_fixture::node_fixture()
{
    BOOST_REQUIRE(this->store.listen());
    this->store.publish(R"({"version":1,"routes":[],"services":[]})");
    this->refresh_entries();
}

void node_fixture::refresh_entries()
{
    for (const auto& [id, server] : this->servers)
    {
        this->write_entry(id);
    }
    this->loop.after(entry_refresh_interval,
                     [this] { this->refresh_entries(); });
}

void node_fixture::start_node(const std::string& name,
                              const std::string& domain)
{
    this->start_node(name, domain, this->store.port());
}

fault_relay& node_fixture::relay_links_to(const std::string& name)
{
    this->peer_ports[name] = free_port(this->loop, unique_loopback_address());
    return *this->relays
                .emplace(name, std::make_unique<fault_relay>(
                                   this->loop, unique_loopback_address(),
                                   this->peer_ports[name]))
                .first->second;
}

void node_fixture::start_node_on_second_store(const std::string& name,
                                              const std::string& domain)
{
    this->start_node(name, domain, this->store.second_port());
}

void node_fixture::start_node(const std::string& name,
                              const std::string& domain,
                              std::uint16_t store_port)
{
    if (this->peer_ports.count(name) == 0)
    {
        this->peer_ports[name] =
            free_port(this->loop, unique_loopback_address());
    }
    this->nodes.erase(name);
    const auto relay = this->relays.find(name);
    this->nodes[name] = std::make_unique<node_under_test>(
        this->loop,
        make_settings(name, domain, this->peer_ports[name], store_port,
                      relay == this->relays.end() ? nullptr
                                                  : relay->second.get()),
        this->next_boot++);
}

void node_fixture::add_server(const std::string& id, const std::string& domain)
{
    constexpr std::uint32_t cpu = 16000;
    this->servers[id] = std::make_unique<task_server_standin>(
        this->loop, id, cpu, this->record);
    this->domains[id] = domain;
    BOOST_REQUIRE(this->servers[id]->listen());
    this->write_entry(id);
}

void node_fixture::write_entry(const std::string& id)
{
    const task_server_standin& server = *this->servers[id];
    this->store.write_server(id,
                             server.entry(this->domains[id], server.port()));
}

std::unique_ptr<task_server_standin>
node_fixture::unlist_server(const std::string& id)
{
    auto server = std::move(this->servers.at(id));
    this->servers.erase(id);
    this->store.write_server(id, "");
    return server;
}

std::size_t node_fixture::servers_of(const std::string& name)
{
    constexpr std::size_t cpu = 16000;
    return this->usable_cpu_of(name) / (cpu / 2) / 2;
}

std::uint64_t node_fixture::usable_cpu_of(const std::string& name)
{
    const auto state = nlohmann::json::parse(this->nodes[name]->node().dump());
    return state["total_cpu"].get<std::uint64_t>();
}

std::uint64_t node_fixture::waiting_cpu_of(const std::string& name)
{
    const auto state = nlohmann::json::parse(this->nodes[name]->node().dump());
    return state["waiting_cpu"].get<std::uint64_t>();
}

std::size_t node_fixture::sessions_of(const std::string& name)
{
    const auto state = nlohmann::json::parse(this->nodes[name]->node().dump());
    return state["servers_held"].get<std::size_t>();
}

std::uint64_t node_fixture::token_of(const std::string& name)
{
    const auto state = nlohmann::json::parse(this->nodes[name]->node().dump());
    std::uint64_t highest = 0;
    for (const auto& pool : state["pools"])
    {
        highest = std::max(highest, pool["token"].get<std::uint64_t>());
    }
    return highest;
}

bool node_fixture::wait_for_servers(const std::string& name, std::size_t count)
{
    return this->wait(
        [&]
        {
            const auto state =
                nlohmann::json::parse(this->nodes[name]->node().dump());
            return state["servers_reachable"].get<std::size_t>() >= count;
        });
}

bool node_fixture::holds_all_pools(const std::string& name)
{
    const auto state = nlohmann::json::parse(this->nodes[name]->node().dump());
    return state["pools"].size() == pools_per_domain;
}

submit_message node_fixture::submission_of(const std::string& job, int run_ms,
                                           std::uint32_t tasks,
                                           milliseconds time_left)
{
    submit_message message;
    message.ticket = 1;
    message.request.id = job;
    message.request.payload = std::to_string(run_ms) + " ms";
    job_step step;
    step.count = tasks;
    step.demand = {6800, 64, 0};
    step.estimate = milliseconds(run_ms);
    message.request.steps.push_back(step);
    message.terms.service = "service";
    message.terms.max_attempts = 3;
    message.terms.stretch = 4;
    message.terms.target = milliseconds(2000);
    message.terms.time_left = time_left;
    this->record.expect(job, message.request.payload);
    return message;
}

std::uint64_t node_fixture::submit(const std::string& node,
                                   const std::string& job, std::uint32_t tasks,
                                   int run_ms, milliseconds time_left)
{
    const submit_message message =
        this->submission_of(job, run_ms, tasks, time_left);
    return this->nodes[node]->node().submit(
        message.request, message.terms,
        [this, job](const job_result& result) { this->results[job] = result; });
}

member_record node_fixture::member_of(const std::string& name)
{
    return {name, unique_loopback_address(), this->peer_ports[name], 1, "d1",
            1000};
}

bool node_fixture::wait_for(const std::string& job)
{
    return this->wait([&] { return this->results.count(job) > 0; });
}

bool node_fixture::wait(const std::function<bool()>& condition)
{
    return this->loop.run_until(condition, wait_timeout);
}

void node_fixture::run_for(milliseconds time)
{
    this->loop.run_until([] { return false; }, time);
}

} // namespace jujubedrum
