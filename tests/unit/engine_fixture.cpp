#include "engine_fixture.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

#include <nlohmann/json.hpp>

namespace jujubedrum::tests
{

namespace
{

constexpr microseconds tick_step = milliseconds(25);

} // namespace

engine_testbed::engine_testbed(std::uint64_t seed, std::size_t instance_count,
                               std::size_t server_count)
    : random(seed)
    , admin(key_pair::generate(this->why).value())
{
    this->tunables.id_lifetime = seconds(60);
    this->tunables.answer_lifetime = seconds(60);
    this->tunables.claim_window = seconds(60);
    this->tunables.log_retention = seconds(200);
    for (std::size_t i = 0; i < server_count; ++i)
    {
        testbed_server server;
        server.name = "b" + std::to_string(i);
        this->servers.push_back(server);
    }
    for (std::size_t i = 0; i < instance_count; ++i)
    {
        testbed_instance instance;
        instance.self.name = "e" + std::to_string(i);
        instance.self.domain = "d1";
        instance.self.region = "r1";
        instance.self.address = instance.self.name;
        instance.self.port = 1;
        instance.self.rpc_port = 2;
        this->instances.push_back(std::move(instance));
    }
    this->append("config",
                 config_edit::create(
                     section_name::system(), "admin", 0, "s",
                     R"({"team_keys":{"t":")" + this->admin.public_key() +
                         R"(","u":")" + this->admin.public_key() + "\"}}",
                     this->why)
                     .value()
                     .sign(this->admin)
                     .to_record());
    this->edit("{}");
    for (std::size_t i = 0; i < instance_count; ++i)
    {
        this->restart(i);
    }
    this->run(seconds(3));
}

void engine_testbed::edit(const std::string& text)
{
    const auto edit = config_edit::create(
        section_name::parse("teams/t").value(), "t", this->base,
        "edit" + std::to_string(++this->last_id), text, this->why);
    this->base =
        1 + this->append("config", edit->sign(this->admin).to_record());
}

void engine_testbed::after(microseconds delay, std::function<void()> run)
{
    this->timers.push({this->now + delay, ++this->last_timer, std::move(run)});
}

void engine_testbed::run(microseconds span)
{
    const instant end = this->now + span;
    while (!this->timers.empty() && this->timers.top().at <= end)
    {
        const timer next = this->timers.top();
        this->timers.pop();
        this->now = std::max(this->now, next.at);
        next.run();
    }
    this->now = end;
}

const testbed_request& engine_testbed::wait(request_token token,
                                            microseconds span)
{
    const instant end = this->now + span;
    while (this->now < end && this->at(token).replies == 0)
    {
        this->run(milliseconds(10));
    }
    return this->at(token);
}

void engine_testbed::restart(std::size_t index, const std::string& name)
{
    testbed_instance& instance = this->instances[index];
    if (instance.engine)
    {
        this->kill(index);
    }
    if (!name.empty())
    {
        instance.self.name = instance.self.address = name;
    }
    if (instance.incarnation == 0 ||
        this->bug != injected_bug::same_incarnation)
    {
        instance.incarnation = this->random.next() | 1U;
    }
    engine_options options;
    options.self = instance.self;
    options.incarnation = instance.incarnation;
    options.admin_public_key = this->admin.public_key();
    options.tunables = this->tunables;
    options.seed = this->random.next();
    instance.engine = std::make_unique<dispatch_engine>(options, this->metrics);
    instance.config_next = 0;
    instance.revision = 0;
    this->publish();
    this->tick(index, instance.incarnation, 0);
}

void engine_testbed::kill(std::size_t index)
{
    testbed_instance& instance = this->instances[index];
    instance.engine.reset();
    instance.suspended = false;
    instance.held_events.clear();
    instance.busy.clear();
    instance.attempts.clear();
    for (auto& [token, request] : this->requests)
    {
        request.instance_died =
            request.instance_died ||
            (request.instance == index && request.replies == 0);
    }
    for (auto& [token, call] : this->calls)
    {
        if (call.to == index)
        {
            this->fail_call(token, peer_delivery::unknown);
        }
    }
    this->publish();
}

