#pragma once

#include "node/CallerRequest.h"
#include "node/NodeContext.h"

// POST /v1/idempotency-keys: makes a caller a key bound to this node (ledger/BoundKey.h). The
// answer is {"key":"...","expires_in_s":7200}; any node takes the key, with or without the platform.

namespace hemlockweir {

// Answers the request. Returns the error, if there is one, for the caller to send and to record.
std::optional<ErrorReply> issueKey(NodeContext& context, Exchange& exchange, const CallerRequest& request);

} // namespace hemlockweir
