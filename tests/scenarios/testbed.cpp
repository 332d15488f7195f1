#include "testbed.hpp"

#include "base/hash.hpp"
#include "config/key_pair.hpp"
#include "scenario_error.hpp"
#include "waiting.hpp"

#include <algorithm>
#include <csignal>
#include <fstream>
#include <sstream>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace jujubedrum
{

namespace
{

// Below Linux's default ephemeral port range, so that no outgoing connection
// takes a free port before the process binds to it.
constexpr int first_process_port = 20000;
constexpr int process_port_count = 10000;
constexpr std::size_t log_tail_bytes = 2000;

std::string read_file(const std::filesystem::path& path)
{
    std::ifstream input(path);
    if (!input)
    {
        throw scenario_error("cannot read " + path.string());
    }
    std::ostringstream text;
    text << input.rdbuf();
    return text.str();
}

void write_file(const std::filesystem::path& path, const std::string& text)
{
    std::ofstream(path) << text;
}

std::string option_or(const step_options& options, const std::string& key,
                      const std::string& fallback)
{
    const auto found = options.find(key);
    return found == options.end() ? fallback : found->second;
}

bool can_bind(int port)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const bool free =
        ::bind(socket, reinterpret_cast<const sockaddr*>(&address),
               sizeof(address)) == 0;
    ::close(socket);
    return free;
}

} // namespace

testbed::testbed(std::filesystem::path bin, std::filesystem::path work,
                 bool relays)
    : bin(std::move(bin))
    , work(std::move(work))
    , relays(relays ? std::make_unique<relay_hub>() : nullptr)
    , next_port(static_cast<int>(::getpid()) * 37 % process_port_count)
{
    std::filesystem::remove_all(this->work);
    std::filesystem::create_directories(this->work);
}

void testbed::start_platform(const step_options& options)
{
    node& node = this->nodes["platform"];
    node.role = "platform";
    node.port = this->free_port();
    node.command = {this->bin / "platform_standin", "--port",
                    std::to_string(node.port)};
    for (const auto& [key, value] : options)
    {
        node.command.push_back("--" + key);
        node.command.push_back(value);
    }
    this->launch("platform", node);
}

void testbed::start_backend(const std::string& name,
                            const step_options& options)
{
    node& node = this->nodes[name];
    node.role = "backend";
    node.domain = option_or(options, "domain", "d1");
    node.region = option_or(options, "region", "r1");
    node.port = this->free_port();
    std::string server = "name=" + name + ",port=" + std::to_string(node.port);
    for (const auto& [key, value] : options)
    {
        if (key != "region")
        {
            server += "," + key + "=" + value;
        }
    }
    node.command = {this->bin / "backend_standin", "--server", server};
    node.registration = {
        {"role", "backend"},
        {"domain", node.domain},
        {"region", node.region},
        {"address", "127.0.0.1"},
        {"port", node.port},
        {"rpc_port", 0},
        {"weight", 1},
        {"slots", std::stoi(option_or(options, "slots", "8"))},
        {"memory_mb", std::stoi(option_or(options, "memory_mb", "32768"))},
        {"state", "live"}};
    this->launch(name, node);
    for (const auto& [other, entry] : this->nodes)
    {
        if (entry.role == "entry")
        {
            this->add_link(other, name);
        }
    }
    this->update_views();
    this->set_listed_state(name, "live");
}

void testbed::start_entry(const std::string& name, const step_options& options)
{
    node& node = this->nodes[name];
    node.role = "entry";
    node.domain = option_or(options, "domain", "d1");
    node.region = option_or(options, "region", "r1");
    node.port = this->free_port();
    node.rpc_port = this->free_port();
    node.source_address = "127.0.1." + std::to_string(this->nodes.size());
    const int weight = std::stoi(option_or(options, "weight", "1"));
    node.registration = {{"role", "entry"},       {"domain", node.domain},
                         {"region", node.region}, {"address", "127.0.0.1"},
                         {"port", node.port},     {"rpc_port", node.rpc_port},
                         {"weight", weight},      {"slots", 0},
                         {"memory_mb", 0},        {"state", "live"}};
    for (const auto& [other, peer] : this->nodes)
    {
        if (other != name)
        {
            this->add_link(name, other);
        }
        if (other != name && peer.role == "entry")
        {
            this->add_link(other, name);
        }
    }
    this->update_views();
    node.command = {this->bin / "jujubedrumd", "--settings",
                    this->write_settings(name, node, options)};
    this->set_listed_state(name, "live");
    this->launch(name, node);
}

std::filesystem::path testbed::write_settings(const std::string& name,
                                              const node& node,
                                              const step_options& options)
{
    const auto relay = this->links.find({name, "platform"});
    nlohmann::json settings = {
        {"instance", name},
        {"domain", node.domain},
        {"region", node.region},
        {"listen_address", "127.0.0.1"},
        {"http_port", node.port},
        {"rpc_port", node.rpc_port},
        {"weight", node.registration["weight"]},
        {"platform",
         {{"address", "127.0.0.1"},
          {"port", relay == this->links.end() ? this->port("platform")
                                              : relay->second}}},
        {"admin_public_key", this->public_key("admin")},
        {"log_level", "info"}};
    for (const auto& [key, value] : options)
    {
        if (!settings.contains(key))
        {
            const auto parsed = nlohmann::json::parse(value, nullptr, false);
            settings[key] =
                parsed.is_discarded() ? nlohmann::json(value) : parsed;
        }
    }
    const auto path = this->work / (name + ".json");
    write_file(path, settings.dump(2) + "\n");
    return path;
}

void testbed::launch(const std::string& name, node& node)
{
    node.process = std::make_unique<child_process>(
        node.command, this->work / (name + ".log"));
    this->set_links_to(name, relay_hub::mode::open);
    if (node.role != "entry")
    {
        if (!node.process->read_line().has_value())
        {
            throw scenario_error(
                name +
                " did not start: no line on its standard output; see its log");
        }
        return;
    }
    const bool ready = wait_for(
        [&]
        {
            return !node.process->running() ||
                   http_call({node.port, "GET", "/readyz", "", ""}).status ==
                       200;
        });
    if (!ready || !node.process->running())
    {
        throw scenario_error(
            name + " exited or did not become ready (GET /readyz) in time");
    }
}

void testbed::restart(const std::string& name)
{
    node& node = this->find(name);
    if (node.process->running())
    {
        throw scenario_error(name + " cannot be restarted: it still runs");
    }
    this->launch(name, node);
}

void testbed::stop(const std::string& name)
{
    node& node = this->find(name);
    node.process->signal(SIGTERM);
    const auto status = node.process->wait_exit();
    this->set_links_to(name, relay_hub::mode::refused);
    if (status != 0)
    {
        throw scenario_error(
            name + (status.has_value()
                        ? " exited with status " + std::to_string(*status)
                        : " did not exit in time after SIGTERM"));
    }
}

void testbed::kill(const std::string& name)
{
    node& node = this->find(name);
    node.process->signal(SIGKILL);
    if (!node.process->wait_exit().has_value())
    {
        throw scenario_error(name + " did not exit in time after SIGKILL");
    }
    this->set_links_to(name, relay_hub::mode::refused);
}

void testbed::signal(const std::string& name, int signal_number)
{
    this->find(name).process->signal(signal_number);
}

void testbed::set_listed_state(const std::string& name,
                               const std::string& state)
{
    nlohmann::json& registration = this->find(name).registration;
    registration["state"] = state;
    this->send("platform", "PUT", "/control/instances/" + name, registration);
}

void testbed::add_link(const std::string& from, const std::string& to)
{
    if (this->relays == nullptr || this->links.contains({from, to}))
    {
        return;
    }
    const node& target = this->find(to);
    this->links[{from, to}] = this->relays->add(
        target.role == "entry" ? target.rpc_port : target.port,
        this->find(from).source_address);
}

void testbed::update_views()
{
    std::map<std::string, nlohmann::json> views;
    for (const auto& [endpoints, port] : this->links)
    {
        const node& target = this->find(endpoints.second);
        if (target.role != "platform")
        {
            const char* field = target.role == "entry" ? "rpc_port" : "port";
            views[this->find(endpoints.first).source_address]
                 [endpoints.second] = {{field, port}};
        }
    }
    for (const auto& [source_address, view] : views)
    {
        this->send("platform", "PUT", "/control/views/" + source_address, view);
    }
}

void testbed::set_links_to(const std::string& name, relay_hub::mode mode)
{
    for (const auto& [endpoints, port] : this->links)
    {
        if (endpoints.second == name)
        {
            this->relays->set_mode(port, mode);
        }
    }
}

bool testbed::matches_any(const std::string& name,
                          const std::string& pattern) const
{
    const node& node = this->find(name);
    std::istringstream input(pattern);
    std::string part;
    while (std::getline(input, part, ','))
    {
        if (part == name || part == node.domain || part == node.region)
        {
            return true;
        }
    }
    return false;
}

void testbed::set_links(const std::string& left, const std::string& right,
                        relay_hub::mode mode)
{
    bool found = false;
    for (const auto& [endpoints, port] : this->links)
    {
        const auto& [from, to] = endpoints;
        if ((this->matches_any(from, left) && this->matches_any(to, right)) ||
            (this->matches_any(from, right) && this->matches_any(to, left)))
        {
            this->relays->set_mode(port, mode);
            found = true;
        }
    }
    if (!found)
    {
        throw scenario_error("no link between " + left + " and " + right);
    }
}

