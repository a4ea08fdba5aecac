#pragma once

#include "proxy/Dispatcher.h"

#include <string>
#include <vector>

// Exchange of usage reports between the dispatchers of a test.

namespace hemlockweir {

// Gives the usage of a node to all others, which receive it at once.
template <typename Node>
void reportUsage(std::vector<Node>& nodes, size_t from, Millis now)
{
    nodes[from].publishedAt = now;
    nodes[from].hasNews = false;
    PeerUsage usage = nodes[from].dispatcher->ownUsage();
    usage.receivedAt = now;
    for (size_t to = 0; to < nodes.size(); ++to) {
        if (to != from)
            nodes[to].dispatcher->updatePeerUsage("n" + std::to_string(from), usage);
    }
}

} // namespace hemlockweir
