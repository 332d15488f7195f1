#include "scenario.hpp"

#include "comparison.hpp"
#include "job_body.hpp"
#include "scenario_error.hpp"
#include "waiting.hpp"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <fstream>
#include <sstream>
#include <thread>

namespace jujubedrum
{

namespace
{

using words = std::vector<std::string>;

void require(bool condition, const std::string& text)
{
    if (!condition)
    {
        throw scenario_error(text);
    }
}

const std::string& word_at(const words& step, std::size_t index)
{
    require(index < step.size(), "the step has too few words");
    return step[index];
}

/// Returns the key=value words of a step from the index `first`.
step_options options_of(const words& step, std::size_t first)
{
    step_options result;
    for (std::size_t index = first; index < step.size(); ++index)
    {
        const std::size_t equals = step[index].find('=');
        if (equals != std::string::npos && equals > 0)
        {
            result[step[index].substr(0, equals)] =
                step[index].substr(equals + 1);
        }
    }
    return result;
}

/// Returns the word after a keyword, or the fallback if there is none.
std::string word_after(const words& step, const std::string& keyword,
                       const std::string& fallback)
{
    const auto found = std::find(step.begin() + 1, step.end(), keyword);
    return found == step.end() || found + 1 == step.end() ? fallback
                                                          : *(found + 1);
}

std::string option_or(const step_options& options, const std::string& key,
                      const std::string& fallback)
{
    const auto found = options.find(key);
    return found == options.end() ? fallback : found->second;
}

std::string team_token(const std::string& team)
{
    return "token-" + team;
}

long long unix_time_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

nlohmann::json json_or_text(const std::string& text)
{
    auto value = nlohmann::json::parse(text, nullptr, false);
    return value.is_discarded() ? nlohmann::json(text) : value;
}

bool uses_relays(const std::vector<scenario_step>& steps)
{
    return std::any_of(steps.begin(), steps.end(),
                       [](const scenario_step& step)
                       { return step.words[0] == "cut"; });
}

/// Returns whether the outcome is in a list such as "a|b|c".
bool is_one_of(const std::string& outcome, const std::string& list)
{
    std::istringstream input(list);
    std::string part;
    while (std::getline(input, part, '|'))
    {
        if (part == outcome)
        {
            return true;
        }
    }
    return false;
}

std::string outcome_of(const scenario_http_reply& reply)
{
    if (reply.status == 0)
    {
        return "no_reply";
    }
    const nlohmann::json outcome = value_at(reply.json(), "outcome");
    return outcome.is_string() ? outcome.get<std::string>()
                               : "error " + std::to_string(reply.status);
}

} // namespace

scenario::scenario(const std::filesystem::path& bin,
                   const std::filesystem::path& work,
                   const std::filesystem::path& script)
    : script(read_script(script))
    , folder(script.parent_path())
{
    this->processes =
        std::make_unique<testbed>(bin, work, uses_relays(this->script));
}

scenario::~scenario()
{
    // The processes are killed first, which ends the outstanding calls.
    this->processes.reset();
}

void scenario::run()
{
    for (const scenario_step& step : this->script)
    {
        try
        {
            const auto found = steps().find(step.words[0]);
            require(found != steps().end(), "unknown step");
            (this->*found->second)(step.words);
        }
        catch (const std::exception& error)
        {
            throw scenario_error("line " + std::to_string(step.line) + ": " +
                                 step.text + ": " + error.what());
        }
    }
}

std::string scenario::log_tails() const
{
    return this->processes->log_tails();
}

const std::map<std::string, scenario::step_function>& scenario::steps()
{
    static const std::map<std::string, step_function> table = {
        {"start", &scenario::start},
        {"restart", &scenario::restart},
        {"stop", &scenario::stop},
        {"kill", &scenario::kill},
        {"freeze", &scenario::freeze},
        {"thaw", &scenario::thaw},
        {"list", &scenario::list},
        {"fault", &scenario::fault},
        {"publish", &scenario::publish},
        {"submit", &scenario::submit},
        {"resubmit", &scenario::resubmit},
        {"collect", &scenario::collect},
        {"cancel", &scenario::cancel},
        {"request", &scenario::request},
        {"cut", &scenario::cut},
        {"heal", &scenario::heal},
        {"load", &scenario::load},
        {"end-load", &scenario::end_load},
        {"wait-until", &scenario::wait_until},
        {"pause", &scenario::pause},
        {"mask", &scenario::mask},
        {"expect", &scenario::expect}};
    return table;
}

const std::map<std::string, scenario::step_function>& scenario::expectations()
{
    static const std::map<std::string, step_function> table = {
        {"answers", &scenario::expect_answers},
        {"starts", &scenario::expect_starts},
        {"no-new-starts", &scenario::expect_no_new_starts},
        {"no-repeated-starts", &scenario::expect_no_repeated_starts},
        {"load", &scenario::expect_load}};
    return table;
}

void scenario::start(const words& step)
{
    const std::string& what = word_at(step, 1);
    if (what == "platform")
    {
        this->processes->start_platform(options_of(step, 2));
        return;
    }
    const step_options options = options_of(step, 3);
    for (const std::string& name : expand_range(word_at(step, 2)))
    {
        if (what == "backend")
        {
            this->processes->start_backend(name, options);
            continue;
        }
        require(what == "entry",
                "unknown kind of process; expected platform, backend or entry");
        this->processes->start_entry(name, options);
    }
}

void scenario::restart(const words& step)
{
    this->processes->restart(word_at(step, 1));
}

void scenario::stop(const words& step)
{
    this->processes->stop(word_at(step, 1));
}

void scenario::kill(const words& step)
{
    this->processes->kill(word_at(step, 1));
}

void scenario::freeze(const words& step)
{
    this->processes->signal(word_at(step, 1), SIGSTOP);
}

void scenario::thaw(const words& step)
{
    this->processes->signal(word_at(step, 1), SIGCONT);
}

void scenario::list(const words& step)
{
    this->processes->set_listed_state(word_at(step, 1), word_at(step, 2));
}

void scenario::fault(const words& step)
{
    nlohmann::json body = nlohmann::json::object();
    for (const auto& [key, value] : options_of(step, 2))
    {
        body[key] = json_or_text(value);
    }
    require(!body.empty(), "the step sets no fault; expected KEY=VALUE");
    for (const std::string& name : expand_range(word_at(step, 1)))
    {
        this->processes->send(name, "POST", "/control/faults", body);
    }
}

void scenario::publish(const words& step)
{
    const int status = this->processes->publish(
        word_at(step, 1), this->find_file(word_at(step, 2)), word_at(step, 3),
        word_at(step, 4));
    const bool refused = step.size() > 5 && step[5] == "refused";
    const std::string wanted = option_or(options_of(step, 5), "exit", "");
    require(wanted.empty() ? (status != 0) == refused
                           : std::to_string(status) == wanted,
            "jujubedrumctl exited with status " + std::to_string(status));
}

void scenario::submit(const words& step)
{
    const std::string& target = word_at(step, 1);
    const std::string& source = word_at(step, 2);
    const step_options options = options_of(step, 3);
    const std::string as = word_after(step, "as", "");
    require(!as.empty(), "the step does not name its job; expected: as NAME");
    for (const std::string& name : expand_range(as))
    {
        nlohmann::json job;
        if (source == "job")
        {
            job = make_job(name, options);
        }
        else if (source.starts_with('{'))
        {
            job = json_or_text(source);
        }
        else
        {
            std::ifstream input(this->find_file(source));
            job = nlohmann::json::parse(input);
        }
        const std::string token =
            option_or(options, "token", team_token(job.value("team", "")));
        std::string id = option_or(options, "id", "");
        if (id == "issued")
        {
            id = this->issue_id(target, token);
        }
        else if (!id.empty())
        {
            job["created_at_ms"] =
                unix_time_ms() +
                std::stoll(option_or(options, "age_ms", "0")) * -1;
        }
        if (!id.empty())
        {
            job["id"] = id;
        }
        this->start_call(name, target,
                         {this->processes->port(target), "POST", "/v1/jobs",
                          job.dump(), token});
    }
}

void scenario::resubmit(const words& step)
{
    pending_call& first = this->find_call(word_at(step, 1));
    const std::string target = word_after(step, "to", first.target());
    scenario_http_request request = first.request();
    request.port = this->processes->port(target);
    nlohmann::json body = first.body();
    if (!body.contains("id"))
    {
        body["id"] = first.job_id();
        request.body = body.dump();
    }
    for (const std::string& name : expand_range(word_after(step, "as", "")))
    {
        this->start_call(name, target, request);
    }
}

void scenario::collect(const words& step)
{
    pending_call& job = this->find_call(word_at(step, 1));
    const std::string target = word_after(step, "from", job.target());
    this->start_call(word_after(step, "as", ""), target,
                     {this->processes->port(target), "GET",
                      "/v1/jobs/" + job.job_id(), "", job.request().token});
}

void scenario::cancel(const words& step)
{
    const std::string as = word_after(step, "as", "");
    for (const std::string& name : expand_range(word_at(step, 1)))
    {
        pending_call& job = this->find_call(name);
        const std::string target = word_after(step, "at", job.target());
        this->start_call(as.empty() ? "cancel-" + name : as, target,
                         {this->processes->port(target), "DELETE",
                          "/v1/jobs/" + job.job_id(), "", job.request().token});
    }
}

void scenario::request(const words& step)
{
    const std::string& target = word_at(step, 1);
    std::string body;
    if (step.size() > 4 && step[4] != "as" && !step[4].starts_with("token="))
    {
        body = step[4];
    }
    this->start_call(word_after(step, "as", ""), target,
                     {this->processes->port(target), word_at(step, 2),
                      word_at(step, 3), body,
                      option_or(options_of(step, 4), "token", "")});
}

void scenario::cut(const words& step)
{
    require(word_at(step, 2) == "from", "expected: cut X from Y [refuse]");
    this->processes->set_links(word_at(step, 1), word_at(step, 3),
                               step.size() > 4 && step[4] == "refuse"
                                   ? relay_hub::mode::refused
                                   : relay_hub::mode::stalled);
}

void scenario::heal(const words& step)
{
    if (step.size() == 1)
    {
        this->processes->heal();
        return;
    }
    this->processes->set_links(word_at(step, 1), word_at(step, 3),
                               relay_hub::mode::open);
}

void scenario::load(const words& step)
{
    const std::string& target = word_at(step, 1);
    const step_options options = options_of(step, 2);
    const std::string name = word_after(step, "as", "load");
    const std::string token = option_or(
        options, "token", team_token(option_or(options, "team", "rake")));
    this->loads[name] = std::make_unique<load_generator>(
        name, this->processes->port(target), token, options);
}

void scenario::end_load(const words& step)
{
    const auto found = this->loads.find(word_at(step, 1));
    require(found != this->loads.end(), "no such load");
    found->second->stop();
}

void scenario::wait_until(const words& step)
{
    const std::string& what = word_at(step, 1);
    const std::string& name = word_at(step, 2);
    const std::map<std::string, std::string> paths = {
        {"status", "/v1/admin/status"},
        {"dump", "/v1/admin/dump"},
        {"starts", "/control/starts?summary=1"},
        {"counts", "/control/counts"}};
    const auto path = paths.find(what);
    require(path != paths.end(), "unknown source " + what);
    nlohmann::json last_value;
    const bool condition_met = wait_for(
        [&]
        {
            const scenario_http_reply reply = http_call(
                {this->processes->port(name), "GET", path->second, "", ""});
            last_value = value_at(reply.json(), word_at(step, 3));
            return !last_value.is_null() &&
                   compare(last_value, word_at(step, 4), word_at(step, 5));
        });
    require(condition_met, "condition not met in time; the last value was " +
                               last_value.dump());
}

void scenario::pause(const words& step)
{
    std::this_thread::sleep_for(
        std::chrono::milliseconds(std::stoi(word_at(step, 1))));
}

void scenario::mask(const words& step)
{
    for (std::size_t index = 1; index < step.size(); ++index)
    {
        this->session.mask(step[index]);
    }
}

void scenario::expect(const words& step)
{
    const auto found = expectations().find(word_at(step, 1));
    if (found != expectations().end())
    {
        (this->*found->second)(step);
        return;
    }
    for (const std::string& name : expand_range(step[1]))
    {
        const std::string& what = word_at(step, 2);
        if (what == "status" || what == "json" || what == "no_reply")
        {
            this->expect_call(name, step);
        }
        else
        {
            this->expect_outcome(name, step);
        }
    }
}

void scenario::expect_call(const std::string& name, const words& step)
{
    const scenario_http_reply& reply = this->find_call(name).reply();
    const std::string seen =
        name + ": status " + std::to_string(reply.status) + " " + reply.body;
    if (step[2] == "no_reply")
    {
        require(reply.status == 0, seen);
    }
    else if (step[2] == "status")
    {
        require(std::to_string(reply.status) == word_at(step, 3), seen);
    }
    else
    {
        require(compare(value_at(reply.json(), word_at(step, 3)),
                        word_at(step, 4), word_at(step, 5)),
                seen);
    }
}

void scenario::expect_outcome(const std::string& name, const words& step)
{
    pending_call& call = this->find_call(name);
    const std::string wanted =
        step[2] == "error" ? "error " + word_at(step, 3) : step[2];
    const std::string target = word_after(step, "via", call.target());
    const scenario_http_reply reply = wanted == "in_progress"
                                          ? call.reply()
                                          : this->final_reply(call, target);
    const std::string seen =
        name + ": status " + std::to_string(reply.status) + " " + reply.body;
    const std::string outcome = wanted.starts_with("error")
                                    ? "error " + std::to_string(reply.status)
                                    : outcome_of(reply);
    require(is_one_of(outcome, wanted), seen);
    for (const auto& [key, value] : options_of(step, 3))
    {
        require(compare(value_at(reply.json(), key), "=", value), seen);
    }
}

void scenario::expect_answers(const words& step)
{
    for (const std::string& name : expand_range(word_at(step, 2)))
    {
        pending_call& call = this->find_call(name);
        const scenario_http_reply reply =
            this->final_reply(call, word_after(step, "via", call.target()));
        require(outcome_of(reply) == "complete", name + ": " + reply.body);
        const std::string error = check_answers(call.body(), reply.json());
        require(error.empty(), name + ": " + error);
    }
}

void scenario::expect_starts(const words& step)
{
    for (const std::string& name : expand_range(word_at(step, 2)))
    {
        pending_call& call = this->find_call(name);
        const std::string job = call.job_id();
        const auto counts = this->count_starts(job);
        const std::size_t tasks = call.body()["tasks"].size();
        for (std::size_t index = 0; index < tasks; ++index)
        {
            const std::string task = job + "/" + std::to_string(index);
            const auto found = counts.find(task);
            const long long count = found == counts.end() ? 0 : found->second;
            require(compare(count, word_at(step, 3), word_at(step, 4)),
                    task + " was started " + std::to_string(count) + " times");
        }
    }
}

void scenario::expect_no_new_starts(const words& step)
{
    const std::string& name = word_at(step, 2);
    require(word_at(step, 3) == "for", "expected: no-new-starts B for N tasks");
    const long long window_tasks = std::stoll(word_at(step, 4));
    const auto other_starts = [&]
    {
        long long sum = 0;
        for (const std::string& backend : this->processes->backends())
        {
            sum += backend == name ? 0 : this->total_starts(backend);
        }
        return sum;
    };
    long long own_starts = this->total_starts(name);
    long long window_start = other_starts();
    const bool condition_met = wait_for(
        [&]
        {
            // Read before this server's own count, so that a start by this
            // server between the two reads is seen and restarts the window.
            const long long elsewhere = other_starts();
            const long long now = this->total_starts(name);
            if (now != own_starts)
            {
                own_starts = now;
                window_start = elsewhere;
            }
            return elsewhere - window_start >= window_tasks;
        });
    require(condition_met,
            name +
                " still starts new tasks, or the other servers start too few");
}

void scenario::expect_no_repeated_starts(const words&)
{
    for (const auto& [task, count] : this->count_starts(""))
    {
        require(count <= 1,
                task + " was started " + std::to_string(count) + " times");
    }
}

void scenario::expect_load(const words& step)
{
    const auto found = this->loads.find(word_at(step, 2));
    require(found != this->loads.end(), "no such load");
    require(word_at(step, 3) == "only", "expected: load L only OUTCOMES");
    const auto errors = found->second->answer_errors();
    require(errors.empty(), errors.empty() ? "" : errors[0]);
    const auto outcomes = found->second->outcomes();
    require(!outcomes.empty(), "no job of the load has ended yet");
    for (const auto& [outcome, count] : outcomes)
    {
        require(is_one_of(outcome, word_at(step, 4)),
                std::to_string(count) + " jobs ended as " + outcome);
    }
}

void scenario::start_call(const std::string& name, const std::string& target,
                          const scenario_http_request& request)
{
    require(!name.empty(),
            "the step does not name its call; expected: as NAME");
    auto& call = this->calls[name];
    call = std::make_unique<pending_call>(target, request);
    if (this->recording)
    {
        this->session.add(target, request, call->reply());
    }
}

std::filesystem::path scenario::find_file(const std::string& name) const
{
    const auto own = this->folder / name;
    return std::filesystem::exists(own) ? own
                                        : this->folder.parent_path() / name;
}

pending_call& scenario::find_call(const std::string& name)
{
    const auto found = this->calls.find(name);
    require(found != this->calls.end(), "no call is named " + name);
    return *found->second;
}

scenario_http_reply scenario::final_reply(pending_call& call,
                                          const std::string& target)
{
    scenario_http_reply reply = call.reply();
    if (target == call.target() && outcome_of(reply) != "in_progress")
    {
        return reply;
    }
    const std::string path = "/v1/jobs/" + call.job_id();
    wait_for(
        [&]
        {
            reply = http_call({this->processes->port(target), "GET", path, "",
                               call.request().token});
            return outcome_of(reply) != "in_progress";
        });
    return reply;
}

std::string scenario::issue_id(const std::string& target,
                               const std::string& token)
{
    const scenario_http_reply reply =
        http_call({this->processes->port(target), "POST", "/v1/ids",
                   R"({"count":1})", token});
    const nlohmann::json id = value_at(reply.json(), "/ids/0");
    require(id.is_string(),
            "the instance issued no job id; it replied: " + reply.body);
    return id;
}

std::map<std::string, long long> scenario::count_starts(const std::string& job)
{
    std::map<std::string, long long> result;
    for (const std::string& backend : this->processes->backends())
    {
        const nlohmann::json reply =
            this->processes->get(backend, "/control/starts?job=" + job);
        for (const auto& [task, count] : reply["starts"].items())
        {
            result[task] += count.get<long long>();
        }
    }
    return result;
}

long long scenario::total_starts(const std::string& backend)
{
    return this->processes->get(backend, "/control/starts?summary=1")["total"];
}

} // namespace jujubedrum
