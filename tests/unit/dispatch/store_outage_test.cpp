#include "node_fixture.hpp"

#include <boost/test/unit_test.hpp>

namespace jujubedrum
{

namespace
{

constexpr const char* operator_topic = "keyed.op";
constexpr const char* servers_topic = "keyed.servers";
/// A configuration has to be in force within 2 s.
constexpr milliseconds max_config_age{2000};
/// Reads without a reply, during an outage of some seconds.
constexpr std::uint64_t lost_reads = 3;

struct store_outage_fixture : node_fixture
{
    /// Loses the next reads of a topic. After that, a read is answered only if
    /// it is sent soon enough after the one before it.
    void lose_reads(const std::string& topic)
    {
        this->store.set_fault(log_store_standin::fault::unresponsive);
        const std::uint64_t before = this->store.reads_of(topic);
        BOOST_REQUIRE(this->wait(
            [&]
            { return this->store.reads_of(topic) >= before + lost_reads; }));
        this->store.set_max_read_gap(max_config_age);
        this->store.set_fault(log_store_standin::fault::none);
    }
    [[nodiscard]] std::uint64_t config_version(const std::string& name)
    {
        return this->nodes[name]->node().routes().version();
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(store_outage_suite, store_outage_fixture)

// Guards against a configuration that waits for the time-out of a lost read.
BOOST_AUTO_TEST_CASE(configuration_read_lost_next_read_does_not_wait)
{
    this->start_node("a");
    BOOST_REQUIRE(this->wait([&] { return this->config_version("a") == 1; }));
    this->lose_reads(operator_topic);
    this->store.publish(R"({"version":2,"routes":[],"services":[]})");
    BOOST_CHECK(this->wait([&] { return this->config_version("a") == 2; }));
}

// Guards against a server list that waits for the time-out of a lost read.
BOOST_AUTO_TEST_CASE(server_list_read_lost_next_read_does_not_wait)
{
    this->add_server("s1");
    this->start_node("a");
    BOOST_REQUIRE(this->wait_for_servers("a", 1));
    this->lose_reads(servers_topic);
    this->add_server("s2");
    BOOST_CHECK(this->wait_for_servers("a", 2));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubedrum
