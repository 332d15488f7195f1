#include "load_generator.hpp"

#include "http_call.hpp"
#include "job_body.hpp"
#include "waiting.hpp"

#include <utility>

namespace jujubedrum
{

namespace
{

constexpr std::chrono::seconds max_load_duration(60);

std::string outcome_of(const scenario_http_reply& reply)
{
    if (reply.status == 0)
    {
        return "no_reply";
    }
    const nlohmann::json body = reply.json();
    return body.is_object() && body.contains("outcome")
               ? body["outcome"].get<std::string>()
               : "error " + std::to_string(reply.status);
}

} // namespace

load_generator::load_generator(std::string name, int port, std::string token,
                               std::map<std::string, std::string> options)
    : name(std::move(name))
    , port(port)
    , token(std::move(token))
    , options(std::move(options))
{
    const auto concurrency = this->options.find("concurrency");
    const int count =
        concurrency == this->options.end() ? 4 : std::stoi(concurrency->second);
    for (int number = 0; number < count; ++number)
    {
        this->threads.emplace_back([this, number] { this->run(number); });
    }
}

load_generator::~load_generator()
{
    this->stop();
}

void load_generator::stop()
{
    this->stopping = true;
    for (std::thread& thread : this->threads)
    {
        thread.join();
    }
    this->threads.clear();
}

std::map<std::string, int> load_generator::outcomes()
{
    const std::lock_guard lock(this->mutex);
    return this->outcome_counts;
}

std::vector<std::string> load_generator::answer_errors()
{
    const std::lock_guard lock(this->mutex);
    return this->wrong_answers;
}

void load_generator::run(int thread_number)
{
    const auto deadline = std::chrono::steady_clock::now() + max_load_duration;
    for (int number = 0;
         !this->stopping && std::chrono::steady_clock::now() < deadline;
         ++number)
    {
        this->submit(this->name + "-" + std::to_string(thread_number) + "-" +
                     std::to_string(number));
    }
}

void load_generator::submit(const std::string& job_name)
{
    const nlohmann::json job = make_job(job_name, this->options);
    scenario_http_reply reply =
        http_call({this->port, "POST", "/v1/jobs", job.dump(), this->token});
    // Only a refused submission counts as refused. If the connection for
    // collecting the result is refused, the outcome is no_reply.
    const bool refused = reply.refused;
    const nlohmann::json first = reply.json();
    if (reply.status == 202 && first.is_object() && first.contains("id"))
    {
        const std::string path = "/v1/jobs/" + first["id"].get<std::string>();
        wait_for(
            [&]
            {
                reply = http_call({this->port, "GET", path, "", this->token});
                return reply.status != 202;
            });
    }
    const std::string outcome = refused ? "refused" : outcome_of(reply);
    const std::string answer_error =
        outcome == "complete" ? check_answers(job, reply.json()) : "";
    const std::lock_guard lock(this->mutex);
    ++this->outcome_counts[outcome];
    if (!answer_error.empty())
    {
        this->wrong_answers.push_back(job_name + ": " + answer_error);
    }
    // A refused connection fails at once; the delay limits the rate of
    // attempts.
    if (outcome == "no_reply" || refused)
    {
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
}

} // namespace jujubedrum
