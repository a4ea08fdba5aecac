#include "node/IssueKey.h"

namespace hemlockweir {

std::optional<ErrorReply> issueKey(NodeContext& context, Exchange& exchange, const CallerRequest& request)
{
    ErrorReply error { .status = 405, .type = "bad_request", .message = "use POST", .outcome = Outcome::NotRun, .requestId = request.requestId };
    if (exchange.method() != "POST")
        return error;
    const absl::StatusOr<QByteArray> key = context.homeLedger.issue(request.caller.name);
    if (!key.ok()) {
        error.status = 503;
        error.type = "no_key";
        error.message = std::string(key.status().message()) + "; ask another node";
        error.retryAfter = Millis(1000);
        return error;
    }
    const auto lifetime = std::chrono::duration_cast<std::chrono::seconds>(context.homeLedger.keyLifetime());
    exchange.sendJson(200, { { "key", QString::fromLatin1(*key) }, { "expires_in_s", static_cast<double>(lifetime.count()) } });
    return std::nullopt;
}

} // namespace hemlockweir
