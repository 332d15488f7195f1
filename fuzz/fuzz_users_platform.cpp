#include "caller_adapter.hpp"
#include "documents.hpp"
#include "json_reader.hpp"
#include "log_codec.hpp"
#include "node/node_settings.hpp"
#include "node/peer_message.hpp"
#include "server_adapter.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

std::vector<std::string> fuzz_seeds()
{
    using namespace jujubedrum;
    submit_message submitted;
    submitted.request.steps.resize(2);
    heartbeat_message heartbeat;
    heartbeat.instance = {"e1", 7, "d1", 250, false, {{{"d1", 3}, 4096, true}}};
    constexpr std::size_t length_bytes = 4;
    return {
        std::string(16, '\0') + encode_record("ab"),
        "\x02idvalue",
        R"({"items":[{"key":"k","value":"aGVsbG8="}],"hasMore":true,"end":6})",
        R"({"version":7,"routes":[{"host":"h","pathPrefix":"/p/"}]})",
        R"({"backend":"s","address":"10.0.0.9:80","zone":"d1",)"
        R"("state":"ready","capacity":{"cpu":16000},"labels":["a"]})",
        R"({"clockMs":1,"running":[["a.0.1.17",2,"",41]],)"
        R"("finished":[[58,"a.0.1.9",1,"done",""]]})",
        R"({"bestEffort":true,"steps":[{"count":4,"cpu":1,"after":[0]}]})",
        R"({"backend":"s","address":"10.0.0.9:99999","zone":"d1",)"
        R"("state":"ready","capacity":{"cpu":-1},"born":1e308})",
        R"({"version":18446744073709551616,"routes":[],"limits":[[[[]]]]})",
        R"({"name":"a","address":"10.0.0.1","port":65616,"boot":-1})",
        R"({"bestEffort":true,"steps":[{"count":1,"cpu":-1,)"
        R"("estRuntimeMs":1e308}]})",
        R"({"clockMs":1e308,"running":[["a.0.1.17",-1,"",3.7]],)"
        R"("finished":[]})",
        "{\"taskSpec\":\"\xff\"}",
        encode_frame(submitted).substr(length_bytes),
        encode_frame(heartbeat).substr(length_bytes)};
}

/// Feeds the input to every decoder of the users' platform and of the links
/// between instances. None may crash; an accepted submission must have steps
/// with bounded estimates, and an accepted server a port.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size)
{
    using namespace jujubedrum;
    const std::string_view text(reinterpret_cast<const char*>(data), size);
    std::string why;
    submission_refusal refusal;
    config_reason reason;
    (void)decode_log_page(text);
    (void)decode_keyed_record(text);
    (void)decode_newest_page(text);
    (void)decode_append_offset(text);
    (void)decode_first_offset(text);
    (void)decode_configuration(text, why);
    (void)decode_member(text);
    (void)decode_poll_reply(text);
    (void)decode_task(text);
    (void)decode_message(text, why);
    (void)node_settings::load(text, reason);
    const auto job = decode_submission("5c0e7a21d94b36f8", text, refusal);
    const bool too_long =
        job && std::any_of(job->steps.begin(), job->steps.end(),
                           [](const job_step& step)
                           { return step.estimate > max_duration; });
    if (job && (job->steps.empty() || too_long))
    {
        __builtin_trap();
    }
    const auto server = decode_server("id", text, why);
    if (server && server->port == 0)
    {
        __builtin_trap();
    }
    // Reasons are sent to callers; serializing them may not throw.
    (void)serialize({{"error", refusal.text}});
    return 0;
}
