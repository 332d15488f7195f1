#include "jobs/job_table.hpp"

#include <boost/test/unit_test.hpp>

using namespace jujubedrum;

namespace
{

submission job(const std::string& id, int payload = 0)
{
    job_reason why;
    return *submission::parse(R"({"id":")" + id +
                                  R"(","created_at_ms":1,"team":"t",)"
                                  R"("tasks":[{"kind":"k","payload":)" +
                                  std::to_string(payload) + "}]}",
                              submission_limits(), why);
}

outcome answer(std::size_t bytes)
{
    return outcome::complete({"\"" + std::string(bytes, 'x') + "\""});
}

} // namespace

BOOST_AUTO_TEST_SUITE(job_table_suite)

// Guards against a resubmission starting its job a second time.
BOOST_AUTO_TEST_CASE(open_known_id_never_opens_again)
{
    job_table table{job_table_limits()};
    const instant now = seconds(1);
    BOOST_TEST((table.open(job("a"), now) == open_verdict::opened));
    BOOST_TEST((table.open(job("a"), now) == open_verdict::duplicate_running));
    BOOST_TEST((table.open(job("a", 1), now) == open_verdict::conflict));
    BOOST_TEST(!table.finish("a", outcome::in_progress(), now));
    BOOST_TEST(table.finish("a", answer(1), now));
    BOOST_TEST(!table.finish("a", answer(2), now));
    BOOST_TEST((table.open(job("a"), now) == open_verdict::finished));
    BOOST_TEST((table.open(job("a", 1), now) == open_verdict::conflict));
    BOOST_TEST((*table.find("a")->result == answer(1)));
    BOOST_TEST(!table.find("b").has_value());
    table.expire(now + seconds(599));
    BOOST_TEST(table.find("a").has_value());
    table.expire(now + seconds(600));
    BOOST_TEST(!table.find("a").has_value());
    BOOST_TEST(table.bytes() == 0);
}

// Guards against running an id again after its answer was evicted.
BOOST_AUTO_TEST_CASE(finish_over_budget_leaves_tombstone)
{
    job_table_limits limits;
    limits.max_bytes = 10'000;
    job_table table(limits);
    for (int i = 0; i < 50; ++i)
    {
        const std::string id = "j" + std::to_string(i);
        BOOST_TEST((table.open(job(id), seconds(i)) == open_verdict::opened));
        BOOST_TEST(table.finish(id, answer(3000), seconds(i)));
        BOOST_TEST(table.bytes() <= limits.max_bytes);
    }
    BOOST_TEST(table.tombstones() + table.stored() == 50);
    BOOST_TEST((table.open(job("j0"), seconds(60)) == open_verdict::finished));
    BOOST_TEST(
        (table.find("j0")->result->reason() == outcome_reason::answer_expired));
    BOOST_TEST((table.find("j0")->result->kind() == outcome_kind::failed));
    BOOST_TEST(table.find("j0").has_value());
    table.expire(seconds(700));
    BOOST_TEST(table.tombstones() == 0);
    BOOST_TEST(table.bytes() == 0);
}

// Guards against unbounded memory use when jobs arrive faster than they expire.
BOOST_AUTO_TEST_CASE(open_full_table_refuses)
{
    job_table_limits limits;
    limits.max_running = 2;
    limits.max_bytes = 3'000;
    job_table table(limits);
    BOOST_TEST((table.open(job("a"), seconds(1)) == open_verdict::opened));
    BOOST_TEST((table.open(job("b"), seconds(1)) == open_verdict::opened));
    BOOST_TEST((table.open(job("c"), seconds(1)) == open_verdict::full));
    int opened = 0;
    for (int i = 0; i < 200; ++i)
    {
        const std::string id = "n" + std::to_string(i);
        table.finish("b", answer(1), seconds(1));
        opened += table.open(job(id), seconds(1)) == open_verdict::opened;
        table.finish(id, answer(1), seconds(1));
        BOOST_TEST(table.bytes() <= limits.max_bytes);
    }
    BOOST_TEST(opened > 0);
    // Each tombstone is charged 24 of the 3000 bytes.
    BOOST_TEST(opened < 126);
    BOOST_TEST((table.open(job("z"), seconds(700)) == open_verdict::opened));
}

// Guards against an outcome that differs after a peer has serialised and this
// instance has parsed it.
BOOST_AUTO_TEST_CASE(outcome_to_json_round_trip_and_status)
{
    const std::vector<std::pair<outcome, int>> cases = {
        {outcome::complete({"1", R"({"a":[null]})"}), 200},
        {outcome::in_progress(outcome_reason::instance_unreachable, "x"), 202},
        {outcome::failed(outcome_reason::task_failed, "\"q\"",
                         std::vector<std::uint32_t>{0, 3}),
         500},
        {outcome::failed(outcome_reason::answer_expired, ""), 500},
        {outcome::not_run(outcome_reason::over_quota, "", true), 429},
        {outcome::not_run(outcome_reason::overloaded, "", true), 503},
        {outcome::not_run(outcome_reason::cannot_run, "", false), 422},
    };
    job_reason why;
    for (const auto& [value, status] : cases)
    {
        const std::string text = value.to_json("id-1");
        BOOST_TEST(value.http_status() == status);
        const auto read = outcome::from_json(text, why);
        BOOST_TEST((read && *read == value), text);
    }
    for (const char* text :
         {"", "{}", "[]", R"({"outcome":"complete"})",
          R"({"outcome":"not_run","reason":{"code":"deadline"}})",
          R"({"outcome":"failed"})", R"({"outcome":"ok"})",
          R"({"outcome":"failed","may_have_run":[-1]})",
          R"({"outcome":"in_progress","reason":{"code":"?"}})"})
    {
        BOOST_TEST(!outcome::from_json(text, why).has_value(), text);
    }
}

BOOST_AUTO_TEST_SUITE_END()
