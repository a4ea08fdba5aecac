#include "proxy/ProxyFlow.h"

// The part of ProxyFlow that counts what it holds for endpoints.

namespace hemlockweir {

// Returns whether the copy of the request that waits for the endpoint to read it fits into the memory for endpoints. If not,
// frees the slot at the target and ends the request.
bool ProxyFlow::hasMemoryFor(const Target& target)
{
    const size_t bytes = options_.request.body.size();
    if (!context_.endpointMemory || context_.endpointMemory->hasRoom(bytes))
        return true;
    constexpr std::string_view reason = "memory_budget";
    context_.dispatcher.release(target.id, options_.id);
    context_.log.noteFailure("request_refused", { { "request", requestId_ }, { "organisation", organisation_ }, { "route", route_.name }, { "reason", std::string(reason) }, { "body_bytes", std::to_string(bytes) }, { "endpoint_memory_bytes", std::to_string(context_.endpointMemory->used()) }, { "sends", std::to_string(sends_) } });
    fail(reason);
    return false;
}

// Tells the budget what is held of the answer: a body that is buffered for another attempt, or an incomplete event.
void ProxyFlow::noteHeldBytes()
{
    const size_t bytes = (attempt_ ? attempt_->body.capacity() : 0) + eventSplitter_.partialBytes();
    if (std::exchange(notedBytes_, bytes) != bytes)
        held_.update(bytes);
}

} // namespace hemlockweir
