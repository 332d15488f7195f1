#include "peer_convert.hpp"

#include "membership/digest_codec.hpp"

#include <algorithm>
#include <utility>

#include <kj/debug.h>

namespace jujubedrum
{

namespace
{

constexpr unsigned max_list_size = 4096;

} // namespace

capnp::Data::Reader to_data(const std::string& from)
{
    return {reinterpret_cast<const kj::byte*>(from.data()), from.size()};
}

std::string_view from_data(capnp::Data::Reader from)
{
    return {reinterpret_cast<const char*>(from.begin()), from.size()};
}

peer_digest read_digest(capnp::Data::Reader from)
{
    membership_reason why;
    auto digest = decode_digest(from_data(from), why);
    if (!digest)
    {
        kj::throwFatalException(KJ_EXCEPTION(FAILED, "malformed digest"));
    }
    return std::move(*digest);
}

void write_grant(wire::Grant::Builder to, const slot_grant& from)
{
    to.setSequence(from.sequence);
    auto slots = to.initSlots(static_cast<unsigned>(from.slots.size()));
    for (unsigned i = 0; i < slots.size(); ++i)
    {
        slots[i].setServer(to_text(from.slots[i].server));
        slots[i].setCount(from.slots[i].count);
    }
}

slot_grant read_grant(wire::Grant::Reader from)
{
    slot_grant grant;
    grant.sequence = from.getSequence();
    const auto slots = from.getSlots();
    for (unsigned i = 0; i < std::min(slots.size(), max_list_size); ++i)
    {
        grant.slots.push_back(
            {from_text(slots[i].getServer()), slots[i].getCount()});
    }
    return grant;
}

void write_report(wire::GrantReport::Builder to, const grant_report& from)
{
    if (!from.borrower.empty())
    {
        to.setBorrower(to_text(from.borrower));
    }
    to.setThrough(from.through);
    to.setFree(from.free);
    if (!from.held.empty())
    {
        auto held = to.initHeld(static_cast<unsigned>(from.held.size()));
        for (unsigned i = 0; i < held.size(); ++i)
        {
            write_grant(held[i], from.held[i]);
        }
    }
    if (!from.open.empty())
    {
        write_ids(to.initOpen(static_cast<unsigned>(from.open.size())),
                  from.open);
    }
}

grant_report read_report(wire::GrantReport::Reader from)
{
    grant_report report;
    report.borrower = from_text(from.getBorrower());
    report.through = from.getThrough();
    report.free = from.getFree();
    report.open = read_ids(from.getOpen());
    const auto held = from.getHeld();
    for (unsigned i = 0; i < std::min(held.size(), max_list_size); ++i)
    {
        report.held.push_back(read_grant(held[i]));
    }
    return report;
}

void write_ids(capnp::List<std::uint64_t>::Builder to,
               const std::vector<std::uint64_t>& from)
{
    for (unsigned i = 0; i < to.size(); ++i)
    {
        to.set(i, from[i]);
    }
}

std::vector<std::uint64_t> read_ids(capnp::List<std::uint64_t>::Reader from)
{
    std::vector<std::uint64_t> ids;
    for (unsigned i = 0; i < std::min(from.size(), max_list_size); ++i)
    {
        ids.push_back(from[i]);
    }
    return ids;
}

void write_records(capnp::List<wire::Record>::Builder to,
                   const std::vector<log_record>& from)
{
    for (unsigned i = 0; i < to.size(); ++i)
    {
        to[i].setOffset(from[i].offset);
        to[i].setData(to_text(from[i].data));
    }
}

std::vector<log_record> read_records(capnp::List<wire::Record>::Reader from)
{
    std::vector<log_record> records;
    for (unsigned i = 0; i < std::min(from.size(), max_list_size); ++i)
    {
        records.push_back({from[i].getOffset(), from_text(from[i].getData())});
    }
    return records;
}

void write_failure(wire::Failure::Builder to, const peer_failure& from)
{
    to.setError(static_cast<std::uint16_t>(from.error));
    to.setMayHaveRun(from.delivery == peer_delivery::unknown);
    to.setText(to_text(from.text));
}

peer_failure read_failure(wire::Failure::Reader from)
{
    const bool overloaded =
        from.getError() == static_cast<std::uint16_t>(peer_error::overloaded);
    return {overloaded ? peer_error::overloaded : peer_error::refused,
            from.getMayHaveRun() ? peer_delivery::unknown
                                 : peer_delivery::not_sent,
            from_text(from.getText())};
}

} // namespace jujubedrum
