#pragma once

#include "config/Configuration.h"

#include <memory>
#include <mutex>

// The configuration in force, shared by all threads. Thread-safe; its lock is a leaf.
//
// The platform's revision of the key orders all configurations ever published. A table only moves
// up in that order, so the order in which documents arrive, and from whom, does not matter.

namespace hemlockweir {

// A configuration and the platform's revision that it was written at.
struct ConfigSnapshot {
    std::shared_ptr<const Configuration> configuration; // never null
    int64_t revision = 0; // 0: none published yet
    QByteArray document; // the JSON it was read from, for peers; empty: made from `configuration`
};

class ConfigTable {
public:
    ConfigTable();

    ConfigSnapshot snapshot() const;

    // Puts a configuration in force if its revision is above the one held; false otherwise.
    bool adopt(const Configuration& configuration, int64_t revision, const QByteArray& document = {});

private:
    mutable std::mutex mutex_;
    ConfigSnapshot snapshot_;
};

} // namespace hemlockweir
