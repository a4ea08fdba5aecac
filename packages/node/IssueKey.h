#pragma once

#include "node/CallerRequest.h"
#include "node/NodeContext.h"

// Implements POST /v1/idempotency-keys, which issues a key that is bound to this node
// (ledger/BoundKey.h). The answer is {"key":"...","expires_in_s":7200}. Any node accepts the key, even
// while the platform is unavailable.

namespace hemlockweir {

// Answers the request. On failure, returns the error, which the calling code must send and record.
std::optional<ErrorReply> issueKey(NodeContext& context, Exchange& exchange, const CallerRequest& request);

} // namespace hemlockweir
