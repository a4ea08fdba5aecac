#include "node/DeathCheck.h"

#include <QJsonDocument>
#include <QJsonObject>
#include <QTimer>
#include <utility>

namespace hemlockweir {

// Looks at a leader whose connection broke, while the looks break as well.
static constexpr int maxPolls = 4;
static constexpr Millis pollInterval { 50 };

// Whether a poll shows that the group of this epoch is gone: nobody listens, it was started anew,
// or it lost a member.
static bool indicatesDeath(const CallResult& response, uint64_t epoch)
{
    if (response.end == CallEnd::NotSent)
        return true;
    const QJsonObject status = QJsonDocument::fromJson(response.body).object();
    const double current = status["epoch"].toDouble();
    return response.isSuccess() && (current < static_cast<double>(epoch) || (current == static_cast<double>(epoch) && status["state"].toString() == "broken"));
}

DeathCheck::DeathCheck(Options options, std::function<void(bool isDead)> onDone)
    : options_(std::move(options))
    , onDone_(std::move(onDone))
{
    poll(maxPolls);
}

void DeathCheck::poll(int pollsLeft)
{
    const CallOptions call { .method = "GET",
        .url = QUrl(QStringLiteral("http://") + QString::fromStdString(options_.leader) + QStringLiteral("/status")),
        .headers = {},
        .body = {},
        .firstByteTimeout = options_.timeout,
        .silenceTimeout = options_.timeout };
    call_ = options_.client.start(call, { .onHead = {}, .onData = {}, .onDone = [this, pollsLeft](const CallResult& response) {
        // A process that is just ending may still have taken the connection.
        if (response.end == CallEnd::Broken && pollsLeft > 1) {
            QTimer::singleShot(pollInterval, this, [this, pollsLeft] { this->poll(pollsLeft - 1); });
            return;
        }
        // What is called may destroy this object.
        const auto done = std::move(onDone_);
        done(indicatesDeath(response, options_.epoch)); } });
}

} // namespace hemlockweir
