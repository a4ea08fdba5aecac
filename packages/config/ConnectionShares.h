#pragma once

#include <compare>
#include <cstddef>

// How the descriptors of a process are shared between its kinds of connections.

namespace hemlockweir {

struct ConnectionShares {
    size_t callers = 0; // open connections of callers
    size_t idleEndpoints = 0; // connections to endpoints that are kept for reuse
    size_t control = 0; // open connections at each address for operators, balancers and other nodes

    auto operator<=>(const ConnectionShares&) const = default;
};

// Returns the shares of so many descriptors. A request at work has a connection from its caller and one to its endpoint.
ConnectionShares shareDescriptors(size_t openFiles);

} // namespace hemlockweir
