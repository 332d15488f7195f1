#include "jobs/submission.hpp"

#include <boost/test/unit_test.hpp>

using namespace jujubedrum;

namespace
{

std::optional<submission> parse(const std::string& json, job_reason& why)
{
    return submission::parse(json, submission_limits(), why);
}

std::string job(const std::string& members, const std::string& task)
{
    return "{" + members + R"("team":"rake","tasks":[{"kind":"trip",)" + task +
           "}]}";
}

void check_refused(const std::string& json, job_error code,
                   const std::string& where)
{
    job_reason why;
    BOOST_TEST_CONTEXT(json.substr(0, 200))
    {
        BOOST_TEST(!parse(json, why).has_value());
        BOOST_TEST((why.code() == code));
        BOOST_TEST(why.where() == where);
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(submission_suite)

// Guards against values outside the limits reaching a backend server.
BOOST_AUTO_TEST_CASE(parse_value_outside_limits_reports_pointer)
{
    const std::string ok = R"("payload":1)";
    const auto malformed = job_error::malformed;
    check_refused("{", malformed, "");
    check_refused("[]", malformed, "");
    check_refused(job("", ok + R"(,"run_ms":0)"), job_error::limit,
                  "/tasks/0/run_ms");
    check_refused(job("", ok + R"(,"run_ms":60001)"), job_error::limit,
                  "/tasks/0/run_ms");
    check_refused(job("", ok + R"(,"run_ms":1.5)"), malformed,
                  "/tasks/0/run_ms");
    check_refused(job("", ok + R"(,"memory_mb":18446744073709551615)"),
                  job_error::limit, "/tasks/0/memory_mb");
    check_refused(job("", ok + R"(,"repeatable":1)"), malformed,
                  "/tasks/0/repeatable");
    check_refused(job("", R"("run_ms":5)"), malformed, "/tasks/0/payload");
    check_refused(job(R"("id":"own-1",)", ok), malformed, "/created_at_ms");
    check_refused(job(R"("id":"i.e1.x.1",)", ok), malformed, "/id");
    check_refused(job(R"("id":"a b",)", ok), malformed, "/id");
    check_refused(job(R"("wait_ms":-1,)", ok), job_error::limit, "/wait_ms");
    check_refused(R"({"team":"rake","tasks":[]})", malformed, "/tasks");
    check_refused(R"({"tasks":[]})", malformed, "/team");
    check_refused(
        job("", R"("payload":")" + std::string(64UL * 1024, 'x') + "\""),
        job_error::too_large, "/tasks/0/payload");
    check_refused(std::string(8UL * 1024 * 1024 + 1, ' '), job_error::too_large,
                  "");
}

// Guards against too many tasks in one job.
BOOST_AUTO_TEST_CASE(parse_task_count_above_limit_refuses)
{
    std::string tasks = R"({"kind":"k","payload":0})";
    for (int i = 1; i < 690; ++i)
    {
        tasks += R"(,{"kind":"k","payload":0})";
    }
    job_reason why;
    const std::string head = R"({"team":"t","tasks":[)";
    BOOST_TEST(parse(head + tasks + "]}", why).has_value());
    check_refused(head + tasks + R"(,{"kind":"k","payload":0}]})",
                  job_error::too_large, "/tasks");
}

// Guards against silently ignoring a misspelt key.
BOOST_AUTO_TEST_CASE(parse_unknown_key_suggests_nearest)
{
    job_reason why;
    BOOST_TEST(!parse(job("", R"("payload":1,"repeatble":true)"), why));
    BOOST_TEST(why.where() == "/tasks/0/repeatble");
    BOOST_TEST(why.text().find("\"repeatable\"") != std::string::npos);
    check_refused(job(R"("a/b":1,)", R"("payload":1)"), job_error::malformed,
                  "/a~1b");
    check_refused(job(R"("team":"x",)", R"("payload":1)"), job_error::malformed,
                  "");
}

// Guards against a stack overflow when a deeply nested payload is serialised.
BOOST_AUTO_TEST_CASE(parse_deep_nesting_refuses)
{
    check_refused(std::string(4'000'000, '['), job_error::malformed, "");
    const std::string deep =
        std::string(30'000, '[') + std::string(30'000, ']');
    check_refused(job("", R"("payload":)" + deep), job_error::malformed, "");
}

// Guards against repeating a task that neither the caller nor the team declared
// repeatable.
BOOST_AUTO_TEST_CASE(parse_defaults_task_then_team_then_false)
{
    const default_options_lookup defaults = [](const std::string&,
                                               const std::string&) {
        return task_options{true, milliseconds(70), 512};
    };
    job_reason why;
    const std::string plain = job("", R"("payload":1)");
    const auto alone = parse(plain, why);
    BOOST_TEST(!alone->tasks()[0].repeatable());
    const auto team =
        submission::parse(plain, submission_limits(), defaults, why);
    BOOST_TEST(team->tasks()[0].repeatable());
    BOOST_TEST(team->tasks()[0].memory_mb() == 512);
    BOOST_TEST((team->tasks()[0].run_time() == milliseconds(70)));
    BOOST_TEST(team->digest() == alone->digest());
    const auto specified =
        submission::parse(job("", R"("payload":1,"repeatable":false)"),
                          submission_limits(), defaults, why);
    BOOST_TEST(!specified->tasks()[0].repeatable());
}

// Guards against treating a resubmission as another job, or another job as a
// resubmission.
BOOST_AUTO_TEST_CASE(digest_equal_only_for_equivalent_bodies)
{
    job_reason why;
    const std::string task = R"("payload":{"a":1,"b":2})";
    const auto first = parse(job(R"("created_at_ms":5,)", task), why);
    const auto again = parse(job(R"("wait_ms":9,"created_at_ms":5,)",
                                 R"("payload" : {"b":2, "a":1})"),
                             why);
    BOOST_TEST(first->digest() == again->digest());
    for (const std::string& other :
         {job(R"("created_at_ms":6,)", task), job("", task),
          job(R"("created_at_ms":5,)", task + R"(,"run_ms":5)"),
          job(R"("created_at_ms":5,)", R"("payload":{"a":1,"b":3})")})
    {
        BOOST_TEST(parse(other, why)->digest() != first->digest());
    }
}

// Guards against a peer running a job that differs from the submitted one.
BOOST_AUTO_TEST_CASE(to_json_parse_gives_same_submission)
{
    job_reason why;
    const auto one = parse(
        job(R"("id":"own:1","created_at_ms":5,"deadline_ms":7,"wait_ms":0,)",
            R"("payload":"\u0000é\"","run_ms":5,"memory_mb":9,)"
            R"("repeatable":true)"),
        why);
    BOOST_REQUIRE(one);
    const auto two = parse(one->to_json(), why);
    BOOST_REQUIRE(two);
    BOOST_TEST((*one == *two));
    BOOST_TEST(one->has_caller_id());
}

BOOST_AUTO_TEST_SUITE_END()
