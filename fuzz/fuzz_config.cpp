#include "config/config_edit.hpp"
#include "config/config_fold.hpp"
#include "config/json_text.hpp"
#include "config/settings.hpp"
#include "config/validate_section.hpp"

#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>
#include <vector>

namespace
{

using namespace jujubedrum;

const std::string admin_key_text =
    "9d61b19deffd5a60ba844af492ec2cc44449c5697b326919703bac031cae7f60";

const key_pair& admin_key()
{
    static const key_pair key = []
    {
        config_reason why;
        return key_pair::from_private_key(admin_key_text, why).value();
    }();
    return key;
}

std::string signed_edit(const std::string& section, const std::string& body)
{
    config_reason why;
    return config_edit::create(section_name::parse(section).value(), "admin", 0,
                               "id-" + section.substr(0, 5), body, why)
        .value()
        .sign(admin_key())
        .to_record();
}

const std::string team_body =
    R"({"quota":{"tasks_per_second":5},"kinds":{"trip":{"run_ms":4}}})";
const std::string system_body =
    R"({"//":[1],"objective":"messages","limits":{"max_run_ms":5}})";

config_fold& sample_fold()
{
    static config_fold fold = []
    {
        config_fold filled(admin_key().public_key());
        filled.apply(0, signed_edit("system", system_body));
        filled.apply(1, signed_edit("teams/a", team_body));
        return filled;
    }();
    return fold;
}

void check(bool holds)
{
    if (!holds)
    {
        std::abort();
    }
}

void check_parsers(std::string_view text)
{
    config_reason why;
    const auto team = section_name::parse("teams/a").value();
    const bool valid = validate_section(team, text, why);
    check(valid == team_settings::parse(text, why).has_value());
    check(valid || !why.text().empty());
    (void)validate_document(text, why);
    (void)system_settings::parse(text, why);
    (void)settings::load(text, why);
    const auto object = parse_json_object(text, why);
    if (object)
    {
        // Each member's source text must parse to the member's value.
        const auto members = member_texts(text);
        check(members.size() == object->size());
        for (const auto& [key, member] : members)
        {
            check(nlohmann::json::parse(member) == object->at(key));
        }
    }
}

void check_fold(std::string_view text)
{
    config_fold fold = sample_fold();
    const std::uint64_t before = fold.revision();
    const edit_verdict verdict = fold.apply(7, text);
    check(fold.revision() >= before);
    check(verdict != edit_verdict::accepted || fold.revision() == 8);
    config_fold late_reader(admin_key().public_key());
    late_reader.set_first_retained(5);
    late_reader.apply(7, text);
    (void)late_reader.apply_peer_snapshot(text);
    if (verdict != edit_verdict::accepted)
    {
        check(fold.document() == sample_fold().document());
        return;
    }
    config_fold restored(admin_key().public_key());
    restored.apply_peer_snapshot(fold.make_snapshot().value());
    check(restored.document() == fold.document());
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size)
{
    const std::string_view text(reinterpret_cast<const char*>(data), size);
    check_parsers(text);
    check_fold(text);
    return 0;
}

std::vector<std::string> fuzz_seeds()
{
    return {team_body,
            system_body,
            R"({"system":{},"teams":{"a":{"weight":1}}})",
            R"({"instance":"e","domain":"d","region":"r","platform":)"
            R"({"address":"::1","port":9},"admin_public_key":")" +
                std::string(64, 'a') + "\"}",
            signed_edit("teams/b", team_body),
            signed_edit("teams/a", ""),
            sample_fold().make_snapshot().value()};
}
