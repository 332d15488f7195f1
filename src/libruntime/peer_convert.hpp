#pragma once

#include "capnp_text.hpp"
#include "engine/peer_messages.hpp"
#include "peer.capnp.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace jujubedrum
{

/// Conversions between value types and wire messages. Readers ignore list
/// elements beyond the first 4096.

[[nodiscard]] capnp::Data::Reader to_data(const std::string& from);
[[nodiscard]] std::string_view from_data(capnp::Data::Reader from);

/// Throws a kj::Exception if the digest is malformed.
[[nodiscard]] peer_digest read_digest(capnp::Data::Reader from);

void write_grant(wire::Grant::Builder to, const slot_grant& from);
[[nodiscard]] slot_grant read_grant(wire::Grant::Reader from);

void write_report(wire::GrantReport::Builder to, const grant_report& from);
[[nodiscard]] grant_report read_report(wire::GrantReport::Reader from);

void write_ids(capnp::List<std::uint64_t>::Builder to,
               const std::vector<std::uint64_t>& from);
[[nodiscard]] std::vector<std::uint64_t>
read_ids(capnp::List<std::uint64_t>::Reader from);

void write_records(capnp::List<wire::Record>::Builder to,
                   const std::vector<log_record>& from);
[[nodiscard]] std::vector<log_record>
read_records(capnp::List<wire::Record>::Reader from);

void write_failure(wire::Failure::Builder to, const peer_failure& from);
[[nodiscard]] peer_failure read_failure(wire::Failure::Reader from);

} // namespace jujubedrum
