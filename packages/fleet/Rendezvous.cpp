#include "fleet/Rendezvous.h"

#include <QCryptographicHash>
#include <QtEndian>
#include <algorithm>

namespace hemlockweir {

uint64_t rendezvousWeight(const std::string& key, const std::string& candidate)
{
    // The separator keeps ("ab", "c") apart from ("a", "bc").
    const QByteArray text = QByteArray::fromStdString(key) + '\0' + QByteArray::fromStdString(candidate);
    return qFromBigEndian<quint64>(QCryptographicHash::hash(text, QCryptographicHash::Md5).constData());
}

size_t rendezvousRank(const std::string& key, const std::string& self, const std::vector<std::string>& candidates)
{
    const uint64_t own = rendezvousWeight(key, self);
    return static_cast<size_t>(std::count_if(candidates.begin(), candidates.end(), [&](const std::string& candidate) {
        return candidate != self && rendezvousWeight(key, candidate) > own;
    }));
}

} // namespace hemlockweir