void testbed::heal()
{
    for (const auto& [endpoints, port] : this->links)
    {
        this->relays->set_mode(port,
                               this->find(endpoints.second).process->running()
                                   ? relay_hub::mode::open
                                   : relay_hub::mode::refused);
    }
}

int testbed::publish(const std::string& section,
                     const std::filesystem::path& file,
                     const std::string& editor, const std::string& key)
{
    std::string name = section;
    std::replace(name.begin(), name.end(), '/', '-');
    const auto expanded = this->work / (name + ".section.json");
    write_file(expanded, this->expand_placeholders(read_file(file)));
    const std::vector<std::string> command = {
        this->bin / "jujubedrumctl",
        "publish",
        "--platform",
        "127.0.0.1:" + std::to_string(this->port("platform")),
        "--admin-public-key",
        this->public_key("admin"),
        "--section",
        section,
        "--file",
        expanded,
        "--editor",
        editor,
        "--key",
        this->key_file(key)};
    child_process process(command, this->work / "jujubedrumctl.log");
    return process.wait_exit().value_or(-1);
}

std::string testbed::expand_placeholders(std::string text)
{
    std::size_t start = 0;
    while ((start = text.find("${", start)) != std::string::npos)
    {
        const std::size_t colon = text.find(':', start);
        const std::size_t end = text.find('}', start);
        if (colon == std::string::npos || end == std::string::npos)
        {
            throw scenario_error(
                "malformed ${KIND:VALUE} placeholder in a section file");
        }
        const std::string kind = text.substr(start + 2, colon - start - 2);
        const std::string value = text.substr(colon + 1, end - colon - 1);
        const std::string replacement =
            kind == "public_key" ? this->public_key(value) : sha256_hex(value);
        text.replace(start, end + 1 - start, replacement);
    }
    return text;
}

std::filesystem::path testbed::key_file(const std::string& name)
{
    this->public_key(name);
    return this->work / (name + ".key");
}

std::string testbed::public_key(const std::string& name)
{
    if (const auto found = this->public_keys.find(name);
        found != this->public_keys.end())
    {
        return found->second;
    }
    config_reason reason;
    const auto pair = key_pair::generate(reason);
    if (!pair.has_value())
    {
        throw scenario_error(reason.message());
    }
    write_file(this->work / (name + ".key"), pair->private_key() + "\n");
    return this->public_keys[name] = pair->public_key();
}

int testbed::port(const std::string& name) const
{
    return this->find(name).port;
}

std::vector<std::string> testbed::backends() const
{
    std::vector<std::string> result;
    for (const auto& [name, node] : this->nodes)
    {
        if (node.role == "backend" && node.process->running())
        {
            result.push_back(name);
        }
    }
    return result;
}

nlohmann::json testbed::get(const std::string& name,
                            const std::string& path) const
{
    return this->send(name, "GET", path, nullptr);
}

nlohmann::json testbed::send(const std::string& name, const std::string& method,
                             const std::string& path,
                             const nlohmann::json& body) const
{
    const scenario_http_reply reply =
        http_call({this->port(name), method, path,
                   body.is_null() ? std::string() : body.dump(), ""});
    if (reply.status != 200)
    {
        throw scenario_error(name + " " + method + " " + path + ": status " +
                             std::to_string(reply.status) + " " + reply.body);
    }
    return reply.json();
}

std::string testbed::log_tails() const
{
    std::string result;
    for (const auto& [name, node] : this->nodes)
    {
        const std::string text = read_file(this->work / (name + ".log"));
        if (!text.empty())
        {
            const std::size_t size = std::min(text.size(), log_tail_bytes);
            result +=
                "--- log of " + name + "\n" + text.substr(text.size() - size);
        }
    }
    return result;
}

testbed::node& testbed::find(const std::string& name)
{
    return const_cast<node&>(std::as_const(*this).find(name));
}

const testbed::node& testbed::find(const std::string& name) const
{
    const auto found = this->nodes.find(name);
    if (found == this->nodes.end())
    {
        throw scenario_error("no process is named " + name);
    }
    return found->second;
}

int testbed::free_port()
{
    for (int tries = 0; tries < process_port_count; ++tries)
    {
        this->next_port = (this->next_port + 1) % process_port_count;
        if (can_bind(first_process_port + this->next_port))
        {
            return first_process_port + this->next_port;
        }
    }
    throw scenario_error("no free port: the whole range is in use");
}

} // namespace jujubedrum