void engine_testbed::suspend(std::size_t index)
{
    this->instances[index].suspended = this->instances[index].engine != nullptr;
}

void engine_testbed::resume(std::size_t index)
{
    testbed_instance& instance = this->instances[index];
    instance.suspended = false;
    for (event& next : std::exchange(instance.held_events, {}))
    {
        this->handle(index, std::move(next));
    }
}

void engine_testbed::clear_faults()
{
    this->faults = {};
    for (testbed_server& server : this->servers)
    {
        server.slowdown = 1.0;
        server.fail = server.refuse = server.draining = server.drop_reply =
            false;
        server.listed = true;
        server.reply_delay = microseconds(0);
        server.partition = 0;
    }
    for (std::size_t i = 0; i < this->instances.size(); ++i)
    {
        this->instances[i].partition = 0;
        this->resume(i);
        if (!this->instances[i].engine || this->instances[i].engine->draining())
        {
            this->restart(i);
        }
    }
    this->publish();
}

void engine_testbed::publish()
{
    instance_page page;
    page.version = this->pages.size() + 1;
    page.full = true;
    for (const testbed_instance& instance : this->instances)
    {
        if (instance.engine)
        {
            page.changes.push_back(instance.self);
        }
    }
    for (const testbed_server& server : this->servers)
    {
        instance_info info;
        info.name = info.address = server.name;
        info.role = instance_role::backend;
        info.domain = server.domain;
        info.region = "r1";
        info.port = 1;
        info.slots = server.slots;
        info.memory_mb = 1000;
        info.state = server.listed ? listed_state::live : listed_state::leaving;
        page.changes.push_back(info);
    }
    this->pages.emplace_back(this->now, std::move(page));
}

std::string engine_testbed::new_id(std::size_t instance)
{
    const request_token token = ++this->last_token;
    this->send(instance, ids_event{token, 1});
    return this->blocks.at(token).first().text();
}

std::string engine_testbed::chosen_id()
{
    return "c" + std::to_string(++this->last_id);
}

std::string engine_testbed::body(const std::string& id, std::size_t tasks,
                                 bool repeatable, int run_ms, int deadline_ms,
                                 const std::string& payload)
{
    nlohmann::json job = {{"team", "t"}, {"deadline_ms", deadline_ms}};
    if (!id.empty())
    {
        job["id"] = id;
    }
    job["created_at_ms"] = this->wall().count();
    for (std::size_t i = 0; i < tasks; ++i)
    {
        job["tasks"].push_back({{"kind", "k" + std::to_string(run_ms)},
                                {"payload", nlohmann::json::parse(payload)},
                                {"memory_mb", 10},
                                {"run_ms", run_ms},
                                {"repeatable", repeatable}});
    }
    return job.dump();
}

request_token engine_testbed::submit(std::size_t index, const std::string& body)
{
    job_reason reason;
    auto job = submission::parse(body, submission_limits(), reason);
    if (job->id().empty())
    {
        job = job->with_id(this->new_id(index));
    }
    const request_token token = ++this->last_token;
    this->requests[token] = {job->id(), index, 0, false, std::nullopt};
    testbed_job& known = this->jobs[job->id()];
    if (known.copies++ == 0)
    {
        known.body = job->to_json();
        known.tasks = job->tasks().size();
        known.repeatable = job->tasks()[0].repeatable();
    }
    const microseconds remaining = *job->deadline();
    this->send(index, submit_event{token, std::move(*job), remaining, 0});
    return token;
}

request_token engine_testbed::collect(std::size_t index, const std::string& id)
{
    const request_token token = ++this->last_token;
    this->requests[token] = {id, index, 0, false, std::nullopt};
    this->send(index, collect_event{token, id, "t", 0});
    return token;
}

request_token engine_testbed::cancel(std::size_t index, const std::string& id)
{
    const request_token token = ++this->last_token;
    this->requests[token] = {id, index, 0, false, std::nullopt};
    this->send(index, cancel_event{token, id, "t", 0});
    return token;
}

void engine_testbed::send(std::size_t instance, event next)
{
    this->post(instance, this->instances[instance].incarnation,
               std::move(next));
}

