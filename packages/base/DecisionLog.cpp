#include "base/DecisionLog.h"

#include <absl/strings/str_format.h>
#include <algorithm>
#include <poll.h>
#include <unistd.h>

namespace hemlockweir {

bool DecisionLog::TokenBucket::tryAcquire(Millis now, double perSecond, double burst)
{
    const double seconds = std::chrono::duration<double>(now - updatedAt_).count();
    tokens_ = tokens_ < 0 ? burst : std::min(burst, tokens_ + seconds * perSecond);
    updatedAt_ = now;
    if (tokens_ < 1)
        return false;
    tokens_ -= 1;
    return true;
}

DecisionLog::DecisionLog(Options options)
    : options_(std::move(options))
{
}

void DecisionLog::note(std::string_view event, std::initializer_list<LogField> fields)
{
    noteLimited(ordinary_, event, fields);
}

void DecisionLog::noteFailure(std::string_view event, std::initializer_list<LogField> fields)
{
    noteLimited(failures_, event, fields);
}

void DecisionLog::noteChange(std::string_view event, std::initializer_list<LogField> fields)
{
    noteLimited(changes_, event, fields);
}

void DecisionLog::noteLimited(TokenBucket& bucket, std::string_view event, std::initializer_list<LogField> fields)
{
    if (bucket.tryAcquire(options_.clock(), options_.linesPerSecond, options_.burst))
        write(event, fields);
    else
        ++omitted_;
}

void DecisionLog::reportOmitted()
{
    if (omitted_ == 0)
        return;
    const uint64_t count = std::exchange(omitted_, 0);
    write("log_lines_omitted", { { "count", std::to_string(count) } });
}

void DecisionLog::write(std::string_view event, std::initializer_list<LogField> fields)
{
    const double seconds = std::chrono::duration<double>(options_.clock()).count();
    const std::string line = absl::StrFormat("t=%.3f %s\n", seconds, formatEvent(event, fields));
    pollfd ready { .fd = options_.descriptor, .events = POLLOUT, .revents = 0 };
    const bool hasRoom = poll(&ready, 1, 0) == 1 && (ready.revents & POLLOUT) != 0;
    if (!hasRoom || ::write(options_.descriptor, line.data(), line.size()) < 0)
        ++omitted_;
}

} // namespace hemlockweir
