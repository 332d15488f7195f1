#include "jobs/issued_id.hpp"
#include "jobs/outcome.hpp"
#include "jobs/submission.hpp"

#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>
#include <vector>

using namespace jujubedrum;

namespace
{

void check(bool holds)
{
    if (!holds)
    {
        std::abort();
    }
}

void check_submission(std::string_view text)
{
    const submission_limits limits;
    job_reason why;
    const auto job = submission::parse(text, limits, why);
    if (!job)
    {
        check(why.code() != job_error::none && !why.text().empty());
        return;
    }
    check(!job->tasks().empty() && job->tasks().size() <= limits.max_tasks);
    check(!job->has_caller_id() || job->created_at().has_value());
    const auto again = submission::parse(job->to_json(), limits, why);
    check(again.has_value() && *again == *job);
}

void check_outcome(std::string_view text)
{
    job_reason why;
    const auto result = outcome::from_json(text, why);
    if (result)
    {
        const auto again = outcome::from_json(result->to_json("id"), why);
        check(again.has_value() && *again == *result);
    }
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size)
{
    const std::string_view text(reinterpret_cast<const char*>(data), size);
    check_submission(text);
    check_outcome(text);
    const auto id = issued_id::parse(text);
    check(!id || id->text() == text);
    return 0;
}

std::vector<std::string> fuzz_seeds()
{
    return {R"({"team":"rake","tasks":[{"kind":"trip","payload":{"rake":7}}]})",
            R"({"id":"order:17","created_at_ms":1700000000000,"team":"desk",)"
            R"("deadline_ms":900,"wait_ms":500,"tasks":[{"kind":"hold",)"
            R"("payload":[1,2.5e3,"\u00e9\n",null,true],"run_ms":50,)"
            R"("memory_mb":128,"repeatable":true},{"kind":"slip",)"
            R"("payload":"x","repeatable":false}]})",
            R"({"id":"i.e1.00000000000000ff.12","team":"t","tasks":)"
            R"([{"kind":"k","payload":0}]})",
            "i.e1.00000000000000ff.12",
            R"({"id":"a","outcome":"complete","answers":[1,{"b":[2]}]})",
            R"({"id":"a","outcome":"failed","reason":{"code":"task_failed",)"
            R"("text":"t"},"may_have_run":[0,3]})",
            R"({"id":"a","outcome":"not_run","reason":{"code":"over_quota",)"
            R"("text":""},"retry":true})"};
}
