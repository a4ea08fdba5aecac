#include "config/ConnectionShares.h"

#include <algorithm>

namespace hemlockweir {

// A quarter of the descriptors, within these bounds, is kept for all that is no caller and no endpoint: listeners, the
// store, other nodes, probes and orders, and operators. Of that, a quarter each is for the control and the ready address.
static constexpr size_t minReserved = 64;
static constexpr size_t maxReserved = 512;
static constexpr size_t reservedShare = 4;
// A request at work has a connection from its caller and one to its endpoint. Idle connections to endpoints take the rest.
static constexpr size_t callerFifths = 2;
// Descriptors below which the process has too few to serve anyone.
static constexpr size_t minOpenFiles = 128;

ConnectionShares shareDescriptors(size_t openFiles)
{
    const size_t usable = std::max(openFiles, minOpenFiles);
    const size_t reserved = std::clamp(usable / reservedShare, minReserved, maxReserved);
    const size_t fifth = (usable - reserved) / 5;
    return { .callers = callerFifths * fifth, .idleEndpoints = fifth, .control = reserved / reservedShare };
}

} // namespace hemlockweir
