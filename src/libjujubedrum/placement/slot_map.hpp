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

/// Slots of backend servers that one entry instance owns. Instances that build
/// their maps from the same inputs agree on the owner of every slot.
class slot_map
{
public:
    slot_map() = default;

    /// Divides the slots of every server among the instances of its failure
    /// domain, or of its region if the domain is adopted. The result does not
    /// depend on the order of the inputs. Leaving servers are included, because
    /// their running tasks still occupy slots.
    /// \param self name of the instance whose slots are returned.
    /// \param adopted domains without live entry instances.
    static slot_map build(const std::vector<backend_server>& servers,
                          const std::vector<entry_instance>& entries,
                          std::string_view self,
                          const std::vector<std::string>& adopted = {});

    /// Returns the number of owned slots of a server; 0 if it is unknown.
    [[nodiscard]] unsigned owned(std::string_view server) const;
    /// Returns the number of owned slots of all servers.
    [[nodiscard]] unsigned total() const;
    /// Returns the number of owned slots by server, without servers that have
    /// none.
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
