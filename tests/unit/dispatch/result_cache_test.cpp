#include "dispatch/result_cache.hpp"

#include <boost/test/unit_test.hpp>

namespace jujubedrum
{

namespace
{

struct result_cache_fixture
{
    result_cache cache;
    submission_key key{"a", 1, 7};
    job_result completed{job_outcome::completed, "", milliseconds(0)};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(result_cache_suite, result_cache_fixture)

BOOST_AUTO_TEST_CASE(result_kept_found_for_its_submission_only)
{
    this->cache.add(this->key, this->completed, seconds(1));
    BOOST_CHECK(this->cache.find(this->key, seconds(2)) == this->completed);
    BOOST_CHECK(!this->cache.find({"a", 1, 8}, seconds(2)));
    BOOST_CHECK(!this->cache.find({"a", 2, 7}, seconds(2)));
    BOOST_CHECK(!this->cache.find({"b", 1, 7}, seconds(2)));
}

// Guards against refusing a job for good that another attempt could run.
BOOST_AUTO_TEST_CASE(job_not_run_or_incomplete_not_kept)
{
    for (const job_outcome outcome :
         {job_outcome::refused, job_outcome::incomplete,
          job_outcome::handed_back})
    {
        this->cache.add(this->key, {outcome, "", milliseconds(0)}, seconds(1));
        BOOST_CHECK(!this->cache.find(this->key, seconds(1)));
    }
}

BOOST_AUTO_TEST_CASE(result_old_or_one_of_too_many_forgotten)
{
    this->cache.add(this->key, this->completed, seconds(1));
    BOOST_CHECK(!this->cache.find(
        this->key, seconds(1) + result_cache::retention_time + seconds(1)));
    for (std::uint64_t i = 0; i < result_cache::max_results; ++i)
    {
        this->cache.add({"b", 1, i}, this->completed, seconds(2));
    }
    BOOST_CHECK(!this->cache.find(this->key, seconds(2)));
    BOOST_CHECK(this->cache.find({"b", 1, 0}, seconds(2)));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubedrum
