#include "node/CallerApi.h"

#include "node/CompletionFlow.h"
#include "node/IssueKey.h"
#include "node/PlainFlow.h"

#include <QJsonArray>

namespace hemlockweir {

CallerApi::CallerApi(Options options, NodeContext& context, Hooks hooks)
    : options_(std::move(options))
    , context_(context)
    , hooks_(std::move(hooks))
    , limiter_(options_.maxRequestsPerCaller)
{
}

void CallerApi::handle(std::shared_ptr<Exchange> exchange)
{
    exchange->closesConnection = [&context = context_] { return context.isStopping.load(); };
    if (handlePublic(*exchange))
        return;
    context_.lastArrival = context_.clock();
    if (exchange->path().startsWith("/operator/"))
        handleOperator(*exchange);
    else if (exchange->path() == "/v1/completions")
        handleCompletion(std::move(exchange), false);
    else if (exchange->path() == "/v1/chat/completions")
        handleCompletion(std::move(exchange), true);
    else if (exchange->path() == "/v1/idempotency-keys")
        handleKeys(*exchange);
    else
        handlePlain(std::move(exchange));
}

QJsonObject CallerApi::listModels() const
{
    QJsonArray models;
    const ConfigSnapshot config = context_.config.snapshot();
    for (const Model& model : config.configuration->models)
        models.append(QJsonObject { { "id", QString::fromStdString(model.name) }, { "object", "model" } });
    return { { "object", "list" }, { "data", models } };
}

bool CallerApi::handlePublic(Exchange& exchange)
{
    const QString path = exchange.path();
    if (path != "/healthz" && path != "/readyz" && path != "/metrics" && path != "/v1/models")
        return false;
    if (exchange.method() != "GET" && exchange.method() != "HEAD")
        sendError(exchange, { .status = 405, .type = "bad_request", .message = "use GET", .outcome = Outcome::NotRun });
    else if (path == "/healthz")
        exchange.sendJson(200, { { "ok", true } });
    else if (path == "/readyz")
        exchange.sendJson(hooks_.isReady() ? 200 : 503, { { "ready", hooks_.isReady() } });
    else if (path == "/metrics")
        exchange.sendBytes(200, "text/plain; version=0.0.4", QByteArray::fromStdString(context_.metrics.expose()));
    else
        exchange.sendJson(200, listModels());
    return true;
}

void CallerApi::handleOperator(Exchange& exchange)
{
    // Comparing digests instead of keys prevents a timing attack on the key.
    const std::string givenHash = hashCallerKey(exchange.header("Authorization"));
    if (givenHash != hashCallerKey("Bearer " + options_.operatorKey)) {
        sendError(exchange, { .status = 401, .type = "unauthenticated", .message = "send Authorization: Bearer OPERATOR-KEY", .outcome = Outcome::NotRun });
        return;
    }
    if (exchange.path() == "/operator/status")
        exchange.sendJson(200, hooks_.status());
    else if (exchange.path() == "/operator/report")
        exchange.sendJson(200, hooks_.report->report());
    else if (exchange.path() == "/operator/explain")
        explain(exchange);
    else
        sendError(exchange, { .status = 404, .type = "not_found", .message = "no such operator path", .outcome = Outcome::NotRun });
}

void CallerApi::explain(Exchange& exchange)
{
    const std::string request = exchange.query("request").toStdString();
    const std::string group = exchange.query("group").toStdString();
    const std::string instance = exchange.query("instance").toStdString();
    if (!request.empty())
        exchange.sendJson(200, hooks_.report->explainRequest(request));
    else if (!group.empty())
        exchange.sendJson(200, hooks_.report->explainGroup(group));
    else if (!instance.empty())
        exchange.sendJson(200, hooks_.report->explainInstance(instance));
    else
        sendError(exchange, { .status = 400, .type = "bad_request", .message = "name a request, a group or an instance", .outcome = Outcome::NotRun });
}

void CallerApi::refuse(Exchange& exchange, const CallerRequest& request, const ErrorReply& error)
{
    RequestRecord record { .caller = request.caller.name, .priority = request.priority.name, .end = RequestEnd::Refused };
    record.requestId = request.requestId;
    record.reason = error.type + ": " + error.message;
    record.outcome = outcomeName(error.outcome);
    context_.metrics.recordRequest(record);
    sendError(exchange, error);
}

bool CallerApi::admitCaller(Exchange& exchange, const CallerRequest& request)
{
    if (!limiter_.acquire(request.caller.name)) {
        refuse(exchange, request, { .status = 429, .type = "too_many_requests", .message = "this caller has as many requests waiting and running here as it may", .outcome = Outcome::NotRun, .requestId = request.requestId, .retryAfter = Millis(1000) });
        return false;
    }
    QObject::connect(&exchange, &QObject::destroyed, [this, caller = request.caller.name] { limiter_.release(caller); });
    return true;
}

void CallerApi::handleCompletion(std::shared_ptr<Exchange> exchange, bool isChat)
{
    const ConfigSnapshot config = context_.config.snapshot();
    CallerRequestResult read = readCallerRequest(*exchange, *config.configuration, context_.random);
    if (!read.request) {
        sendError(*exchange, read.error);
        return;
    }
    ErrorReply error { .status = 400, .type = "bad_request", .message = {}, .outcome = Outcome::NotRun, .requestId = read.request->requestId };
    absl::StatusOr<CompletionRequest> completion = parseCompletionRequest(exchange->body(), isChat);
    if (exchange->method() != "POST") {
        error.status = 405;
        error.message = "use POST";
    } else if (!completion.ok()) {
        error.message = std::string(completion.status().message());
    } else if (!config.configuration->findModel(completion->model)) {
        error.status = 404;
        error.type = "unknown_model";
        error.message = "the model '" + completion->model + "' is not configured";
    }
    if (!error.message.empty()) {
        refuse(*exchange, *read.request, error);
        return;
    }
    if (!admitCaller(*exchange, *read.request))
        return;
    CompletionFlow::start(context_, std::move(exchange), std::move(*read.request), std::move(*completion));
}

void CallerApi::handleKeys(Exchange& exchange)
{
    const ConfigSnapshot config = context_.config.snapshot();
    const CallerRequestResult read = readCallerRequest(exchange, *config.configuration, context_.random);
    if (!read.request) {
        sendError(exchange, read.error);
        return;
    }
    if (const std::optional<ErrorReply> error = issueKey(context_, exchange, *read.request))
        refuse(exchange, *read.request, *error);
}

void CallerApi::handlePlain(std::shared_ptr<Exchange> exchange)
{
    const ConfigSnapshot config = context_.config.snapshot();
    const PlainService* service = config.configuration->findService(exchange->path().toStdString());
    if (!service) {
        sendError(*exchange, { .status = 404, .type = "not_found", .message = "no such path or service", .outcome = Outcome::NotRun });
        return;
    }
    CallerRequestResult read = readCallerRequest(*exchange, *config.configuration, context_.random);
    if (!read.request) {
        sendError(*exchange, read.error);
        return;
    }
    if (!admitCaller(*exchange, *read.request))
        return;
    PlainFlow::start(context_, std::move(exchange), std::move(*read.request), *service);
}

} // namespace hemlockweir
