#include "soak_configuration.hpp"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace jujubedrum
{

namespace
{

constexpr milliseconds publish_interval{900};
constexpr milliseconds ask_interval{100};
constexpr milliseconds ask_timeout{1000};

} // namespace

soak_configuration::soak_configuration(event_loop& events, soak_cluster& target,
                                       const std::string& address)
    : loop(events)
    , cluster(target)
{
    for (const soak_cluster::node& node : this->cluster.nodes())
    {
        instance_state state;
        state.client =
            http_client::create(events, address, node.operators_port, 1);
        this->states.push_back(std::move(state));
    }
    for (std::size_t node = 0; node < this->states.size(); ++node)
    {
        this->ask(node);
    }
}

void soak_configuration::start()
{
    this->publishing = true;
    this->publish_next();
}

void soak_configuration::publish_next()
{
    if (!this->publishing)
    {
        return;
    }
    this->publish();
    this->loop.after(publish_interval, [this] { this->publish_next(); });
}

void soak_configuration::publish()
{
    this->cluster.publish_configuration(++this->newest);
}

bool soak_configuration::in_force_everywhere() const
{
    return std::all_of(this->states.begin(), this->states.end(),
                       [this](const instance_state& state)
                       { return state.version == this->newest; });
}

void soak_configuration::ask(std::size_t node)
{
    http_call request;
    request.target = "/state";
    request.timeout = ask_timeout;
    this->states[node].client->call(
        std::move(request),
        [this, node](const http_reply& reply)
        {
            this->on_state(node, reply);
            this->loop.after(ask_interval, [this, node] { this->ask(node); });
        });
}

void soak_configuration::on_state(std::size_t node, const http_reply& reply)
{
    const auto reported = nlohmann::json::parse(reply.body, nullptr, false);
    if (reply.status != 200 || !reported.is_object())
    {
        return;
    }
    instance_state& state = this->states[node];
    const auto boot = reported.at("boot").get<std::uint64_t>();
    const auto version = reported.at("config_version").get<std::uint64_t>();
    if (boot == state.boot && version < state.version)
    {
        this->violation_list.push_back(
            "instance n" + std::to_string(node) + " returned from version " +
            std::to_string(state.version) + " of the configuration to " +
            std::to_string(version));
    }
    state.boot = boot;
    state.version = version;
}

} // namespace jujubedrum
