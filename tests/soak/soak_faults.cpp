#include "soak_faults.hpp"

#include <csignal>

namespace jujubedrum
{

soak_faults::soak_faults(event_loop& events, soak_cluster& target,
                         random_source& source, std::ostream& out)
    : loop(events)
    , cluster(target)
    , random(source)
    , report(out)
    , started(event_loop::now())
{
}

void soak_faults::begin()
{
    this->next();
}

milliseconds soak_faults::span(std::uint64_t least, std::uint64_t most)
{
    return milliseconds(
        static_cast<long>(least + this->random.below(most - least)));
}

void soak_faults::later(milliseconds delay, std::function<void()> function)
{
    this->loop.after(delay, std::move(function));
}

void soak_faults::tell(const std::string& what)
{
    const auto at = std::chrono::duration_cast<milliseconds>(event_loop::now() -
                                                             this->started);
    this->report << at.count() << " ms " << what << "\n" << std::flush;
}

void soak_faults::next()
{
    if (!this->active)
    {
        return;
    }
    this->inject();
    this->later(this->span(100, 1500), [this] { this->next(); });
}

void soak_faults::inject()
{
    switch (this->random.below(4))
    {
    case 0:
        this->hit_node();
        return;
    case 1:
        this->hit_link();
        return;
    case 2:
        this->hit_server();
        return;
    default:
        this->hit_store();
        return;
    }
}

void soak_faults::hit_node()
{
    const auto which = this->random.below(this->cluster.nodes().size());
    soak_cluster::node& node = this->cluster.nodes()[which];
    const std::string name = " n" + std::to_string(which);
    switch (this->random.below(4))
    {
    case 0:
        this->tell("kill" + name);
        node.process->signal(SIGKILL);
        return;
    case 1:
        this->tell("stop gracefully" + name);
        node.process->signal(SIGTERM);
        return;
    case 2:
    {
        const auto time = this->span(50, 3000);
        this->tell("pause" + name + " for " + std::to_string(time.count()));
        node.process->signal(SIGSTOP);
        this->later(time, [&node] { node.process->signal(SIGCONT); });
        return;
    }
    default:
        this->tell("reload" + name);
        node.process->signal(SIGHUP);
        return;
    }
}

void soak_faults::hit_link()
{
    const auto which = this->random.below(this->cluster.nodes().size());
    soak_cluster::node& node = this->cluster.nodes()[which];
    const bool peers = this->random.below(2) == 0;
    fault_relay& relay = peers ? *node.peers : *node.store;
    const std::string name = std::string(peers ? " peers" : " store") +
                             " of n" + std::to_string(which);
    const auto time = this->span(100, 3000);
    switch (this->random.below(5))
    {
    case 0:
        this->tell("reset" + name);
        relay.reset_connections();
        return;
    case 1:
        this->tell("silence for good" + name);
        relay.freeze_connections();
        return;
    case 2:
        this->tell("delay" + name);
        relay.delay(this->span(5, 150));
        break;
    case 3:
        this->tell("cut one way" + name);
        relay.silence(true, false);
        break;
    default:
        this->tell("cut" + name);
        relay.silence(true, true);
        break;
    }
    this->later(time, [&relay] { relay.heal(); });
}

void soak_faults::hit_server()
{
    const auto which = this->random.below(this->cluster.servers().size());
    soak_cluster::server& server = this->cluster.servers()[which];
    task_server_standin& standin = *server.standin;
    const std::string name = " s" + std::to_string(which);
    const auto time = this->span(200, 3000);
    switch (this->random.below(8))
    {
    case 0:
        this->tell("crash" + name);
        standin.crash();
        server.relay->reset_connections();
        return;
    case 1:
        this->tell("lose answers" + name);
        standin.drop_start_replies(4);
        return;
    case 2:
        this->tell("carry out starts late" + name);
        standin.delay_starts(4, this->span(50, 4000));
        return;
    case 3:
        this->tell("fail all" + name);
        standin.set_failing(true);
        this->later(time, [&standin] { standin.set_failing(false); });
        return;
    case 4:
        this->tell("stand still" + name);
        standin.set_hanging(true);
        this->later(time, [&standin] { standin.set_hanging(false); });
        return;
    case 5:
        this->tell("slow down" + name);
        standin.set_slowdown(6.0);
        this->later(time, [&standin] { standin.set_slowdown(1.0); });
        return;
    case 6:
        this->tell("drain" + name);
        standin.set_draining(true);
        this->cluster.write_entry(server);
        this->later(time, [&standin] { standin.set_draining(false); });
        return;
    default:
        this->tell("cut" + name);
        server.relay->silence(true, this->random.below(2) == 0);
        this->later(time, [&server] { server.relay->heal(); });
        return;
    }
}

void soak_faults::hit_store()
{
    const auto time = this->span(200, 3000);
    using fault = log_store_standin::fault;
    switch (this->random.below(4))
    {
    case 0:
        this->tell("store busy");
        this->cluster.store().set_fault(fault::busy);
        break;
    case 1:
        this->tell("store silent");
        this->cluster.store().set_fault(fault::unresponsive);
        break;
    case 2:
        this->tell("store loses answers");
        this->cluster.store().set_fault(fault::lost_replies);
        break;
    default:
        this->tell("store drops its history");
        this->cluster.store().compact();
        return;
    }
    this->later(time, [this] { this->cluster.store().set_fault(fault::none); });
}

} // namespace jujubedrum
