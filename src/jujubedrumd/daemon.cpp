#include "daemon.hpp"

#include "peer_gateway.hpp"
#include "peer_network.hpp"

#include <chrono>
#include <csignal>
#include <random>
#include <thread>
#include <utility>

namespace jujubedrum
{

namespace
{

/// Minimum time without jobs and requests before the stop, so that requests in
/// transit when the drain began are still served.
constexpr milliseconds drain_grace_period{500};

void collect_peer_metrics(const peer_network& network,
                          metrics_registry& metrics)
{
    const peer_counters counters = network.counters();
    metrics.set_counter("peer_socket_bytes_total", "direction=\"out\"",
                        counters.socket_bytes_sent);
    metrics.set_counter("peer_socket_bytes_total", "direction=\"in\"",
                        counters.socket_bytes_received);
    metrics.set_counter("peer_connections_opened_total", "",
                        counters.connections_opened);
    for (std::size_t i = 0; i < peer_call_count; ++i)
    {
        const std::string call =
            "call=\"" + std::string(peer_call_names.at(i)) + "\"";
        const call_traffic& traffic = counters.calls.at(i);
        metrics.set_counter("peer_calls_total", call, traffic.calls_out);
        metrics.set_counter("peer_call_failures_total", call, traffic.failures);
        metrics.set_counter("peer_call_bytes_total",
                            call + ",direction=\"out\"", traffic.bytes_sent);
        metrics.set_counter("peer_call_bytes_total", call + ",direction=\"in\"",
                            traffic.bytes_received);
    }
}

std::uint64_t random_incarnation()
{
    std::random_device device;
    const std::uint64_t high = device();
    return ((high << 32U) | device()) | 1U;
}

peer_options options_of(const settings& values)
{
    peer_options options;
    options.address = values.listen_address();
    options.rpc_port = values.rpc_port();
    options.connect_timeout = values.tunables().connect_timeout;
    return options;
}

} // namespace

daemon::daemon(settings initial)
    : values(std::move(initial))
    , incarnation(random_incarnation())
    , host(this->values, this->incarnation, this->metrics)
    , frontend(this->values, this->host, this->metrics)
{
}

int daemon::run()
{
    peer_gateway gateway(this->host);
    peer_reason why;
    auto network = peer_network::create(options_of(this->values), gateway, why);
    if (!network)
    {
        LOG(ERROR) << "peer: not started, cannot listen for peers; reason=\""
                   << why.message() << "\"";
        return 1;
    }
    gateway.connect(*network);
    this->metrics.set_collector(
        [&network = *network](metrics_registry& registry)
        { collect_peer_metrics(network, registry); });
    const auto port = this->frontend.start();
    if (!port)
    {
        LOG(ERROR) << "http: not started, cannot listen for callers; address="
                   << this->values.listen_address()
                   << " port=" << this->values.http_port();
        return 1;
    }
    this->host.start(gateway);
    LOG(INFO) << "daemon: started; instance=" << this->values.instance()
              << " domain=" << this->values.domain() << " port=" << *port
              << " rpc_port=" << network->port();
    this->wait_for_signal();
    this->drain();
    this->frontend.stop();
    // The collector reads the network, which is destroyed when this function
    // returns.
    this->metrics.set_collector(nullptr);
    // The network stops first because its callbacks post events to the host.
    network->stop();
    this->host.stop();
    LOG(INFO) << "daemon: stopped; instance=" << this->values.instance();
    return 0;
}

void daemon::wait_for_signal() const
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    int signal_number = 0;
    sigwait(&signals, &signal_number);
    LOG(INFO) << "daemon: stopping; signal=" << signal_number;
}

void daemon::drain()
{
    using clock = std::chrono::steady_clock;
    this->frontend.drain();
    this->host.post(drain_event{});
    const auto drain_deadline =
        clock::now() + this->values.tunables().drain_timeout;
    auto idle_since = clock::now();
    while (clock::now() < drain_deadline)
    {
        if (!this->host.idle() || this->frontend.active() > 0)
        {
            idle_since = clock::now();
        }
        if (clock::now() - idle_since >= drain_grace_period)
        {
            return;
        }
        std::this_thread::sleep_for(milliseconds(20));
    }
    LOG(WARNING) << "daemon: drain timeout reached; stopping although jobs or "
                    "requests may be in progress";
}

} // namespace jujubedrum
