#include "soak_faults.hpp"

#include <csignal>
#include <numeric>
#include <utility>

namespace jujubedrum
{

namespace
{

std::string list_names(const std::string& prefix,
                       const std::vector<std::size_t>& indices)
{
    std::string names;
    for (const std::size_t index : indices)
    {
        names += prefix + std::to_string(index);
    }
    return names;
}

} // namespace

soak_faults::soak_faults(event_loop& events, soak_cluster& target,
                         random_source& source, soak_profile kinds,
                         std::ostream& out)
    : loop(events)
    , cluster(target)
    , random(source)
    , profile(kinds)
    , report(out)
    , start_time(event_loop::now())
{
}

void soak_faults::start()
{
    this->inject_next();
}

milliseconds soak_faults::random_duration(std::uint64_t min_ms,
                                          std::uint64_t max_ms)
{
    return milliseconds(
        static_cast<long>(min_ms + this->random.below(max_ms - min_ms)));
}

void soak_faults::schedule(milliseconds delay, std::function<void()> function)
{
    this->loop.after(delay, std::move(function));
}

void soak_faults::log_fault(const std::string& description)
{
    const auto elapsed = std::chrono::duration_cast<milliseconds>(
        event_loop::now() - this->start_time);
    this->report << event_loop::wall_now().count() << " " << elapsed.count()
                 << " ms " << description << "\n"
                 << std::flush;
}

void soak_faults::inject_next()
{
    if (!this->active)
    {
        return;
    }
    if (this->profile == soak_profile::overlap && this->random.below(2) == 0)
    {
        this->inject_overlapping_fault();
    }
    else
    {
        this->inject_random_fault();
    }
    this->schedule(this->random_duration(100, 1500),
                   [this] { this->inject_next(); });
}

void soak_faults::inject_random_fault()
{
    switch (this->random.below(4))
    {
    case 0:
        this->inject_node_fault();
        return;
    case 1:
        this->inject_link_fault();
        return;
    case 2:
        this->inject_server_fault();
        return;
    default:
        this->inject_store_fault();
        return;
    }
}

void soak_faults::inject_overlapping_fault()
{
    switch (this->random.below(4))
    {
    case 0:
        this->cut_server_paths();
        return;
    case 1:
        this->stop_in_turn();
        return;
    case 2:
        this->kill_during_pause();
        return;
    default:
        this->change_servers_unseen();
        return;
    }
}

std::vector<std::size_t> soak_faults::random_indices(std::size_t size,
                                                     std::size_t count)
{
    std::vector<std::size_t> all(size);
    std::iota(all.begin(), all.end(), std::size_t{0});
    for (std::size_t i = 0; i < count; ++i)
    {
        std::swap(all[i], all[i + this->random.below(size - i)]);
    }
    all.resize(count);
    return all;
}

void soak_faults::cut_server_paths()
{
    constexpr std::size_t max_nodes = 3;
    const auto nodes = this->random_indices(this->cluster.nodes().size(),
                                            1 + this->random.below(max_nodes));
    const std::size_t server_count = this->cluster.servers().size();
    const auto servers = this->random_indices(
        server_count, 1 + this->random.below(server_count / 2));
    const auto mode = this->random.below(3);
    const bool forward = mode != 0;
    const bool backward = mode != 1;
    const auto duration = this->random_duration(300, 6000);
    this->log_fault("black-hole paths of" + list_names(" n", nodes) + " to" +
                    list_names(" s", servers) +
                    ", requests: " + std::to_string(forward) +
                    ", replies: " + std::to_string(backward) +
                    ", time in ms: " + std::to_string(duration.count()));
    for (const std::size_t node : nodes)
    {
        for (const std::size_t server : servers)
        {
            fault_relay& path =
                *this->cluster.nodes()[node].server_paths[server];
            path.blackhole(forward, backward);
            this->schedule(duration, [&path] { path.heal(); });
        }
    }
}

void soak_faults::stop_in_turn()
{
    const std::size_t max_nodes = this->cluster.nodes().size() - 2;
    const auto nodes = this->random_indices(
        this->cluster.nodes().size(), 2 + this->random.below(max_nodes - 1));
    milliseconds delay{0};
    for (const std::size_t index : nodes)
    {
        soak_cluster::node& node = this->cluster.nodes()[index];
        this->schedule(delay,
                       [this, &node, index]
                       {
                           this->log_fault("stop in turn n" +
                                           std::to_string(index));
                           node.process->signal(SIGTERM);
                       });
        delay += this->random_duration(50, 1500);
    }
}

void soak_faults::kill_during_pause()
{
    const auto chosen = this->random_indices(this->cluster.nodes().size(), 3);
    const std::size_t kills = 1 + this->random.below(2);
    const auto duration = this->random_duration(1000, 4000);
    soak_cluster::node& paused = this->cluster.nodes()[chosen[0]];
    this->log_fault("pause n" + std::to_string(chosen[0]) +
                    ", time in ms: " + std::to_string(duration.count()));
    paused.process->signal(SIGSTOP);
    this->schedule(duration, [&paused] { paused.process->signal(SIGCONT); });
    for (std::size_t i = 1; i <= kills; ++i)
    {
        const std::size_t index = chosen[i];
        soak_cluster::node& node = this->cluster.nodes()[index];
        const auto limit = static_cast<std::uint64_t>(duration.count());
        this->schedule(this->random_duration(0, limit),
                       [this, &node, index]
                       {
                           this->log_fault("kill during pause n" +
                                           std::to_string(index));
                           node.process->signal(SIGKILL);
                       });
    }
}

void soak_faults::change_servers_unseen()
{
    const auto duration = this->random_duration(1500, 5000);
    const auto nodes = this->random_indices(this->cluster.nodes().size(),
                                            1 + this->random.below(3));
    this->log_fault("cut the store from" + list_names(" n", nodes) +
                    ", time in ms: " + std::to_string(duration.count()));
    for (const std::size_t index : nodes)
    {
        fault_relay& relay = *this->cluster.nodes()[index].store_relay;
        relay.blackhole(true, true);
        this->schedule(duration, [&relay] { relay.heal(); });
    }
    const auto servers = this->random_indices(this->cluster.servers().size(),
                                              1 + this->random.below(4));
    for (const std::size_t index : servers)
    {
        this->schedule(
            this->random_duration(0, 1000), [this, index]
            { this->toggle_entry(this->cluster.servers()[index], index); });
    }
}

void soak_faults::toggle_entry(soak_cluster::server& server, std::size_t index)
{
    if (!this->active)
    {
        return;
    }
    server.listed = !server.listed;
    this->log_fault((server.listed ? "list s" : "unlist s") +
                    std::to_string(index));
    if (server.listed)
    {
        this->cluster.write_entry(server);
        return;
    }
    this->cluster.store().write_server(server.standin->id(), "");
}

void soak_faults::inject_node_fault()
{
    const auto index = this->random.below(this->cluster.nodes().size());
    soak_cluster::node& node = this->cluster.nodes()[index];
    const std::string name = " n" + std::to_string(index);
    switch (this->random.below(4))
    {
    case 0:
        this->log_fault("kill" + name);
        node.process->signal(SIGKILL);
        return;
    case 1:
        this->log_fault("stop gracefully" + name);
        node.process->signal(SIGTERM);
        return;
    case 2:
    {
        const auto duration = this->random_duration(50, 3000);
        this->log_fault("suspend" + name +
                        ", time in ms: " + std::to_string(duration.count()));
        node.process->signal(SIGSTOP);
        this->schedule(duration, [&node] { node.process->signal(SIGCONT); });
        return;
    }
    default:
        this->log_fault("reload" + name);
        node.process->signal(SIGHUP);
        return;
    }
}

void soak_faults::inject_link_fault()
{
    const auto index = this->random.below(this->cluster.nodes().size());
    soak_cluster::node& node = this->cluster.nodes()[index];
    const bool peers = this->random.below(2) == 0;
    fault_relay& relay = peers ? *node.peer_relay : *node.store_relay;
    const std::string name =
        std::string(peers ? " peer connections" : " store connections") +
        " of n" + std::to_string(index);
    const auto duration = this->random_duration(100, 3000);
    switch (this->random.below(5))
    {
    case 0:
        this->log_fault("reset" + name);
        relay.reset_connections();
        return;
    case 1:
        this->log_fault("black-hole for good all open" + name);
        relay.blackhole_open_connections();
        return;
    case 2:
        this->log_fault("delay" + name);
        relay.set_delay(this->random_duration(5, 150));
        break;
    case 3:
        this->log_fault("black-hole direction to the target of" + name);
        relay.blackhole(true, false);
        break;
    default:
        this->log_fault("black-hole both directions of" + name);
        relay.blackhole(true, true);
        break;
    }
    this->schedule(duration, [&relay] { relay.heal(); });
}

void soak_faults::inject_server_fault()
{
    const auto index = this->random.below(this->cluster.servers().size());
    soak_cluster::server& server = this->cluster.servers()[index];
    task_server_standin& standin = *server.standin;
    const std::string name = " s" + std::to_string(index);
    const auto duration = this->random_duration(200, 3000);
    switch (this->random.below(8))
    {
    case 0:
        this->log_fault("crash" + name);
        standin.crash();
        server.relay->reset_connections();
        return;
    case 1:
        this->log_fault("drop replies to start requests from" + name);
        standin.drop_start_replies(4);
        return;
    case 2:
        this->log_fault("carry out late, without reply, start requests to" +
                        name);
        standin.delay_starts(4, this->random_duration(50, 4000));
        return;
    case 3:
        this->log_fault("fail all tasks on" + name);
        standin.set_failing(true);
        this->schedule(duration, [&standin] { standin.set_failing(false); });
        return;
    case 4:
        this->log_fault("stop progress of tasks on" + name);
        standin.set_hanging(true);
        this->schedule(duration, [&standin] { standin.set_hanging(false); });
        return;
    case 5:
        this->log_fault("slow down tasks on" + name);
        standin.set_slowdown(6.0);
        this->schedule(duration, [&standin] { standin.set_slowdown(1.0); });
        return;
    case 6:
        this->log_fault("drain" + name);
        standin.set_draining(true);
        if (server.listed)
        {
            this->cluster.write_entry(server);
        }
        this->schedule(duration, [&standin] { standin.set_draining(false); });
        return;
    default:
        this->log_fault("black-hole connections to" + name);
        server.relay->blackhole(true, this->random.below(2) == 0);
        this->schedule(duration, [&server] { server.relay->heal(); });
        return;
    }
}

void soak_faults::inject_store_fault()
{
    const auto duration = this->random_duration(200, 3000);
    using fault = log_store_standin::fault;
    switch (this->random.below(4))
    {
    case 0:
        this->log_fault("store replies 503 to all requests");
        this->cluster.store().set_fault(fault::busy);
        break;
    case 1:
        this->log_fault("store neither serves nor answers requests");
        this->cluster.store().set_fault(fault::unresponsive);
        break;
    case 2:
        this->log_fault("store carries out appends without reply");
        this->cluster.store().set_fault(fault::lost_replies);
        break;
    default:
        this->log_fault("store drops the history of all topics");
        this->cluster.store().compact();
        return;
    }
    this->schedule(duration,
                   [this] { this->cluster.store().set_fault(fault::none); });
}

} // namespace jujubedrum
