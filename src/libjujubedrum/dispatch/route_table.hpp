#pragma once

#include "base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace jujubedrum
{

/// A route ("queue") of the published configuration.
struct route
{
    std::string name;
    std::string host;
    std::string prefix; ///< of the request path
    std::string service;
    milliseconds timeout{0}; ///< maximum time for a request
    milliseconds target{0};  ///< added to the stretched critical path
    double stretch = 1.0;    ///< objective as a multiple of the critical path
    std::uint32_t priority = 0;
    std::uint32_t max_attempts = 1;
    bool needs_advice = false; ///< an external service restricts the servers

    bool operator==(const route&) const = default;
};

/// Limits on requests of callers.
struct request_limits
{
    std::size_t header_bytes = 16384;
    std::size_t body_bytes = 262144;
    milliseconds header_timeout{3000}; ///< for the header to arrive
    milliseconds idle_timeout{
        15000}; ///< of an open connection without a request

    bool operator==(const request_limits&) const = default;
};

/// A version of the published configuration.
struct route_document
{
    std::uint64_t version = 0;
    std::vector<route> routes;
    request_limits limits;

    bool operator==(const route_document&) const = default;
};

/// The configuration in force. Its version never decreases.
class route_table
{
public:
    /// Puts a document in force; returns false if it is not newer.
    bool apply(route_document document);
    /// Returns the version in force; 0 before the first one.
    [[nodiscard]] std::uint64_t version() const
    {
        return this->current.version;
    }
    [[nodiscard]] const request_limits& limits() const
    {
        return this->current.limits;
    }
    [[nodiscard]] std::size_t size() const
    {
        return this->current.routes.size();
    }
    /// Returns the priorities of the routes.
    [[nodiscard]] std::set<std::uint32_t> priorities() const;
    /// Returns the route with the longest prefix of the path, or null.
    /// \param host without port, in any case.
    [[nodiscard]] const route* find(std::string_view host,
                                    std::string_view path) const;

private:
    route_document current;
    /// Positions of the routes by host, then by prefix.
    std::map<std::string, std::map<std::string, std::size_t, std::less<>>,
             std::less<>>
        by_host;
};

} // namespace jujubedrum
