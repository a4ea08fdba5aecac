#include "node/CallerRequest.h"

#include <cctype>

namespace hemlockweir {

static constexpr qsizetype maxRequestIdLength = 64;
static constexpr qsizetype maxIdempotencyKeyLength = 255;

static std::string readRequestId(const Exchange& exchange, const Random& random)
{
    const QByteArray givenId = exchange.header("X-Request-Id");
    bool isValid = !givenId.isEmpty() && givenId.size() <= maxRequestIdLength;
    for (const char c : givenId)
        isValid = isValid && (std::isalnum(static_cast<unsigned char>(c)) || c == '-' || c == '_' || c == '.');
    return isValid ? givenId.toStdString() : makeRandomId(random);
}

CallerRequestResult readCallerRequest(const Exchange& exchange, const Configuration& configuration, const Random& random)
{
    const std::string requestId = readRequestId(exchange, random);
    auto refuse = [&](int status, const char* type, const std::string& message) {
        return CallerRequestResult { .request = {}, .error = { .status = status, .type = type, .message = message, .outcome = Outcome::NotRun, .requestId = requestId } };
    };
    const QByteArray authorization = exchange.header("Authorization");
    constexpr char scheme[] = "Bearer ";
    if (!authorization.startsWith(scheme))
        return refuse(401, "unauthenticated", "send Authorization: Bearer KEY");
    const Caller* caller = configuration.findCallerByKey(hashCallerKey(authorization.mid(sizeof(scheme) - 1).trimmed()));
    if (!caller)
        return refuse(401, "unauthenticated", "the caller's key is unknown");

    const QByteArray requestedPriority = exchange.header("X-Priority");
    const std::string priorityName = requestedPriority.isEmpty() ? caller->defaultPriority : requestedPriority.toStdString();
    const PriorityClass* priority = configuration.findPriority(priorityName);
    if (!priority)
        return refuse(400, "unknown_priority", "X-Priority names the unknown priority '" + priorityName + "'");

    Millis deadline(priority->deadlineMs);
    const QByteArray deadlineText = exchange.header("X-Deadline-Ms");
    if (!deadlineText.isEmpty()) {
        bool isNumber = false;
        const int ms = deadlineText.toInt(&isNumber);
        if (!isNumber || ms <= 0)
            return refuse(400, "bad_deadline", "X-Deadline-Ms takes a whole number of milliseconds above 0");
        deadline = Millis(ms);
    }
    const QByteArray idempotencyKey = exchange.header("Idempotency-Key");
    if (idempotencyKey.size() > maxIdempotencyKeyLength)
        return refuse(400, "bad_idempotency_key", "Idempotency-Key takes at most 255 bytes");
    return { .request = CallerRequest { .requestId = requestId, .caller = *caller, .priority = *priority, .deadline = deadline, .idempotencyKey = idempotencyKey }, .error = {} };
}

} // namespace hemlockweir