std::string engine_testbed::result(request_token token) const
{
    const testbed_request& request = this->at(token);
    if (!request.answer)
    {
        return "none";
    }
    return request.answer->error() != nullptr
               ? request.answer->error()->code
               : std::string(to_string(request.answer->result()->kind()));
}

int engine_testbed::starts(const std::string& id) const
{
    const auto found = this->jobs.find(id);
    return found == this->jobs.end() ? 0 : found->second.starts;
}

void engine_testbed::post(std::size_t index, std::uint64_t incarnation,
                          event next)
{
    testbed_instance& instance = this->instances[index];
    if (!instance.engine || instance.incarnation != incarnation)
    {
        return;
    }
    if (instance.suspended)
    {
        instance.held_events.push_back(std::move(next));
        return;
    }
    this->handle(index, std::move(next));
}

void engine_testbed::handle(std::size_t index, event next)
{
    testbed_instance& instance = this->instances[index];
    if (!instance.engine)
    {
        return;
    }
    ++this->steps;
    if (const auto* ended = std::get_if<task_event>(&next))
    {
        --instance.busy[instance.attempts[ended->attempt]];
    }
    for (action& made :
         instance.engine->handle(std::move(next), this->now, this->wall()))
    {
        std::visit([this, index](auto&& value)
                   { this->perform(index, std::move(value)); },
                   std::move(made));
    }
    const std::uint64_t revision = instance.engine->document().revision();
    if (revision < instance.revision)
    {
        this->violate("the configuration revision of " + instance.self.name +
                      " decreased");
    }
    instance.revision = revision;
}

void engine_testbed::tick(std::size_t index, std::uint64_t incarnation,
                          int round)
{
    testbed_instance& instance = this->instances[index];
    if (!instance.engine || instance.incarnation != incarnation)
    {
        return;
    }
    if (!instance.suspended)
    {
        if (round % 20 == 0)
        {
            this->poll_list(index);
        }
        if (round % 8 == 0)
        {
            this->poll_config(index);
        }
        this->handle(index, tick_event{});
    }
    this->after(tick_step, [this, index, incarnation, round]
                { this->tick(index, incarnation, round + 1); });
}

void engine_testbed::poll_list(std::size_t index)
{
    if (this->faults.list_down || this->instances[index].partition != 0)
    {
        return;
    }
    for (auto at = this->pages.rbegin(); at != this->pages.rend(); ++at)
    {
        if (at->first <= this->now - this->faults.list_lag)
        {
            this->handle(index, list_event{at->second, this->now});
            return;
        }
    }
}

void engine_testbed::poll_config(std::size_t index)
{
    testbed_instance& instance = this->instances[index];
    if (this->faults.log_down || instance.partition != 0)
    {
        this->handle(index, read_failed_event{"config"});
        return;
    }
    records_event page = this->read("config", instance.config_next);
    instance.config_next = page.next;
    this->handle(index, std::move(page));
}

void engine_testbed::violate(const std::string& text)
{
    this->violations.push_back("t=" + std::to_string(this->now.count() / 1000) +
                               "ms " + text);
}

std::uint64_t engine_testbed::append(const std::string& name,
                                     const std::string& record)
{
    stream& log = this->streams[name];
    log.records.emplace_back(this->now, record);
    return log.first + log.records.size() - 1;
}

records_event engine_testbed::read(const std::string& name, std::uint64_t from)
{
    stream& log = this->streams[name];
    while (!log.records.empty() &&
           this->now - log.records.front().first > this->tunables.log_retention)
    {
        log.records.pop_front();
        ++log.first;
    }
    records_event page;
    page.stream = name;
    page.from = from;
    page.first_retained = log.first;
    page.next = std::max(from, log.first);
    const std::uint64_t end = log.first + log.records.size();
    while (page.next < end && page.records.size() < 20)
    {
        page.records.push_back(
            {page.next, log.records[page.next - log.first].second});
        ++page.next;
    }
    page.at_end = page.next >= end;
    return page;
}

void engine_testbed::on_start(const std::string& task)
{
    const std::string id = task.substr(0, task.rfind('/'));
    testbed_job& job = this->jobs[id];
    ++job.starts;
    if (++this->task_starts[task] > 1 && !job.repeatable)
    {
        this->violate("non-repeatable task started twice: " + task);
    }
    if (job.refused)
    {
        this->violate("started after not_run: " + task);
    }
}

