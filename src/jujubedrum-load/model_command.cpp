#include "model_command.hpp"

#include "arrival_schedule.hpp"
#include "model_cluster.hpp"
#include "option_parser.hpp"
#include "perfect_replay.hpp"
#include "policy_model.hpp"

#include <cstdio>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace jujubedrum
{

namespace
{

constexpr const char* usage_text =
    "usage: jujubedrum-load model [options]\n"
    "  --profile rake|orders     arrivals (rake)\n"
    "  --policy NAME|all         owned_slots, round_robin, random_choice,\n"
    "                            two_choices (all)\n"
    "  --servers N --slots N --instances N --domains N\n"
    "                            installation (48, 8, 9, 3)\n"
    "  --load X                  share of the capacity used (0.7)\n"
    "  --tasks N --seed N        length and random seed (200000, 1)\n"
    "  --stragglers N            servers that run slower (0)\n"
    "  --straggle-factor X       by this factor (5)\n"
    "  --straggle-period-ms N    other servers straggle after N ms (0: never)\n"
    "  --delay-us N              one-way delay between domains (profile's)\n"
    "  --borrow none|domain|region\n"
    "                            peers to borrow slots from (region)\n"
    "  --objective response_time|messages\n"
    "                            preset of the late ratio\n"
    "  --slack X --wait X --late-ratio X\n"
    "                            single parameters of owned_slots\n"
    "  --linger-ms N --reserve X --headroom X --lend idle|fastest|slowest\n"
    "                            single grant parameters\n"
    "  --heartbeat-ms N --heartbeat-peers N\n"
    "                            heartbeats of each instance (2000, 1)\n"
    "  --no-hedge                never start a second copy of a task\n"
    "  --submission-order        start the tasks of a job as submitted, not\n"
    "                            the longest first\n"
    "  --json                    print JSON instead of a table\n";

using setter = option_parser<model_options>::setter;

template <typename Number>
setter number(Number model_options::*field)
{
    return [field](model_options& options, const std::string& text)
    {
        char* end = nullptr;
        const double value = std::strtod(text.c_str(), &end);
        options.*field = static_cast<Number>(value);
        return !text.empty() && *end == '\0' && value >= 0.0;
    };
}

setter duration(microseconds model_options::*field, microseconds unit)
{
    return [field, unit](model_options& options, const std::string& text)
    {
        char* end = nullptr;
        const long long value = std::strtoll(text.c_str(), &end, 10);
        options.*field = unit * value;
        return !text.empty() && *end == '\0' && value >= 0;
    };
}

template <typename Group>
setter ratio(Group model_options::*group, double Group::*field)
{
    return [group, field](model_options& options, const std::string& text)
    {
        char* end = nullptr;
        (options.*group).*field = std::strtod(text.c_str(), &end);
        return !text.empty() && *end == '\0';
    };
}

bool set_objective(model_options& options, const std::string& text)
{
    const bool messages = text == "messages";
    options.tuning = placement_tuning::for_objective(
        messages ? placement_objective::messages
                 : placement_objective::response_time);
    return messages || text == "response_time";
}

template <typename Value>
setter one_of(Value model_options::*field, std::map<std::string, Value> values)
{
    return [field, values](model_options& options, const std::string& text)
    {
        const auto found = values.find(text);
        if (found != values.end())
        {
            options.*field = found->second;
        }
        return found != values.end();
    };
}

setter name(std::string model_options::*field)
{
    return [field](model_options& options, const std::string& text)
    {
        options.*field = text;
        return true;
    };
}

setter flag(bool model_options::*field, bool value)
{
    return [field, value](model_options& options, const std::string&)
    {
        options.*field = value;
        return true;
    };
}

bool set_lend_order(model_options& options, const std::string& text)
{
    static const std::map<std::string, lend_order> orders{
        {"idle", lend_order::most_idle},
        {"fastest", lend_order::fastest},
        {"slowest", lend_order::slowest}};
    const auto found = orders.find(text);
    if (found == orders.end())
    {
        return false;
    }
    options.grants.order = found->second;
    return true;
}

bool set_idle_grace_period(model_options& options, const std::string& text)
{
    options.grants.idle_grace_period = milliseconds(std::atoll(text.c_str()));
    return options.grants.idle_grace_period > microseconds(0);
}

std::map<std::string, setter> model_setters()
{
    return {
        {"profile", name(&model_options::profile)},
        {"policy", name(&model_options::policy)},
        {"servers", number(&model_options::servers)},
        {"slots", number(&model_options::slots)},
        {"instances", number(&model_options::instances)},
        {"domains", number(&model_options::domains)},
        {"load", number(&model_options::load)},
        {"tasks", number(&model_options::tasks)},
        {"seed", number(&model_options::seed)},
        {"stragglers", number(&model_options::stragglers)},
        {"straggle-factor", number(&model_options::straggle_factor)},
        {"straggle-period-ms",
         duration(&model_options::straggle_period, milliseconds(1))},
        {"delay-us", duration(&model_options::delay, microseconds(1))},
        {"borrow", one_of<borrow_scope>(&model_options::scope,
                                        {{"none", borrow_scope::none},
                                         {"domain", borrow_scope::domain},
                                         {"region", borrow_scope::region}})},
        {"linger-ms", set_idle_grace_period},
        {"reserve", ratio(&model_options::grants, &grant_options::reserve)},
        {"headroom", ratio(&model_options::grants, &grant_options::headroom)},
        {"objective", set_objective},
        {"slack",
         ratio(&model_options::tuning, &placement_tuning::slack_share)},
        {"wait", ratio(&model_options::tuning, &placement_tuning::wait_share)},
        {"late-ratio",
         ratio(&model_options::tuning, &placement_tuning::late_ratio)},
        {"lend", set_lend_order},
        {"heartbeat-ms", duration(&model_options::heartbeat, milliseconds(1))},
        {"heartbeat-peers", number(&model_options::heartbeat_peers)},
        {"no-hedge", flag(&model_options::hedge, false)},
        {"submission-order", flag(&model_options::longest_first, false)},
        {"json", flag(&model_options::json, true)}};
}

std::optional<model_options> parse_options(int argc, char** argv)
{
    model_options options;
    const option_parser<model_options> parser(
        model_setters(), {"json", "no-hedge", "submission-order"});
    if (!parser.parse(argc, argv, options))
    {
        return std::nullopt;
    }
    const bool usable =
        options.servers > 0 && options.slots > 0 && options.domains > 0 &&
        options.servers >= options.domains &&
        options.instances >= options.domains && options.load > 0.0 &&
        options.tasks > 0 && options.heartbeat > microseconds(0);
    return usable ? std::optional(options) : std::nullopt;
}

nlohmann::json to_json(const latency_summary& summary)
{
    return {{"jobs", summary.count()},
            {"mean", summary.mean()},
            {"p50", summary.p50()},
            {"p99", summary.p99()},
            {"p99.9", summary.p999()}};
}

nlohmann::json to_json(const model_result& result)
{
    nlohmann::json causes = nlohmann::json::object();
    for (const auto& [cause, count] : result.messages)
    {
        causes[cause] = result.messages_per_task(cause);
    }
    return {{"policy", result.policy},
            {"all", to_json(result.all)},
            {"repeatable", to_json(result.repeatable)},
            {"messages_per_task", result.messages_per_task()},
            {"messages_by_cause", causes}};
}

void print_row(const model_result& result)
{
    std::printf("%-16s %6.2f %6.2f %6.2f   %6.2f %6.2f %6.2f   %6.3f ",
                result.policy.c_str(), result.all.p50(), result.all.p99(),
                result.all.p999(), result.repeatable.p50(),
                result.repeatable.p99(), result.repeatable.p999(),
                result.messages_per_task());
    for (const auto& [cause, count] : result.messages)
    {
        std::printf(" %s=%.3f", cause.c_str(), result.messages_per_task(cause));
    }
    std::printf("\n");
}

void print_table(const std::vector<model_result>& results)
{
    std::printf("%-16s %20s   %20s   %6s  %s\n", "", "all: p50/p99/p99.9",
                "repeatable", "msgs", "messages per task by cause");
    for (const model_result& result : results)
    {
        print_row(result);
    }
}

} // namespace

int run_model_command(int argc, char** argv)
{
    const auto options = parse_options(argc, argv);
    if (!options)
    {
        std::cerr << usage_text;
        return 2;
    }
    const model_cluster cluster(*options);
    const auto schedule = arrival_schedule::make(*options, cluster.capacity());
    placement_reason why;
    std::vector<std::string> policies{options->policy};
    if (options->policy == "all")
    {
        policies = {"owned_slots", "two_choices", "round_robin",
                    "random_choice"};
    }
    slot_pool pool;
    server_stats stats;
    random_source random(options->seed);
    if (!schedule || !make_policy(policies.front(), {pool, stats, random}, why))
    {
        std::cerr << usage_text << why.message() << "\n";
        return 2;
    }
    std::vector<model_result> results;
    results.push_back(perfect_replay(cluster, *schedule, false).run());
    results.push_back(perfect_replay(cluster, *schedule, true).run());
    for (const std::string& policy : policies)
    {
        results.push_back(
            policy_model(*options, cluster, *schedule, policy).run());
    }
    if (options->json)
    {
        nlohmann::json rows = nlohmann::json::array();
        for (const model_result& result : results)
        {
            rows.push_back(to_json(result));
        }
        std::cout << rows.dump(2) << "\n";
        return 0;
    }
    print_table(results);
    return 0;
}

} // namespace jujubedrum
