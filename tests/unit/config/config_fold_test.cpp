#include "base/random_source.hpp"
#include "config_fixture.hpp"

#include <cstdlib>
#include <iostream>

#include <boost/test/unit_test.hpp>

using namespace jujubedrum;
using jujubedrum::tests::config_fixture;

BOOST_TEST_DONT_PRINT_LOG_VALUE(jujubedrum::edit_verdict)

namespace
{

struct two_team_fixture : config_fixture
{
    two_team_fixture()
    {
        BOOST_REQUIRE(this->append(this->edit("system", "admin", this->admin, 0,
                                              "s1", this->system_body())) ==
                      edit_verdict::accepted);
    }

    std::string rake_edit(std::uint64_t base, const std::string& id,
                          const std::string& body = "{\"weight\": 2}")
    {
        return this->edit("teams/rake", "rake", this->rake, base, id, body);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(config_fold_suite, two_team_fixture)

// Guards against an edit that silently overwrites an edit accepted after its
// base revision.
BOOST_AUTO_TEST_CASE(edit_stale_base_refused)
{
    BOOST_TEST(this->append(this->rake_edit(0, "a")) == edit_verdict::accepted);
    BOOST_TEST(this->append(this->rake_edit(0, "b", "{\"weight\": 9}")) ==
               edit_verdict::stale);
    BOOST_TEST(this->fold.last_reason().message() ==
               "/base: the section has revision 2, the edit was made from 0");
    BOOST_TEST(this->fold.document().find_team("rake")->weight() == 2U);
    BOOST_TEST(this->fold.document().section_revision("teams/rake") == 2U);
    BOOST_TEST(this->fold.report("b")->offset == 2U);
    BOOST_TEST(this->fold.revision() == 2U);
}

// Guards against reporting an accepted edit as refused when it is appended
// again because the reply to the first append was lost.
BOOST_AUTO_TEST_CASE(edit_appended_twice_is_repeat)
{
    const std::string record = this->rake_edit(0, "a");
    BOOST_TEST(this->append(record) == edit_verdict::accepted);
    BOOST_TEST(this->append(record) == edit_verdict::repeat);
    BOOST_TEST(this->fold.report("a")->verdict == edit_verdict::accepted);
    BOOST_TEST(this->fold.revision() == 2U);
}

// Guards against readers that accept different edits out of two concurrent
// ones.
BOOST_AUTO_TEST_CASE(concurrent_edits_fold_identically)
{
    this->append(this->rake_edit(0, "a", "{\"weight\": 3}"));
    this->append(this->edit("teams/rake", "admin", this->admin, 0, "b",
                            "{\"weight\": 4}"));
    BOOST_TEST(this->fold.document().find_team("rake")->weight() == 3U);
    BOOST_TEST((this->fold_from(0).document() == this->fold.document()));
}

// Guards against accepting a team's edit signed with another team's key.
BOOST_AUTO_TEST_CASE(edit_wrong_key_refused)
{
    BOOST_TEST(this->append(this->edit("teams/rake", "rake", this->orders, 0,
                                       "a", "{}")) ==
               edit_verdict::bad_signature);
    BOOST_TEST(this->append(this->edit("teams/new", "new", this->rake, 0, "b",
                                       "{}")) == edit_verdict::bad_signature);
    BOOST_TEST(this->fold.last_reason().text() ==
               "team_keys holds no key of \"new\"");
    BOOST_TEST(this->fold.revision() == 1U);
}

// Guards against accepting a record whose body was changed after signing.
BOOST_AUTO_TEST_CASE(edit_changed_after_signing_refused)
{
    std::string record = this->rake_edit(0, "a");
    record.replace(record.find("weight"), 6, "height");
    BOOST_TEST(this->append(record) == edit_verdict::bad_signature);
}

// Guards against a team editing another team's section or the system section.
BOOST_AUTO_TEST_CASE(edit_wrong_owner_refused)
{
    BOOST_TEST(this->append(this->edit("teams/orders", "rake", this->rake, 0,
                                       "a", "{}")) ==
               edit_verdict::wrong_owner);
    BOOST_TEST(this->append(this->edit("system", "rake", this->rake, 1, "b",
                                       "{}")) == edit_verdict::wrong_owner);
    BOOST_TEST(this->append(this->edit("teams/orders", "admin", this->admin, 0,
                                       "c", "{}")) == edit_verdict::accepted);
}

// Guards against an edit with an invalid body taking effect in part.
BOOST_AUTO_TEST_CASE(edit_schema_fault_changes_nothing)
{
    const class document before = this->fold.document();
    BOOST_TEST(this->append(this->rake_edit(0, "a", "{\"weigth\": 2}")) ==
               edit_verdict::invalid);
    BOOST_TEST(this->fold.last_reason().message() ==
               "/weigth: unknown key; the nearest valid key is \"weight\"");
    BOOST_TEST((this->fold.document() == before));
    BOOST_TEST(this->append("no json") == edit_verdict::invalid);
    BOOST_TEST(this->append("{\"type\":\"other\"}") == edit_verdict::ignored);
}

// Guards against losing the operator's layout and comments.
BOOST_AUTO_TEST_CASE(section_text_is_kept_as_written)
{
    const std::string body = "{\n  \"//\": \"why\",\n\t\"weight\" : 2 }\n";
    this->append(this->rake_edit(0, "a", body));
    BOOST_TEST(this->fold.document().section_text("teams/rake") == body);
    BOOST_TEST(this->fold.document().text().find(body) != std::string::npos);
}

// Guards against a deleted section whose revision is reset to 0, which would
// let an old edit of base revision 0 be accepted again.
BOOST_AUTO_TEST_CASE(empty_body_deletes_but_keeps_revision)
{
    this->append(this->rake_edit(0, "a"));
    BOOST_TEST(this->append(this->rake_edit(2, "b", "")) ==
               edit_verdict::accepted);
    BOOST_TEST(this->fold.document().find_team("rake") == nullptr);
    BOOST_TEST(this->append(this->rake_edit(0, "c")) == edit_verdict::stale);
    BOOST_TEST(this->append(this->rake_edit(3, "d")) == edit_verdict::accepted);
}

// Guards against a snapshot that loses state, including edits whose signing
// key was rotated after they were accepted.
BOOST_AUTO_TEST_CASE(snapshot_restore_equals_full_fold)
{
    this->append(this->rake_edit(0, "a"));
    const std::string old_system = this->system_body();
    this->rake = key_pair::generate(this->why).value();
    this->append(this->edit("system", "admin", this->admin, 1, "s2",
                            this->system_body()));
    this->append(
        this->edit("teams/orders", "orders", this->orders, 0, "b", "{}"));
    this->append(this->fold.make_snapshot().value());
    this->append(this->rake_edit(2, "c", "{\"weight\": 7}"));
    config_fold late_reader = this->fold_from(4);
    BOOST_TEST(!late_reader.awaiting_snapshot());
    BOOST_TEST((late_reader.document() == this->fold.document()));
    BOOST_TEST(late_reader.make_snapshot().value() ==
               this->fold.make_snapshot().value());
    BOOST_TEST(late_reader.apply(6, this->rake_edit(0, "a")) ==
               edit_verdict::repeat);
    BOOST_TEST(late_reader.report("b")->verdict == edit_verdict::accepted);
}

// Guards against a changed document when two instances append a snapshot at
// the same time.
BOOST_AUTO_TEST_CASE(concurrent_snapshots_change_nothing)
{
    this->append(this->rake_edit(0, "a"));
    const std::string snapshot = this->fold.make_snapshot().value();
    BOOST_TEST(this->append(snapshot) == edit_verdict::ignored);
    this->append(this->rake_edit(2, "b", "{\"weight\": 5}"));
    BOOST_TEST(this->append(snapshot) == edit_verdict::ignored);
    BOOST_TEST(this->fold.latest_snapshot_offset().value() == 4U);
    for (const std::size_t first : {0U, 2U})
    {
        config_fold late_reader = this->fold_from(first);
        BOOST_TEST((late_reader.document() == this->fold.document()));
    }
    // The records between the end of the snapshot and offset 4 are lost.
    BOOST_TEST(this->fold_from(4).awaiting_snapshot());
}

// Guards against a reader that folds an incomplete document because records
// before its first page are no longer retained.
BOOST_AUTO_TEST_CASE(reader_behind_retention_waits_for_snapshot)
{
    this->append(this->rake_edit(0, "a"));
    this->append(this->rake_edit(2, "b", "{\"weight\": 5}"));
    config_fold late_reader = this->fold_from(2);
    BOOST_TEST(late_reader.awaiting_snapshot());
    BOOST_TEST(late_reader.revision() == 0U);
    BOOST_TEST(!late_reader.make_snapshot());
    // The snapshot is taken before edit b, so edit b must come from the
    // buffered records.
    config_fold peer(this->admin.public_key());
    peer.apply(0, this->log[0]);
    peer.apply(1, this->log[1]);
    this->log.push_back(peer.make_snapshot().value());
    BOOST_TEST(late_reader.apply(3, this->log[3]) ==
               edit_verdict::snapshot_applied);
    BOOST_TEST((late_reader.document() == this->fold.document()));
}

// Guards against a configuration that reverts to an older revision when a
// reader encounters a gap or an old snapshot.
BOOST_AUTO_TEST_CASE(revision_never_decreases)
{
    const std::string old = this->fold.make_snapshot().value();
    this->append(this->rake_edit(0, "a"));
    BOOST_TEST(this->fold.apply_peer_snapshot(old) == edit_verdict::ignored);
    this->fold.set_first_retained(10);
    BOOST_TEST(this->fold.awaiting_snapshot());
    BOOST_TEST(this->fold.revision() == 2U);
    std::string forged = old;
    forged.replace(forged.find("\"through\":0"), 11, "\"through\":9");
    BOOST_TEST(this->fold.apply(10, forged) == edit_verdict::ignored);
    BOOST_TEST(this->fold.revision() == 2U);
}

// Guards against a snapshot with a section whose signature is not valid.
BOOST_AUTO_TEST_CASE(snapshot_with_unsigned_edit_refused)
{
    this->append(this->rake_edit(0, "a"));
    std::string snapshot = this->fold.make_snapshot().value();
    snapshot.replace(snapshot.find("weight"), 6, "height");
    config_fold late_reader(this->admin.public_key());
    BOOST_TEST(late_reader.apply_peer_snapshot(snapshot) ==
               edit_verdict::invalid);
    BOOST_TEST(late_reader.revision() == 0U);
}

// Guards against a new instance that ignores a peer's snapshot.
BOOST_AUTO_TEST_CASE(peer_snapshot_ahead_is_adopted)
{
    this->append(this->rake_edit(0, "a"));
    config_fold late_reader(this->admin.public_key());
    BOOST_TEST(
        late_reader.apply_peer_snapshot(this->fold.make_snapshot().value()) ==
        edit_verdict::snapshot_applied);
    BOOST_TEST(late_reader.next_offset() == 2U);
    BOOST_TEST((late_reader.document() == this->fold.document()));
}

// Guards against an order of edits, repeats, snapshots and reader starts that
// leads to different documents or a decreasing revision.
BOOST_AUTO_TEST_CASE(random_schedule_all_readers_agree)
{
    const char* seed_text = std::getenv("JUJUBEDRUM_TEST_SEED");
    const std::uint64_t seed =
        seed_text == nullptr ? 20261204 : std::strtoull(seed_text, nullptr, 10);
    std::cout << "config_fold seed=" << seed << "\n";
    random_source random(seed);
    const std::vector<std::string> sections = {"system", "teams/rake",
                                               "teams/orders"};
    std::uint64_t revision = 0;
    for (int step = 0; step < 400; ++step)
    {
        const std::string section = sections[random.below(3)];
        if (section == "system" && random.below(3) == 0)
        {
            this->rake = key_pair::generate(this->why).value();
        }
        const bool by_admin = section == "system" || random.below(4) == 0;
        const key_pair& key = by_admin                  ? this->admin
                              : random.below(8) == 0    ? this->admin
                              : section == "teams/rake" ? this->rake
                                                        : this->orders;
        const std::uint64_t at =
            this->fold.document().section_revision(section);
        const std::uint64_t base =
            random.below(4) == 0 ? random.below(this->log.size()) : at;
        const std::string body =
            section == "system"
                ? this->system_body(", \"objective\": \"messages\"")
            : random.below(6) == 0
                ? std::string()
                : "{\"weight\": " + std::to_string(random.below(120)) + "}";
        const std::uint64_t action = random.below(10);
        std::string record = this->log[random.below(this->log.size())];
        if (action < 7)
        {
            record =
                this->edit(section, by_admin ? "admin" : section.substr(6), key,
                           base, "e" + std::to_string(random.below(300)), body);
        }
        else if (action == 7)
        {
            record = this->fold.make_snapshot().value();
            config_fold restored(this->admin.public_key());
            BOOST_REQUIRE((restored.apply_peer_snapshot(record) ==
                           edit_verdict::snapshot_applied));
            BOOST_REQUIRE((restored.document() == this->fold.document()));
        }
        this->append(record);
        BOOST_REQUIRE(this->fold.revision() >= revision);
        revision = this->fold.revision();
    }
    for (std::size_t first = 0; first < this->log.size(); first += 23)
    {
        config_fold late_reader = this->fold_from(first);
        if (late_reader.awaiting_snapshot())
        {
            late_reader.apply(this->log.size(),
                              this->fold.make_snapshot().value());
        }
        BOOST_REQUIRE((late_reader.document() == this->fold.document()));
        config_fold restored(this->admin.public_key());
        restored.apply_peer_snapshot(late_reader.make_snapshot().value());
        BOOST_REQUIRE((restored.document() == this->fold.document()));
        BOOST_REQUIRE(restored.make_snapshot() == late_reader.make_snapshot());
    }
}

BOOST_AUTO_TEST_SUITE_END()
