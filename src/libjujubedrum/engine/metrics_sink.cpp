#include "engine/metrics_sink.hpp"

namespace jujubedrum
{

std::string_view to_string(message_cause cause)
{
    switch (cause)
    {
    case message_cause::control:
        return "control";
    case message_cause::forward:
        return "forward";
    case message_cause::grant:
        return "grant";
    case message_cause::claim:
        return "claim";
    case message_cause::duplicate:
        return "duplicate";
    case message_cause::refusal:
        return "refusal";
    case message_cause::stop:
        return "stop";
    }
    return "other";
}

} // namespace jujubedrum
