#include "http/EventStream.h"

namespace hemlockweir {

static constexpr qsizetype maxEventBytes = 1024 * 1024;

bool EventStream::feed(const QByteArray& bytes)
{
    pending_ += bytes;
    qsizetype start = 0;
    for (qsizetype end = pending_.indexOf("\n\n"); end >= 0; end = pending_.indexOf("\n\n", start)) {
        const QByteArray event = pending_.mid(start, end - start);
        start = end + 2;
        if (event.startsWith("data:"))
            onEvent_(event.mid(5).trimmed());
    }
    pending_.remove(0, start);
    return pending_.size() <= maxEventBytes;
}

} // namespace hemlockweir
