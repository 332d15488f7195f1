#include "membership/instance_page.hpp"

#include <limits>
#include <string>

#include <nlohmann/json.hpp>

namespace jujubedrum
{

namespace
{

using json = nlohmann::json;

constexpr std::size_t max_text_bytes = 128;

/// Reads typed fields of one object and keeps the first error.
class field_reader
{
public:
    field_reader(const json& object, std::string pointer)
        : object(object)
        , pointer(std::move(pointer))
    {
    }

    std::string text(const char* key, bool required)
    {
        const auto at = this->object.find(key);
        if (at == this->object.end() && !required)
        {
            return {};
        }
        if (at == this->object.end() || !at->is_string())
        {
            this->fail(key, "expected a string");
            return {};
        }
        auto value = at->get<std::string>();
        if (value.size() > max_text_bytes || (required && value.empty()))
        {
            this->fail(key, "expected 1 to 128 characters");
        }
        return value;
    }

    std::uint64_t number(const char* key, std::uint64_t max,
                         std::uint64_t fallback)
    {
        const auto at = this->object.find(key);
        if (at == this->object.end())
        {
            return fallback;
        }
        if (!at->is_number_unsigned() || at->get<std::uint64_t>() > max)
        {
            this->fail(key,
                       "expected an integer from 0 to " + std::to_string(max));
            return fallback;
        }
        return at->get<std::uint64_t>();
    }

    void fail(const std::string& key, std::string text)
    {
        if (!this->why)
        {
            this->why =
                membership_reason(membership_error::malformed_page,
                                  this->pointer + "/" + key, std::move(text));
        }
    }

    std::optional<membership_reason> why;

private:
    const json& object;
    std::string pointer;
};

instance_role read_role(field_reader& fields)
{
    const std::string role = fields.text("role", true);
    if (role == "backend")
    {
        return instance_role::backend;
    }
    if (role != "entry")
    {
        fields.fail("role", "expected \"entry\" or \"backend\"");
    }
    return instance_role::entry;
}

listed_state read_state(field_reader& fields)
{
    const std::string state = fields.text("state", true);
    if (state == "leaving")
    {
        return listed_state::leaving;
    }
    if (state == "gone")
    {
        return listed_state::removed;
    }
    if (state != "live")
    {
        fields.fail("state", "expected \"live\", \"leaving\" or \"gone\"");
    }
    return listed_state::live;
}

instance_info read_instance(field_reader& fields)
{
    constexpr std::uint64_t max_port = 65535;
    constexpr std::uint64_t max_slots = 4096;
    constexpr std::uint64_t max_memory_mb = std::uint64_t{1} << 40U;
    instance_info info;
    info.state = read_state(fields);
    // The platform may list a removed instance without its description.
    const bool required = info.state != listed_state::removed;
    info.name = fields.text("name", true);
    info.role = read_role(fields);
    info.domain = fields.text("domain", required);
    info.region = fields.text("region", false);
    info.address = fields.text("address", required);
    info.port = static_cast<std::uint16_t>(fields.number("port", max_port, 0));
    info.rpc_port =
        static_cast<std::uint16_t>(fields.number("rpc_port", max_port, 0));
    info.weight =
        static_cast<std::uint32_t>(fields.number("weight", max_slots, 1));
    info.slots =
        static_cast<std::uint32_t>(fields.number("slots", max_slots, 0));
    info.memory_mb = fields.number("memory_mb", max_memory_mb, 0);
    return info;
}

void leave_out(instance_page& page, const std::string& name,
               const membership_reason& why)
{
    page.malformed.push_back(name);
    if (page.malformed_reason.empty())
    {
        page.malformed_reason = why.message();
    }
}

void read_entry(const json& entry, const std::string& pointer,
                instance_page& page)
{
    if (!entry.is_object())
    {
        leave_out(
            page, "",
            {membership_error::malformed_page, pointer, "expected an object"});
        return;
    }
    field_reader fields(entry, pointer);
    instance_info info = read_instance(fields);
    if (fields.why)
    {
        leave_out(page, info.name, *fields.why);
        return;
    }
    page.changes.push_back(std::move(info));
}

std::optional<instance_page> read_page(const json& root, membership_reason& why)
{
    constexpr auto max_version = std::numeric_limits<std::uint64_t>::max();
    field_reader fields(root, "");
    instance_page page;
    page.version = fields.number("version", max_version, max_version);
    const auto full = root.find("full");
    if (full != root.end() && full->is_boolean())
    {
        page.full = full->get<bool>();
    }
    const auto changes = root.find("changes");
    if (page.version == max_version || changes == root.end() ||
        !changes->is_array())
    {
        fields.fail("",
                    "expected an integer \"version\" and an array \"changes\"");
        why = *fields.why;
        return std::nullopt;
    }
    if (changes->size() > max_listed_instances)
    {
        why = {membership_error::page_too_large, "/changes",
               "expected at most 4096 instances"};
        return std::nullopt;
    }
    for (std::size_t i = 0; i < changes->size(); ++i)
    {
        const std::string pointer = "/changes/" + std::to_string(i);
        read_entry((*changes)[i], pointer, page);
    }
    return page;
}

} // namespace

std::optional<instance_page> parse_instance_page(std::string_view text,
                                                 membership_reason& why)
{
    if (text.size() > max_page_bytes)
    {
        why = {membership_error::page_too_large, "",
               "expected a list page of at most 4 MiB"};
        return std::nullopt;
    }
    // nlohmann::json parses and destroys nested values without recursion, so
    // the depth of the page needs no bound.
    const json root = json::parse(text, nullptr, false);
    if (!root.is_object())
    {
        why = {membership_error::malformed_page, "", "expected a JSON object"};
        return std::nullopt;
    }
    return read_page(root, why);
}

} // namespace jujubedrum
