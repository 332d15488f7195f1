#pragma once

#include "placement/backend_server.hpp"
#include "placement/entry_instance.hpp"

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace jujubedrum
{

/// Division of the slots of backend servers among entry instances. Instances
/// that build from the same inputs agree on the owner of every slot.
class slot_map
{
public:
    slot_map() = default;

    /// Divides the slots of every server among the instances of its failure
    /// domain, or of its region if the domain is adopted. The result does not
    /// depend on the order of the inputs; leaving servers are divided too,
    /// because their running tasks still occupy slots.
    /// \param self name of the instance whose slots are returned.
    /// \param adopted domains without live entry instances.
    static slot_map build(const std::vector<backend_server>& servers,
                          const std::vector<entry_instance>& entries,
                          std::string_view self,
                          const std::vector<std::string>& adopted = {});

    /// Returns the number of owned slots of a server; 0 if unknown.
    [[nodiscard]] unsigned owned(std::string_view server) const;
    /// Returns the number of owned slots of all servers.
    [[nodiscard]] unsigned total() const;
    /// Returns the servers with at least one owned slot.
    [[nodiscard]] const std::map<std::string, unsigned, std::less<>>&
    servers() const
    {
        return this->counts;
    }

    bool operator==(const slot_map&) const = default;

private:
    std::map<std::string, unsigned, std::less<>> counts;
};

} // namespace jujubedrum
