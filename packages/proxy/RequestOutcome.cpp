#include "proxy/RequestOutcome.h"

namespace hemlockweir {

// Returns when the request arrived relative to the start of the shutdown; negative if it arrived before.
static std::string formatArrival(const ProxyContext& context, Millis startedAt)
{
    return context.shutdown ? std::to_string((startedAt - context.shutdown->startedAt).count()) : "none";
}

void noteOutcome(ProxyContext& context, const RequestOutcome& outcome)
{
    const Millis now = context.clock();
    const Millis total = now - outcome.times.startedAt;
    const Millis firstByte = outcome.times.firstByte(now);
    context.metrics.countRequest(outcome.organisation, outcome.priority, outcome.end, outcome.reason);
    const bool isServed = outcome.end == "served" || outcome.end == "late";
    if (isServed)
        context.metrics.observe(outcome.organisation, outcome.priority, firstByte, total);
    const auto fields = {
        LogField { "request", outcome.requestId },
        LogField { "organisation", outcome.organisation },
        LogField { "route", outcome.route },
        LogField { "end", outcome.end },
        LogField { "reason", outcome.reason },
        LogField { "first_byte_ms", std::to_string(firstByte.count()) },
        LogField { "total_ms", std::to_string(total.count()) },
        LogField { "waited_ms", std::to_string(outcome.times.waited.count()) },
        LogField { "longest_gap_ms", std::to_string(outcome.times.longestGap.count()) },
        LogField { "sends", std::to_string(outcome.sends) },
        LogField { "endpoint", outcome.endpoint },
        LogField { "config_version", outcome.configurationVersion ? std::to_string(*outcome.configurationVersion) : "none" },
        LogField { "number_on_connection", std::to_string(outcome.numberOnConnection) },
        LogField { "after_stop_ms", formatArrival(context, outcome.times.startedAt) },
    };
    if (isServed)
        context.log.note("request_done", fields);
    else
        context.log.noteFailure("request_done", fields);
}

} // namespace hemlockweir
