#include "placement/slot_map.hpp"

#include "placement_fixture.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cmath>

using namespace jujubedrum;

BOOST_FIXTURE_TEST_SUITE(slot_map_suite, placement_fixture)

// Guards against slots that two instances use, and against slots that none
// uses.
BOOST_AUTO_TEST_CASE(build_any_instances_owns_every_slot_once)
{
    const auto list = servers(48, 3);
    for (std::size_t count = 3; count <= 30; ++count)
    {
        auto peers = entries(count, 3);
        peers.back().weight = 2.5;
        std::vector<slot_map> maps;
        for (const entry_instance& peer : peers)
        {
            maps.push_back(slot_map::build(list, peers, peer.name));
        }
        for (const backend_server& server : list)
        {
            unsigned owned = 0;
            for (const slot_map& map : maps)
            {
                owned += map.owned(server.name());
            }
            BOOST_TEST(owned == server.slots());
        }
    }
}

// Guards against an instance that owns slots of slow servers only.
BOOST_AUTO_TEST_CASE(build_weights_gives_share_of_every_server)
{
    const auto list = servers(30, 1);
    auto peers = entries(3, 1);
    peers[0].weight = 2.0;
    for (const entry_instance& peer : peers)
    {
        const slot_map map = slot_map::build(list, peers, peer.name);
        const double share = 8.0 * peer.weight / 4.0;
        for (const backend_server& server : list)
        {
            BOOST_TEST(std::abs(map.owned(server.name()) - share) <= 1.0);
        }
        BOOST_TEST(std::abs(map.total() - share * 30) <= 1.0);
    }
}

// Guards against instances that divide slots differently because their lists
// are in a different order.
BOOST_AUTO_TEST_CASE(build_other_order_gives_same_map)
{
    auto list = servers(20, 2);
    auto peers = entries(7, 2);
    const slot_map first = slot_map::build(list, peers, "e3");
    std::reverse(list.begin(), list.end());
    std::reverse(peers.begin(), peers.end());
    BOOST_TEST((slot_map::build(list, peers, "e3") == first));
}

// Guards against reassigning slots of an instance that is still listed, while
// its tasks run on them.
BOOST_AUTO_TEST_CASE(build_instance_removed_others_keep_slots)
{
    const auto list = servers(16, 1);
    auto peers = entries(3, 1);
    const slot_map before = slot_map::build(list, peers, "e0");
    peers.pop_back();
    const slot_map after = slot_map::build(list, peers, "e0");
    for (const backend_server& server : list)
    {
        BOOST_TEST(after.owned(server.name()) >= before.owned(server.name()));
    }
}

// Guards against unused servers in a failure domain without entry instances.
BOOST_AUTO_TEST_CASE(build_adopted_domain_is_shared_by_region)
{
    const auto list = servers(8, 2);
    const std::vector<entry_instance> peers{{"e0", "d0", "r1", 1.0},
                                            {"e2", "d0", "r1", 1.0}};
    BOOST_TEST(slot_map::build(list, peers, "e0").owned("b1") == 0U);
    BOOST_TEST(slot_map::build(list, peers, "e0", {"d1"}).owned("b1") == 4U);
}

BOOST_AUTO_TEST_SUITE_END()
