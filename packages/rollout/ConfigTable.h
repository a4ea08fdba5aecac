#pragma once

#include "config/Configuration.h"

#include <memory>
#include <mutex>

// Stores the current configuration for all threads. Thread-safe. No other lock is acquired while
// its lock is held.
//
// The platform's revision of the key orders all published configurations. The table accepts only a
// higher revision, so the order and the source of incoming documents do not matter.

namespace hemlockweir {

// A configuration and the platform's revision at which it was written.
struct ConfigSnapshot {
    std::shared_ptr<const Configuration> configuration; // never null
    int64_t revision = 0; // 0: none published yet
    QByteArray document; // the published JSON, sent to peers; empty: generate it from `configuration`
};

class ConfigTable {
public:
    ConfigTable();

    ConfigSnapshot snapshot() const;

    // Replaces the configuration if `revision` is higher than the current one. Otherwise returns
    // false.
    bool adopt(const Configuration& configuration, int64_t revision, const QByteArray& document = {});

private:
    mutable std::mutex mutex_;
    ConfigSnapshot snapshot_;
};

} // namespace hemlockweir
