#include "node/DeathCheck.h"

#include <QJsonDocument>
#include <QJsonObject>
#include <QTimer>
#include <utility>

namespace hemlockweir {

// Maximum number of polls. A poll is repeated only if its own connection breaks.
static constexpr int maxPolls = 4;
static constexpr Millis pollInterval { 50 };

// Returns whether a response shows that the group of this epoch no longer exists: no process listens,
// the leader has restarted, or the group has lost a member.
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
        // An exiting process may still have accepted the connection.
        if (response.end == CallEnd::Broken && pollsLeft > 1) {
            QTimer::singleShot(pollInterval, this, [this, pollsLeft] { this->poll(pollsLeft - 1); });
            return;
        }
        // The callback may destroy this object.
        const auto done = std::move(onDone_);
        done(indicatesDeath(response, options_.epoch)); } });
}

} // namespace hemlockweir
