#include "gateway/EngineOrders.h"

#include "http/StatusCodes.h"

namespace hemlockweir {

EngineOrders::EngineOrders(boost::asio::io_context& context, Options options, const PlatformAdapter& adapter, DecisionLog& log, ProxyMetrics& metrics)
    : context_(context)
    , options_(std::move(options))
    , adapter_(adapter)
    , log_(log)
    , metrics_(metrics)
    , pool_(context, { .clock = options_.clock, .maxIdlePerServer = 1 })
{
}

void EngineOrders::send(const EngineOrder& order)
{
    queue_.push_back(order);
    sendNext();
}

void EngineOrders::sendNext()
{
    while (!queue_.empty() && ordersInFlight_ < options_.maxConcurrentOrders) {
        const EngineOrder order = std::move(queue_.front());
        queue_.pop_front();
        if (mayOrder(order))
            call(order);
        else
            finish(order, OrderResult::Unsent, options_.clock());
    }
}

void EngineOrders::call(const EngineOrder& order)
{
    ++ordersInFlight_;
    const Millis sentAt = options_.clock();
    // Uses a new connection: if a reused one turned out dead, it would be unknown whether the engine accepted the order.
    callServer(context_, pool_, { .address = order.address, .port = order.port, .request = adapter_.formatOrder(order), .timeout = options_.orderTimeout, .mayReuse = false, .maySend = [this, order] { return mayOrder(order); } },
        [this, order, sentAt](const absl::StatusOr<CallAnswer>& answer) {
            --ordersInFlight_;
            OrderResult result = OrderResult::Unknown;
            if (answer.ok())
                result = adapter_.readOrderResult(answer->status);
            else if (absl::IsUnavailable(answer.status()))
                result = OrderResult::Unreachable;
            else if (absl::IsCancelled(answer.status()))
                result = OrderResult::Unsent;
            finish(order, result, sentAt);
            sendNext();
        });
}

void EngineOrders::finish(const EngineOrder& order, OrderResult result, Millis sentAt)
{
    const std::string kind(orderKindName(order.kind));
    const std::string name(orderResultName(result));
    metrics_.countOrder(kind, name);
    log_.noteChange("engine_order", { { "order", kind }, { "engine", order.engine }, { "group", order.group }, { "epoch", std::to_string(order.epoch) }, { "model", order.model }, { "result", name }, { "took_ms", std::to_string((options_.clock() - sentAt).count()) }, { "term", std::to_string(order.fencingToken) } });
    options_.onResult(order, result);
}

void EngineOrders::probe(const EndpointInfo& engine)
{
    callServer(context_, pool_, { .address = engine.address, .port = engine.port, .request = adapter_.formatReportRequest(engine.address, engine.port), .timeout = options_.probeTimeout, .mayReuse = false, .maySend = [this, domain = engine.domain] { return !isEvacuated(domain); } },
        [this, id = engine.id, startedAtMs = engine.startedAtMs](const absl::StatusOr<CallAnswer>& answer) {
            if (absl::IsCancelled(answer.status())) {
                log_.noteChange("probe_withheld", { { "endpoint", id }, { "reason", "evacuated" } });
                return;
            }
            const bool isReport = answer.ok() && answer->status == statusOk;
            const EngineReport report = isReport ? adapter_.readReport(answer->body) : EngineReport {};
            // Another process may have taken over the address in the meantime.
            const bool isSameProcess = answer.ok() && report.startedAtMs.value_or(startedAtMs) == startedAtMs;
            options_.onProbed(id, isSameProcess, report.replica);
        });
}

} // namespace hemlockweir
