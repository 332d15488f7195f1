#include "deployment.hpp"

#include "users/free_port.hpp"

#include <iomanip>
#include <stdexcept>

#include <nlohmann/json.hpp>

namespace jujubedrum
{

namespace
{

/// Address of the stand-ins. Processes of `jujubedrum-node` listen at one that
/// no other run of a case uses.
constexpr const char* address = "127.0.0.1";
constexpr milliseconds entry_interval{1500}; ///< `heartbeatMs`
constexpr milliseconds check_interval{50};
constexpr milliseconds restart_delay{300};

std::string endpoint_of(const std::string& host, std::uint16_t port)
{
    return host + ":" + std::to_string(port);
}

} // namespace

deployment::deployment(event_loop& events, std::string program,
                       std::filesystem::path folder, std::ostream& record,
                       worker::observer on_event)
    : store(events)
    , loop(events)
    , node_program(std::move(program))
    , path(std::move(folder))
    , out(record)
    , observe(std::move(on_event))
    , began(event_loop::now())
    , node_address(unique_loopback_address())
{
    if (!this->store.listen())
    {
        throw std::runtime_error("the store stand-in cannot listen");
    }
    this->store_client =
        http_client::create(this->loop, address, this->store.port(), 1000);
    this->write_entries();
}

milliseconds deployment::time() const
{
    return std::chrono::duration_cast<milliseconds>(event_loop::now() -
                                                    this->began);
}

void deployment::note(const std::string& text)
{
    this->out << std::setw(7) << this->time().count() << " ms  " << text << "\n"
              << std::flush;
}

std::shared_ptr<http_client> deployment::caller(const instance& target) const
{
    constexpr std::size_t max_connections = 64;
    return http_client::create(this->loop, this->node_address, target.callers,
                               max_connections);
}

void deployment::publish(const std::string& configuration)
{
    this->store.publish(configuration);
}

deployment::backend& deployment::add_worker(worker::traits description)
{
    auto added = std::make_unique<backend>();
    added->standin = std::make_unique<worker>(
        this->loop, std::move(description), this->observe);
    if (!added->standin->listen())
    {
        throw std::runtime_error("a backend server stand-in cannot listen");
    }
    added->path = std::make_unique<fault_relay>(this->loop, address,
                                                added->standin->port());
    added->path->forward_at_once();
    this->store.write_server(added->standin->description().id,
                             added->standin->entry(added->path->port()));
    this->workers.push_back(std::move(added));
    return *this->workers.back();
}

deployment::instance& deployment::add_instance(const std::string& name,
                                               const std::string& zone)
{
    auto added = std::make_unique<instance>();
    added->name = name;
    added->zone = zone;
    added->callers = free_port(this->loop, this->node_address);
    added->operators = free_port(this->loop, this->node_address);
    added->peers = free_port(this->loop, this->node_address);
    added->proxy = std::make_unique<http_server>(
        this->loop, "X-None",
        [this, reader = added.get()](const http_request& request,
                                     const auto& responder)
        { this->pass(*reader, request, responder); });
    if (!added->proxy->listen(address, 0))
    {
        throw std::runtime_error("a proxy of the store cannot listen");
    }
    added->store = std::make_unique<fault_relay>(this->loop, address,
                                                 added->proxy->port());
    added->store->forward_at_once();
    const std::filesystem::path settings = this->path / (name + ".json");
    // The fields of deploy/instance.json with the bounds of the small sites.
    std::ofstream(settings) << nlohmann::json{
        {"instance", name},
        {"domain", zone},
        {"callers", endpoint_of(this->node_address, added->callers)},
        {"operators", endpoint_of(this->node_address, added->operators)},
        {"peers", endpoint_of(this->node_address, added->peers)},
        {"store", endpoint_of(address, added->store->port())},
        {"cpu_share", 0.25},
        {"link_mbps", 1000.0},
        {"memory_mb", "260"},
        {"max_fds", "4100"},
        {"longest_lease_ms", 1000},
        {"grace_s", 6},
        {"far_factor", 1.5},
        {"holder_lease_ms", 3000},
        {"log_level", "info"}}.dump();
    added->process =
        std::make_unique<node_runner>(this->node_program, settings.string(),
                                      (this->path / (name + ".log")).string());
    this->instances.push_back(std::move(added));
    return *this->instances.back();
}

void deployment::start()
{
    for (const auto& from : this->instances)
    {
        for (const auto& to : this->instances)
        {
            if (from != to)
            {
                auto path = std::make_unique<fault_relay>(
                    this->loop, this->node_address, to->peers);
                path->forward_at_once();
                from->paths.emplace(to->name, std::move(path));
            }
        }
    }
    for (const auto& each : this->instances)
    {
        each->process->start();
        each->started = event_loop::now();
    }
    this->restart_ended();
}

std::vector<fault_relay*> deployment::paths_of(const std::string& name)
{
    std::vector<fault_relay*> result;
    for (const auto& from : this->instances)
    {
        for (const auto& [to, path] : from->paths)
        {
            if (from->name == name || to == name)
            {
                result.push_back(path.get());
            }
        }
    }
    return result;
}

void deployment::cut_off(const std::string& name)
{
    for (fault_relay* path : this->paths_of(name))
    {
        path->blackhole(true, true);
    }
}

void deployment::heal(const std::string& name)
{
    for (fault_relay* path : this->paths_of(name))
    {
        path->heal();
    }
}

void deployment::pass(instance& reader, const http_request& request,
                      const std::shared_ptr<http_responder>& responder)
{
    http_call call;
    call.method = request.method;
    call.target = request.target;
    call.body = request.body;
    call.content_type = "application/octet-stream";
    call.timeout = milliseconds(40000);
    const bool announcements =
        request.method == "GET" &&
        request.target.find("topic=members") != std::string::npos;
    this->store_client->call(
        std::move(call),
        [this, &reader, responder, announcements](const http_reply& reply)
        {
            if (reply.result == http_result::replied)
            {
                responder->answer(
                    {reply.status, announcements && reply.status == 200
                                       ? this->with_paths(reader, reply.body)
                                       : reply.body});
            }
        });
}

std::string deployment::with_paths(const instance& reader,
                                   const std::string& page) const
{
    constexpr std::size_t header = 16;
    constexpr std::size_t length_bytes = 4;
    std::string result = page.substr(0, header);
    for (std::size_t at = header; at + length_bytes <= page.size();)
    {
        std::size_t size = 0;
        for (std::size_t i = 0; i < length_bytes; ++i)
        {
            size = size << 8U | static_cast<unsigned char>(page[at + i]);
        }
        auto record =
            nlohmann::json::parse(page.substr(at + length_bytes, size));
        at += length_bytes + size;
        const auto path = reader.paths.find(record.value("name", ""));
        if (path != reader.paths.end())
        {
            record["address"] = address;
            record["port"] = path->second->port();
        }
        const std::string text = record.dump();
        for (std::size_t i = length_bytes; i-- > 0;)
        {
            result += static_cast<char>(text.size() >> 8 * i & 0xffU);
        }
        result += text;
    }
    return result;
}

bool deployment::await_ready(milliseconds limit)
{
    std::size_t ready = 0;
    instant next{0};
    std::vector<std::shared_ptr<http_client>> clients;
    for (const auto& each : this->instances)
    {
        clients.push_back(http_client::create(this->loop, this->node_address,
                                              each->operators, 2));
    }
    return this->loop.run_until(
        [&]
        {
            if (event_loop::now() >= next)
            {
                next = event_loop::now() + milliseconds(200);
                ready = 0;
                for (const auto& client : clients)
                {
                    http_call call;
                    call.target = "/v1/ready";
                    call.timeout = milliseconds(150);
                    client->call(std::move(call),
                                 [&ready](const http_reply& reply)
                                 { ready += reply.status == 200 ? 1 : 0; });
                }
            }
            return ready == clients.size();
        },
        limit);
}

void deployment::write_entries()
{
    for (const auto& each : this->workers)
    {
        if (each->listed)
        {
            this->store.write_server(each->standin->description().id,
                                     each->standin->entry(each->path->port()));
        }
    }
    this->loop.after(entry_interval, [this] { this->write_entries(); });
}

void deployment::restart_ended()
{
    for (const auto& each : this->instances)
    {
        if (each->restarted && !each->process->running())
        {
            each->restarted = false;
            this->note(each->name + " ended, wait status " +
                       std::to_string(each->process->last_status()));
            this->loop.after(restart_delay,
                             [node = each.get()]
                             {
                                 node->process->start();
                                 node->started = event_loop::now();
                                 node->restarted = true;
                             });
        }
    }
    this->loop.after(check_interval, [this] { this->restart_ended(); });
}

} // namespace jujubedrum
