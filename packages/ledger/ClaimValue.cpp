#include "ledger/ClaimValue.h"

#include <QCryptographicHash>
#include <QJsonDocument>
#include <QJsonObject>

namespace hemlockweir {

QByteArray claimKey(const ClaimRequest& request)
{
    const QByteArray who = QByteArray::fromStdString(request.caller) + '\n' + request.idempotencyKey;
    return claimPrefix + QCryptographicHash::hash(who, QCryptographicHash::Sha256).toHex();
}

QByteArray formatClaim(const ClaimValue& claim)
{
    QJsonObject value {
        { "token", QString::fromLatin1(claim.token) },
        { "owner", QString::fromStdString(claim.owner) },
        { "request", QString::fromLatin1(claim.requestHash.toHex()) },
        { "state", claim.state == ClaimState::Done ? "done" : "claimed" },
    };
    if (claim.answer) {
        value["status"] = claim.answer->status;
        value["content_type"] = QString::fromUtf8(claim.answer->contentType);
        value["body"] = QString::fromLatin1(claim.answer->body.toBase64());
    }
    return QJsonDocument(value).toJson(QJsonDocument::Compact);
}

ClaimValue parseClaim(const QByteArray& json)
{
    const QJsonObject value = QJsonDocument::fromJson(json).object();
    ClaimValue claim { .token = value["token"].toString().toLatin1(),
        .owner = value["owner"].toString().toStdString(),
        .requestHash = QByteArray::fromHex(value["request"].toString().toLatin1()),
        .state = value["state"].toString() == "claimed" ? ClaimState::Claimed : ClaimState::Done,
        .answer = {} };
    if (value.contains("body"))
        claim.answer = StoredAnswer { .status = value["status"].toInt(), .contentType = value["content_type"].toString().toUtf8(), .body = QByteArray::fromBase64(value["body"].toString().toLatin1()) };
    return claim;
}

} // namespace hemlockweir
