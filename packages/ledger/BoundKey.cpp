#include "ledger/BoundKey.h"

#include "wire/Codec.h"

#include <QList>

namespace hemlockweir {

static constexpr char prefix[] = "hemlockweir-1.";
static constexpr auto encoding = QByteArray::Base64UrlEncoding | QByteArray::OmitTrailingEquals;
static constexpr auto decoding = QByteArray::Base64UrlEncoding | QByteArray::AbortOnBase64DecodingErrors;

template <class Archive>
void BoundKey::serialize(Archive& archive)
{
    archive(bounded(home, maxEndpointLength), start, issuedAtMs, nonce);
}

static QByteArray makeKeyTag(const QByteArray& body, const std::string& caller, const QByteArray& clusterKey)
{
    return makeTag(prefix + body + '.' + QByteArray::fromStdString(caller), clusterKey);
}

bool hasBoundKeyPrefix(const QByteArray& text)
{
    return text.startsWith(prefix);
}

QByteArray formatBoundKey(const BoundKey& key, const std::string& caller, const QByteArray& clusterKey)
{
    const QByteArray body = encodeBody(key);
    return prefix + body.toBase64(encoding) + '.' + makeKeyTag(body, caller, clusterKey).toBase64(encoding);
}

absl::StatusOr<BoundKey> parseBoundKey(const QByteArray& text, const std::string& caller, const QByteArray& clusterKey)
{
    const auto denied = absl::PermissionDeniedError("the idempotency key was not issued to this caller by a node of this cluster");
    constexpr int parts = 3;
    const QList<QByteArray> split = text.split('.');
    if (split.size() != parts || !hasBoundKeyPrefix(text))
        return denied;
    const auto body = QByteArray::fromBase64Encoding(split[1], decoding);
    const auto tag = QByteArray::fromBase64Encoding(split[2], decoding);
    if (!body || !tag || !equalsInConstantTime(makeKeyTag(*body, caller, clusterKey), *tag))
        return denied;
    // Base64 can leave unused bits in the last character; accept only the canonical encoding.
    if ((*body).toBase64(encoding) != split[1] || (*tag).toBase64(encoding) != split[2])
        return denied;
    return decodeBody<BoundKey>(*body);
}

} // namespace hemlockweir
