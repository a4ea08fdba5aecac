#include "node/PlainFlow.h"

#include "base/Log.h"

#include <algorithm>

namespace hemlockweir {

// Maximum number of instances that one request is sent to, if it is safe to send it again.
static constexpr uint32_t maxAttempts = 3;

void PlainFlow::start(NodeContext& context, std::shared_ptr<Exchange> exchange, CallerRequest request, PlainService service)
{
    auto* flow = new PlainFlow(context, std::move(exchange), std::move(request), std::move(service));
    flow->claim([flow] { flow->attempt(); });
}

PlainFlow::PlainFlow(NodeContext& context, std::shared_ptr<Exchange> exchange, CallerRequest request, PlainService service)
    : Flow(context, std::move(exchange), std::move(request))
    , service_(std::move(service))
{
}

void PlainFlow::cancelWork()
{
    call_.reset();
}

bool PlainFlow::isRetryable() const
{
    const QByteArray method = const_cast<PlainFlow*>(this)->exchange().method();
    return !isClaimed() && (method == "GET" || method == "HEAD" || service_.idempotent);
}

void PlainFlow::attempt()
{
    std::vector<Instance> candidates = context_.fleet.findPlainInstances(service_.pool);
    std::erase_if(candidates, [&](const Instance& instance) { return std::find(triedInstances_.begin(), triedInstances_.end(), instance.id) != triedInstances_.end(); });
    if (candidates.empty()) {
        fail({ .status = 503, .type = "no_instance", .message = "no live instance of this service is known", .outcome = mayHaveRun_ ? Outcome::Unknown : Outcome::NotRun, .retryAfter = Millis(1000) });
        return;
    }
    const Instance& instance = candidates[context_.random() % candidates.size()];
    instanceId_ = instance.id;
    triedInstances_.push_back(instance.id);
    ++record_.attempts;
    CallOptions options {
        .method = exchange().method(),
        .url = QUrl(QStringLiteral("http://") + QString::fromStdString(instance.address) + exchange().path()),
        .headers = {
            { "Content-Type", exchange().header("Content-Type").isEmpty() ? QByteArray("application/octet-stream") : exchange().header("Content-Type") },
            { "X-Request-Id", QByteArray::fromStdString(request().requestId) },
            { "X-Caller", QByteArray::fromStdString(request().caller.name) },
        },
        .body = exchange().body(),
        .firstByteTimeout = request().deadline,
        .silenceTimeout = context_.silenceTimeout,
    };
    if (!request().idempotencyKey.isEmpty())
        options.headers.push_back({ "Idempotency-Key", request().idempotencyKey });
    call_ = client().start(options, { .onHead = {}, .onData = {}, .onDone = [this](const CallResult& result) { handleCallEnd(result); } });
}

void PlainFlow::handleCallEnd(const CallResult& result)
{
    mayHaveRun_ = mayHaveRun_ || result.end != CallEnd::NotSent;
    if (result.end == CallEnd::Answered) {
        record_.firstToken = context_.clock() - arrivedAt_;
        const QByteArray contentType = result.contentType.isEmpty() ? QByteArray("application/octet-stream") : result.contentType;
        const StoredAnswer answer { .status = result.status, .contentType = contentType, .body = result.body };
        storeAnswer(answer, [this, answer] {
            exchange().sendBytes(answer.status, answer.contentType, answer.body, { { "X-Request-Id", QByteArray::fromStdString(request().requestId) } });
            end(RequestEnd::Whole);
        });
        return;
    }
    logWarning("attempt_failed", { { "request", request().requestId }, { "instance", instanceId_ }, { "error", result.error.toStdString() } });
    context_.fleet.dropStatus(instanceId_);
    if ((result.end == CallEnd::NotSent || isRetryable()) && record_.attempts < maxAttempts) {
        attempt();
        return;
    }
    fail({ .status = 502, .type = "endpoint_failed", .message = "the service's instance gave no whole answer", .outcome = mayHaveRun_ ? Outcome::Unknown : Outcome::NotRun });
}

} // namespace hemlockweir
