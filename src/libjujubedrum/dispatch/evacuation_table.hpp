#pragma once

#include "dispatch/evacuation.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace jujubedrum
{

/// The operator's newest records on failure domains, merged from the store and
/// from the heartbeats of peers in any order. Made for a store that drops
/// records at any time, and for instances that cannot reach it.
class evacuation_table
{
public:
    /// Adds a record of the store's log, or one of which a peer informed this
    /// instance. An older one has no effect.
    void add(const evacuation& record);
    /// Adds the list of all keys in force, which was read when the topic ended
    /// at `end`. A domain that is not in it is not evacuated as of `end`, also
    /// if the record that says so was dropped.
    void add_list(const std::set<std::string>& domains, std::uint64_t end);
    /// Adds the records of a peer.
    /// \param known whether the peer itself knows the operator's records.
    void add_peer(const std::vector<evacuation>& records, bool known);

    /// Returns the evacuated domains, or nothing while neither a whole list was
    /// read nor a peer that knows was heard.
    [[nodiscard]] std::optional<std::set<std::string>> evacuated() const;
    /// Returns the newest record of each domain, for the peers.
    [[nodiscard]] std::vector<evacuation> records() const;
    [[nodiscard]] bool known() const { return this->informed; }
    /// Returns the offset of the newest record on a domain; 0 if there is none.
    [[nodiscard]] std::uint64_t offset_of(const std::string& domain) const;

private:
    std::map<std::string, evacuation> newest; ///< by domain
    std::uint64_t list_end = 0; ///< of the last whole list; 0: none was read
    bool informed = false;
};

} // namespace jujubedrum
