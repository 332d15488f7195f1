#pragma once

#include "config/config_edit.hpp"
#include "config/config_fold.hpp"
#include "config/key_pair.hpp"

#include <string>
#include <vector>

namespace jujubedrum::tests
{

/// Keys of an administrator and of two teams, a log of records and a fold that
/// has applied it.
struct config_fixture
{
    config_reason why;
    key_pair admin = key_pair::generate(why).value();
    key_pair rake = key_pair::generate(why).value();
    key_pair orders = key_pair::generate(why).value();
    std::vector<std::string> log;
    config_fold fold{admin.public_key()};

    [[nodiscard]] std::string system_body(const std::string& more = "") const
    {
        return "{\"team_keys\": {\"rake\": \"" + this->rake.public_key() +
               "\", \"orders\": \"" + this->orders.public_key() + "\"}" + more +
               "}";
    }

    std::string edit(const std::string& section, const std::string& editor,
                     const key_pair& key, std::uint64_t base,
                     const std::string& id, const std::string& body)
    {
        return config_edit::create(section_name::parse(section).value(), editor,
                                   base, id, body, this->why)
            .value()
            .sign(key)
            .to_record();
    }

    /// Appends a record to the log and applies it to the fold.
    edit_verdict append(const std::string& record)
    {
        this->log.push_back(record);
        return this->fold.apply(this->log.size() - 1, record);
    }

    /// Returns a fold of the log's records from an offset on, as if the earlier
    /// ones were no longer retained.
    config_fold fold_from(std::size_t first)
    {
        config_fold other(this->admin.public_key());
        other.set_first_retained(first);
        for (std::size_t i = first; i < this->log.size(); ++i)
        {
            other.apply(i, this->log[i]);
        }
        return other;
    }
};

} // namespace jujubedrum::tests
