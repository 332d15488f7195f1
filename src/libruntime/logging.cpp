#include "logging.hpp"

INITIALIZE_EASYLOGGINGPP

namespace jujubedrum
{

void configure_logging(const std::string& level)
{
    el::Configurations config;
    config.setToDefault();
    config.setGlobally(el::ConfigurationType::Format,
                       "%datetime{%Y-%M-%dT%H:%m:%s.%g} %level %msg");
    config.setGlobally(el::ConfigurationType::ToFile, "false");
    config.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    const bool debug = level == "debug";
    const bool info = debug || level == "info";
    const bool warning = info || level == "warning";
    const auto enable = [&config](el::Level at, bool on)
    { config.set(at, el::ConfigurationType::Enabled, on ? "true" : "false"); };
    enable(el::Level::Debug, debug);
    enable(el::Level::Info, info);
    enable(el::Level::Warning, warning);
    el::Loggers::reconfigureAllLoggers(config);
}

} // namespace jujubedrum