void engine_testbed::check_reply(const testbed_request& request)
{
    if (request.replies > 1)
    {
        this->violate("second reply to a request about " + request.id);
    }
    const outcome* result = request.answer->result();
    if (result == nullptr)
    {
        return;
    }
    testbed_job& job = this->jobs[request.id];
    if (result->kind() == outcome_kind::not_run)
    {
        job.refused = true;
        if (job.starts > 0)
        {
            this->violate("not_run after a start: " + request.id + ": " +
                          result->text());
        }
    }
    if (result->kind() != outcome_kind::complete)
    {
        return;
    }
    bool right = result->answers().size() == job.tasks;
    for (std::size_t i = 0; right && i < job.tasks; ++i)
    {
        right = result->answers()[i] ==
                "\"" + request.id + "/" + std::to_string(i) + "\"";
    }
    if (!right)
    {
        this->violate("wrong number or content of answers of " + request.id);
    }
}

void engine_testbed::check_slots()
{
    for (const testbed_instance& instance : this->instances)
    {
        if (!instance.engine)
        {
            continue;
        }
        const auto state =
            nlohmann::json::parse(instance.engine->dump(this->now));
        for (const auto& server : state["servers"])
        {
            const auto open = instance.busy.find(server["name"]);
            if (server["busy"].get<int>() !=
                (open == instance.busy.end() ? 0 : open->second))
            {
                this->violate(
                    "busy slots differ from attempts in flight: server " +
                    server.dump() + " on " + instance.self.name);
            }
        }
    }
}

void engine_testbed::perform(std::size_t /*node*/, reply_action&& next)
{
    if (this->calls.contains(next.token))
    {
        this->answer_peer(next.token, job_reply{next.reply.body()});
        return;
    }
    testbed_request& request = this->requests.at(next.token);
    ++request.replies;
    request.answer = std::move(next.reply);
    this->check_reply(request);
}

void engine_testbed::perform(std::size_t /*node*/, ids_action&& next)
{
    this->blocks.emplace(next.token, next.block);
}

void engine_testbed::perform(std::size_t index, send_task_action&& next)
{
    testbed_instance& instance = this->instances[index];
    const task_request& request = next.request;
    testbed_server& server =
        *std::find_if(this->servers.begin(), this->servers.end(),
                      [&request](const testbed_server& one)
                      { return one.name == request.server; });
    testbed_job& job =
        this->jobs[request.task.substr(0, request.task.rfind('/'))];
    job.runners.insert(instance.incarnation);
    if (job.runners.size() > 1)
    {
        this->violate("task sent by two processes: " + request.task);
    }
    ++instance.busy[server.name];
    ++server.received;
    task_reply reply;
    reply.error = "fault";
    microseconds delay = milliseconds(1);
    const bool cut =
        server.partition >= 0 && server.partition != instance.partition;
    if (server.refuse || server.draining || cut)
    {
        reply.status = send_status::not_started;
        reply.draining = server.draining;
    }
    else
    {
        this->on_start(request.task);
        delay +=
            server.reply_delay +
            microseconds(static_cast<std::int64_t>(
                static_cast<double>(microseconds(request.run_time).count()) *
                server.slowdown));
        reply.run_time = delay;
        reply.status = server.fail || request.payload == "\"poison\""
                           ? send_status::task_failed
                           : send_status::answered;
        reply.result = "\"" + request.task + "\"";
        if (server.drop_reply || delay > request.timeout)
        {
            delay = std::min<microseconds>(delay, request.timeout);
            reply.status = this->bug == injected_bug::unknown_as_not_started
                               ? send_status::not_started
                               : send_status::unknown;
        }
    }
    instance.attempts[next.attempt] = server.name;
    this->after(delay,
                [this, index, incarnation = instance.incarnation,
                 attempt = next.attempt, reply] {
                    this->post(index, incarnation, task_event{attempt, reply});
                });
}

void engine_testbed::perform(std::size_t /*node*/, stop_task_action&& next)
{
    ++this->task_stops[next.task];
}

