#include "run_options.hpp"

#include "option_parser.hpp"

#include <cstdlib>

namespace jujubedrum
{

namespace
{

using setter = option_parser<run_options>::setter;

std::optional<double> parse_non_negative(const std::string& text)
{
    char* end = nullptr;
    const double value = std::strtod(text.c_str(), &end);
    const bool usable = !text.empty() && *end == '\0' && value >= 0.0;
    return usable ? std::optional(value) : std::nullopt;
}

template <typename Group, typename Number>
setter number(Group group, Number field)
{
    return [group, field](run_options& options, const std::string& text)
    {
        const auto value = parse_non_negative(text);
        auto& target = group(options).*field;
        target =
            static_cast<std::decay_t<decltype(target)>>(value.value_or(0.0));
        return value.has_value();
    };
}

bool add_entry(run_options& options, const std::string& text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos)
    {
        return false;
    }
    const auto port = parse_non_negative(text.substr(colon + 1));
    options.entries.push_back(
        {text.substr(0, colon), static_cast<int>(port.value_or(0.0))});
    return port.value_or(0.0) > 0.0;
}

std::map<std::string, setter> setters()
{
    const auto own = [](run_options& options) -> run_options&
    { return options; };
    const auto model = [](run_options& options) -> model_options&
    { return options.model; };
    const auto text = [](auto field)
    {
        return [field](run_options& options, const std::string& value)
        {
            field(options) = value;
            return true;
        };
    };
    const auto flag = [](auto field)
    {
        return [field](run_options& options, const std::string&)
        { return field(options) = true; };
    };
    return {
        {"entry", add_entry},
        {"token", text([](run_options & o) -> auto& { return o.token; })},
        {"team", text([](run_options & o) -> auto& { return o.team; })},
        {"profile",
         text([](run_options & o) -> auto& { return o.model.profile; })},
        {"rate", number(own, &run_options::rate)},
        {"senders", number(own, &run_options::senders)},
        {"fastest-speed", number(own, &run_options::fastest_speed)},
        {"work-scale", number(own, &run_options::work_scale)},
        {"load", number(model, &model_options::load)},
        {"tasks", number(model, &model_options::tasks)},
        {"seed", number(model, &model_options::seed)},
        {"servers", number(model, &model_options::servers)},
        {"slots", number(model, &model_options::slots)},
        {"stragglers", number(model, &model_options::stragglers)},
        {"straggle-factor", number(model, &model_options::straggle_factor)},
        {"own-ids", flag([](run_options & o) -> auto& { return o.own_ids; })},
        {"json", flag([](run_options & o) -> auto& { return o.model.json; })}};
}

} // namespace

std::optional<run_options> run_options::parse(int argc, char** argv)
{
    run_options options;
    const option_parser<run_options> parser(setters(), {"json", "own-ids"});
    if (!parser.parse(argc, argv, options))
    {
        return std::nullopt;
    }
    options.model.instances = options.entries.size();
    if (options.team.empty())
    {
        options.team = options.model.profile;
    }
    const bool usable =
        !options.entries.empty() && options.senders >= options.entries.size() &&
        options.model.load > 0.0 && options.model.tasks > 0 &&
        options.model.servers > 0 && options.model.domains > 0 &&
        options.fastest_speed > 0.0 && options.work_scale > 0.0;
    return usable ? std::optional(options) : std::nullopt;
}

} // namespace jujubedrum
