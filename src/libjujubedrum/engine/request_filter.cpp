#include "engine/request_filter.hpp"

#include "base/hash.hpp"

#include <algorithm>
#include <utility>

#include <openssl/crypto.h>

namespace jujubedrum
{

namespace
{

api_reply refusal(int status, std::string code, std::string text)
{
    return api_reply(api_error{status, std::move(code), std::move(text)});
}

int status_of(job_error code)
{
    switch (code)
    {
    case job_error::too_large:
        return 413;
    case job_error::limit:
        return 422;
    default:
        return 400;
    }
}

/// Parses the body with the team's defaults.
class parse_filter : public request_filter
{
public:
    std::optional<api_reply> apply(request_context& context) const override
    {
        const system_settings& system = context.config.system();
        submission_limits limits;
        limits.max_tasks = system.max_tasks_per_job();
        limits.max_payload_bytes = system.max_payload_bytes();
        limits.max_body_bytes = system.max_body_bytes();
        limits.max_run_time = system.max_run_time();
        job_reason why;
        context.job = submission::parse(context.body, limits,
                                        kind_defaults_of(context.config), why);
        if (context.job)
        {
            return std::nullopt;
        }
        return refusal(status_of(why.code()),
                       why.code() == job_error::too_large ? "too_large"
                                                          : "malformed",
                       why.message());
    }
};

class authenticate_filter : public request_filter
{
public:
    std::optional<api_reply> apply(request_context& context) const override
    {
        return authenticate(context.config, context.job->team(), context.token);
    }
};

/// Applies the team's own limits.
class limits_filter : public request_filter
{
public:
    std::optional<api_reply> apply(request_context& context) const override
    {
        const team_settings* team =
            context.config.find_team(context.job->team());
        if (context.job->tasks().size() <= team->max_tasks_per_job())
        {
            return std::nullopt;
        }
        return refusal(413, "too_large",
                       "/tasks: the team may submit at most " +
                           std::to_string(team->max_tasks_per_job()) +
                           " tasks in a job");
    }
};

class deadline_filter : public request_filter
{
public:
    std::optional<api_reply> apply(request_context& context) const override
    {
        const team_settings* team =
            context.config.find_team(context.job->team());
        context.remaining =
            context.job->deadline().value_or(team->default_deadline());
        return std::nullopt;
    }
};

} // namespace

default_options_lookup kind_defaults_of(const document& config)
{
    return [&config](const std::string& team, const std::string& kind)
    {
        task_options defaults;
        const team_settings* settings = config.find_team(team);
        const kind_settings* declared =
            settings == nullptr ? nullptr : settings->find_kind(kind);
        if (declared != nullptr)
        {
            defaults.repeatable = declared->repeatable();
            defaults.run_time = declared->run_time();
            defaults.memory_mb = declared->memory_mb();
        }
        return defaults;
    };
}

bool contains_digest(const std::vector<std::string>& known,
                     const std::string& digest)
{
    return std::any_of(known.begin(), known.end(),
                       [&digest](const std::string& entry)
                       {
                           return entry.size() == digest.size() &&
                                  CRYPTO_memcmp(entry.data(), digest.data(),
                                                digest.size()) == 0;
                       });
}

filter_chain filter_chain::for_submissions()
{
    filter_chain chain;
    chain.filters.push_back(std::make_unique<parse_filter>());
    chain.filters.push_back(std::make_unique<authenticate_filter>());
    chain.filters.push_back(std::make_unique<limits_filter>());
    chain.filters.push_back(std::make_unique<deadline_filter>());
    return chain;
}

std::optional<api_reply> filter_chain::apply(request_context& context) const
{
    for (const auto& filter : this->filters)
    {
        if (auto refused = filter->apply(context))
        {
            return refused;
        }
    }
    return std::nullopt;
}

std::optional<api_reply> authenticate(const document& config,
                                      const std::string& team,
                                      const std::string& token)
{
    if (token.empty())
    {
        return refusal(401, "no_token",
                       "send the team's token as Authorization: Bearer TOKEN");
    }
    const std::string digest = sha256_hex(token);
    const team_settings* settings = config.find_team(team);
    if (settings != nullptr &&
        contains_digest(settings->caller_token_sha256(), digest))
    {
        return std::nullopt;
    }
    if (!team_of(config, token))
    {
        return refusal(401, "unknown_token", "the token is unknown");
    }
    return refusal(403, "wrong_team",
                   "the token does not belong to team \"" + team + "\"");
}

std::optional<std::string> team_of(const document& config,
                                   const std::string& token)
{
    const std::string digest = sha256_hex(token);
    for (const std::string& name : config.team_names())
    {
        if (contains_digest(config.find_team(name)->caller_token_sha256(),
                            digest))
        {
            return name;
        }
    }
    return std::nullopt;
}

} // namespace jujubedrum