void engine_testbed::perform(std::size_t index, call_peer_action&& next)
{
    const request_token token = ++this->last_token;
    const auto to = static_cast<std::size_t>(
        std::find_if(this->instances.begin(), this->instances.end(),
                     [&next](const testbed_instance& one)
                     { return one.self.name == next.peer.name; }) -
        this->instances.begin());
    // An unknown name belongs to an instance that was restarted under another
    // name. Index 0 is a placeholder, since the call is never delivered.
    const bool known = to < this->instances.size();
    this->calls[token] = {index, this->instances[index].incarnation, next.call,
                          known ? to : 0, false};
    const bool up = known && this->instances[to].engine != nullptr;
    if (!up ||
        this->instances[to].partition != this->instances[index].partition)
    {
        this->after(milliseconds(up ? 500 : 1), [this, token]
                    { this->fail_call(token, peer_delivery::not_sent); });
        return;
    }
    microseconds timeout = seconds(2);
    if (const auto* job = std::get_if<submit_request>(&next.request))
    {
        timeout = job->remaining + seconds(1);
    }
    else if (const auto* query = std::get_if<collect_request>(&next.request))
    {
        timeout = query->max_wait + seconds(1);
    }
    this->after(timeout, [this, token]
                { this->fail_call(token, peer_delivery::unknown); });
    if (this->random.unit() < this->faults.drop_request)
    {
        return;
    }
    this->after(
        this->faults.peer_delay,
        [this, token, to, incarnation = this->instances[to].incarnation,
         request = std::move(next.request)] {
            this->post(to, incarnation, peer_request_event{token, request});
        });
}

void engine_testbed::perform(std::size_t /*node*/, reply_peer_action&& next)
{
    this->answer_peer(next.token, std::move(next.reply));
}

void engine_testbed::answer_peer(request_token token, peer_reply reply)
{
    const peer_call& call = this->calls.at(token);
    if (this->random.unit() < this->faults.drop_reply ||
        this->instances[call.from].partition !=
            this->instances[call.to].partition)
    {
        return;
    }
    this->after(this->faults.peer_delay,
                [this, token, reply = std::move(reply)]
                {
                    peer_call& open = this->calls.at(token);
                    if (std::exchange(open.answered, true))
                    {
                        return;
                    }
                    this->post(open.from, open.incarnation,
                               peer_reply_event{open.call, reply});
                });
}

void engine_testbed::fail_call(request_token token, peer_delivery delivery)
{
    peer_call& call = this->calls.at(token);
    if (std::exchange(call.answered, true))
    {
        return;
    }
    this->after(microseconds(1),
                [this, call, delivery]
                {
                    this->post(call.from, call.incarnation,
                               peer_reply_event{
                                   call.call, peer_failure{peer_error::timeout,
                                                           delivery, "fault"}});
                });
}

void engine_testbed::perform(std::size_t index, append_action&& next)
{
    const std::uint64_t incarnation = this->instances[index].incarnation;
    append_event result{next.stream, next.nonce, std::nullopt, true};
    microseconds delay =
        this->faults.log_slow ? milliseconds(800) : milliseconds(5);
    if (!this->faults.log_down && this->instances[index].partition == 0)
    {
        result.not_written = false;
        if (!this->faults.drop_append_replies)
        {
            result.offset = this->append(next.stream, next.record);
        }
        else
        {
            this->after(milliseconds(this->random.below(4500)),
                        [this, stream = next.stream, record = next.record]
                        { this->append(stream, record); });
        }
    }
    this->after(delay, [this, index, incarnation, result]
                { this->post(index, incarnation, result); });
}

void engine_testbed::perform(std::size_t index, read_action&& next)
{
    const std::uint64_t incarnation = this->instances[index].incarnation;
    this->after(
        milliseconds(this->faults.log_slow ? 400 : 3),
        [this, index, incarnation, next = std::move(next)]
        {
            if (this->faults.log_down || this->instances[index].partition != 0)
            {
                this->post(index, incarnation, read_failed_event{next.stream});
                return;
            }
            this->post(index, incarnation, this->read(next.stream, next.from));
        });
}

} // namespace jujubedrum::tests
