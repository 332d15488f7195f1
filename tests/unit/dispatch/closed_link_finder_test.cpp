#include "dispatch/closed_link_finder.hpp"

#include <boost/test/unit_test.hpp>

namespace jujubedrum
{

namespace
{

using links = std::vector<std::uint64_t>;

/// A peer whose links 11, 12 and 13 are its own 1, 2 and 3.
struct closed_link_fixture
{
    links update(std::uint64_t link, const links& open, std::uint64_t newest)
    {
        return this->finder.update(link + 10, this->peer, {link, open, newest},
                                   this->now);
    }

    instance_boot peer{"e1", 7};
    instant now{seconds(1)};
    closed_link_finder finder;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(closed_link_finder_suite, closed_link_fixture)

// The cases guard against a message that is handled although its sender has
// given the link up.
BOOST_AUTO_TEST_CASE(earlier_link_closed_is_found)
{
    BOOST_CHECK(this->update(1, {1}, 1) == links());
    BOOST_CHECK(this->update(2, {2}, 2) == links({11}));
}

BOOST_AUTO_TEST_CASE(newer_link_closed_is_found)
{
    this->update(1, {1}, 1);
    this->update(2, {1, 2}, 2);
    BOOST_CHECK(this->update(1, {1}, 2) == links({12}));
}

BOOST_AUTO_TEST_CASE(state_of_closed_link_read_late_closes_it)
{
    this->update(2, {2}, 2);
    BOOST_CHECK(this->update(1, {1}, 1) == links({11}));
}

// An outdated state does not know the links that were opened since.
BOOST_AUTO_TEST_CASE(outdated_state_keeps_newer_links)
{
    this->update(3, {1, 3}, 3);
    BOOST_CHECK(this->update(1, {1}, 1) == links());
    BOOST_CHECK(this->update(1, {1, 2}, 2) == links());
}

BOOST_AUTO_TEST_CASE(other_boot_keeps_its_links)
{
    this->update(1, {1}, 1);
    this->peer.boot = 8;
    BOOST_CHECK(this->update(2, {2}, 2) == links());
}

BOOST_AUTO_TEST_CASE(state_without_open_links_expires)
{
    const auto longer = closed_link_finder::retention_time + seconds(1);
    this->update(2, {2}, 2);
    this->now += longer;
    BOOST_CHECK(this->update(1, {1}, 1) == links({11}));
    this->finder.remove_link(11, this->now);
    this->finder.remove_link(12, this->now);
    this->now += closed_link_finder::retention_time;
    BOOST_CHECK(this->update(1, {1}, 1) == links({11}));
    this->finder.remove_link(11, this->now);
    this->now += longer;
    BOOST_CHECK(this->update(1, {1}, 1) == links());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubedrum
