#include "node/DeathLook.h"

#include <QJsonDocument>
#include <QJsonObject>
#include <QTimer>
#include <utility>

namespace hemlockweir {

// Looks at a leader whose connection broke, while the looks break as well.
static constexpr int looksAtDeath = 4;
static constexpr Millis lookInterval { 50 };

// Whether a look shows that the group of this epoch is gone: nobody listens, it was started anew,
// or it lost a member.
static bool showsDeath(const CallResult& look, uint64_t epoch)
{
    if (look.end == CallEnd::NotSent)
        return true;
    const QJsonObject status = QJsonDocument::fromJson(look.body).object();
    const double current = status["epoch"].toDouble();
    return look.isSuccess() && (current < static_cast<double>(epoch) || (current == static_cast<double>(epoch) && status["state"].toString() == "broken"));
}

DeathLook::DeathLook(Options options, std::function<void(bool isDead)> onDone)
    : options_(std::move(options))
    , onDone_(std::move(onDone))
{
    look(looksAtDeath);
}

void DeathLook::look(int looksLeft)
{
    const CallOptions call { .method = "GET",
        .url = QUrl(QStringLiteral("http://") + QString::fromStdString(options_.leader) + QStringLiteral("/status")),
        .headers = {},
        .body = {},
        .firstByteTimeout = options_.timeout,
        .silenceTimeout = options_.timeout };
    call_ = options_.client.start(call, { .onHead = {}, .onData = {}, .onDone = [this, looksLeft](const CallResult& seen) {
        // A process that is just ending may still have taken the connection.
        if (seen.end == CallEnd::Broken && looksLeft > 1) {
            QTimer::singleShot(lookInterval, this, [this, looksLeft] { this->look(looksLeft - 1); });
            return;
        }
        // What is called may destroy this object.
        const auto done = std::move(onDone_);
        done(showsDeath(seen, options_.epoch)); } });
}

} // namespace hemlockweir
