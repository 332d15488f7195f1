#include "node_fixture.hpp"
#include "peer_standin.hpp"

#include <boost/test/unit_test.hpp>

namespace jujubedrum
{

namespace
{

constexpr const char* job = "0000000000000001";

/// Submits jobs with a specification of two fields, separated by U+0000.
struct text_transfer_fixture : node_fixture
{
    void submit_with_nul(const std::string& node)
    {
        submit_message message = this->submission_of(job, 50);
        message.request.payload += std::string("\0after", 6);
        this->record.expect(job, message.request.payload);
        this->nodes[node]->node().submit(message.request, message.terms,
                                         [this](const job_result& result)
                                         { this->results[job] = result; });
    }
    /// Returns whether the accepting instance can use the holder.
    bool wait_until_ready(const std::string& node)
    {
        return this->wait([this, &node]
                          { return this->nodes[node]->node().ready(); });
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(text_transfer_suite, text_transfer_fixture)

// Guards against tasks that start with the part of their specification before
// U+0000, since another instance holds the servers.
BOOST_AUTO_TEST_CASE(specification_with_nul_holder_remote_started_whole)
{
    this->add_server("s1", "d1");
    this->start_node("a", "d1");
    BOOST_REQUIRE(this->wait_for_servers("a", 1));
    this->start_node("b", "d2");
    BOOST_REQUIRE(this->wait_until_ready("b"));
    this->submit_with_nul("b");
    BOOST_REQUIRE(this->wait_for(job));
    BOOST_CHECK(this->results[job].outcome == job_outcome::completed);
    BOOST_TEST(this->record.starts_of(job) == 1U);
    BOOST_TEST(this->record.violations().empty());
}

// The same during an update: a holder of an earlier version would cut it.
BOOST_AUTO_TEST_CASE(specification_with_nul_holder_of_earlier_version_refused)
{
    this->start_node("a", "d1");
    const peer_standin holder(this->loop, "holder", this->member_of("a"),
                              std::vector<pool_hold>{{{"d9", 0}, 1024, true}},
                              "d9", 1, false);
    BOOST_REQUIRE(this->wait_until_ready("a"));
    this->submit_with_nul("a");
    BOOST_REQUIRE(this->wait_for(job));
    BOOST_CHECK(this->results[job].outcome == job_outcome::refused);
    BOOST_TEST(this->results[job].reason ==
               "no holder takes U+0000 in texts yet");
    BOOST_TEST(holder.submissions().empty());
    this->submit("a", "0000000000000002", 1, 50);
    BOOST_CHECK(this->wait([&] { return !holder.submissions().empty(); }));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubedrum
