#pragma once

#include <QByteArray>
#include <functional>

// Splits a stream of server-sent events into their data fields. Events that don't start with a
// data field are skipped.

namespace hemlockweir {

class EventStream {
public:
    // Called with the data of each event, in order.
    explicit EventStream(std::function<void(const QByteArray&)> onEvent)
        : onEvent_(std::move(onEvent))
    {
    }

    // Parses the next bytes of the stream. Returns false when an incomplete event exceeds 1 MiB.
    bool feed(const QByteArray& bytes);

private:
    std::function<void(const QByteArray&)> onEvent_;
    QByteArray pending_;
};

} // namespace hemlockweir
