#pragma once

#include <QByteArray>
#include <functional>

// Splits a stream of server-sent events into their data fields.

namespace hemlockweir {

class EventStream {
public:
    // Called with the data of each event, in order.
    explicit EventStream(std::function<void(const QByteArray&)> onEvent)
        : onEvent_(std::move(onEvent))
    {
    }

    // Takes the next bytes of the stream; false once an event exceeds the size limit.
    bool feed(const QByteArray& bytes);

private:
    std::function<void(const QByteArray&)> onEvent_;
    QByteArray pending_;
};

} // namespace hemlockweir
