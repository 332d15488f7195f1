#include "job_body.hpp"

#include "base/hash.hpp"

#include <array>
#include <map>

namespace jujubedrum
{

namespace
{

// The backend server stand-in echoes payloads up to this size and answers
// longer ones with their SHA-256.
constexpr std::size_t max_echo_bytes = 256;

nlohmann::json json_or_text(const std::string& text)
{
    auto value = nlohmann::json::parse(text, nullptr, false);
    return value.is_discarded() ? nlohmann::json(text) : value;
}

std::string expected_result(const nlohmann::json& task)
{
    const nlohmann::json& payload = task["payload"];
    const std::string text =
        payload.is_string() ? payload.get<std::string>() : payload.dump();
    return task["kind"].get<std::string>() + ":" +
           (text.size() <= max_echo_bytes ? text : sha256_hex(text));
}

std::string answer_text(const nlohmann::json& answer)
{
    const nlohmann::json text =
        answer.is_object() ? answer.value("result", nlohmann::json()) : answer;
    return text.is_string() ? text.get<std::string>() : text.dump();
}

} // namespace

nlohmann::json make_job(const std::string& name,
                        const std::map<std::string, std::string>& options)
{
    static constexpr std::array task_fields = {"run_ms", "memory_mb",
                                               "repeatable"};
    static constexpr std::array payload_fields = {"actual_ms", "fail",
                                                  "use_memory_mb"};
    static constexpr std::array job_fields = {"deadline_ms", "wait_ms"};
    const auto option = [&options](const char* key, const char* fallback)
    {
        const auto found = options.find(key);
        return found == options.end() ? std::string(fallback) : found->second;
    };
    nlohmann::json job = {{"team", option("team", "rake")},
                          {"tasks", nlohmann::json::array()}};
    const auto copy = [&options](const auto& fields, nlohmann::json& target)
    {
        for (const char* field : fields)
        {
            if (const auto found = options.find(field); found != options.end())
            {
                target[field] = json_or_text(found->second);
            }
        }
    };
    copy(job_fields, job);
    const int tasks = std::stoi(option("tasks", "1"));
    for (int index = 0; index < tasks; ++index)
    {
        nlohmann::json payload = {{"job", name}, {"index", index}};
        copy(payload_fields, payload);
        nlohmann::json task = {{"kind", option("kind", "reading")},
                               {"payload", payload.dump()}};
        copy(task_fields, task);
        job["tasks"].push_back(std::move(task));
    }
    return job;
}

std::string check_answers(const nlohmann::json& job,
                          const nlohmann::json& reply)
{
    const nlohmann::json& tasks = job["tasks"];
    const auto answers = reply.find("answers");
    if (answers == reply.end() || !answers->is_array())
    {
        return "no answers: " + reply.dump();
    }
    if (answers->size() != tasks.size())
    {
        return std::to_string(answers->size()) + " answers to " +
               std::to_string(tasks.size()) + " tasks";
    }
    for (std::size_t index = 0; index < tasks.size(); ++index)
    {
        const std::string expected = expected_result(tasks[index]);
        const std::string actual = answer_text((*answers)[index]);
        if (actual != expected)
        {
            return "answer " + std::to_string(index) + " is " + actual +
                   " instead of " + expected;
        }
    }
    return "";
}

} // namespace jujubedrum
