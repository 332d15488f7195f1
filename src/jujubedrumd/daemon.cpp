#include "daemon.hpp"

#include <chrono>
#include <csignal>
#include <random>
#include <thread>
#include <utility>

namespace jujubedrum
{

namespace
{

/// Time between the end of the last job and the stop, for callers to finish
/// requests that were on their way when the stop began.
constexpr milliseconds drain_settle{500};

std::uint64_t random_incarnation()
{
    std::random_device device;
    const std::uint64_t high = device();
    return ((high << 32U) | device()) | 1U;
}

/// Fails every call; used while the instance has no peer network.
class no_peers : public peer_transport
{
public:
    void call(peer_address /*to*/, peer_request /*request*/,
              std::function<void(peer_reply)> done) override
    {
        done(peer_failure{peer_error::unreachable, peer_delivery::not_sent,
                          "no peer network"});
    }
};

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
    no_peers peers;
    const auto port = this->frontend.start();
    if (!port)
    {
        LOG(ERROR) << "http: cannot listen; address="
                   << this->values.listen_address()
                   << " port=" << this->values.http_port();
        return 1;
    }
    this->host.start(peers);
    LOG(INFO) << "daemon: started; instance=" << this->values.instance()
              << " domain=" << this->values.domain() << " port=" << *port
              << " rpc_port=" << this->values.rpc_port();
    this->wait_for_signal();
    this->drain();
    this->frontend.stop();
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
    int received = 0;
    sigwait(&signals, &received);
    LOG(INFO) << "daemon: stopping; signal=" << received;
}

void daemon::drain()
{
    using clock = std::chrono::steady_clock;
    this->frontend.drain();
    this->host.post(drain_event{});
    const auto limit = clock::now() + this->values.tunables().drain_timeout;
    auto idle_since = clock::now();
    while (clock::now() < limit)
    {
        if (!this->host.idle() || this->frontend.active() > 0)
        {
            idle_since = clock::now();
        }
        if (clock::now() - idle_since >= drain_settle)
        {
            return;
        }
        std::this_thread::sleep_for(milliseconds(20));
    }
    LOG(WARNING) << "daemon: jobs still run at the drain timeout";
}

} // namespace jujubedrum
