#pragma once

#include "base/DecisionLog.h"
#include "gateway/PlatformAdapter.h"
#include "gateway/StoreFollower.h"
#include "proxy/CrashList.h"

// Keeps what crashes endpoints in the platform's store, so that it stays blocked after all nodes were killed or lost power at once.
//
// Only the planner writes: a key for each block that it found itself or read there, under a lease of the longest time for which a block
// holds. It removes the key once no node is known to block it any more. Each node applies a key when it first reads it, so a node that
// starts has the blocks before its first request. A block is kept from about a second after it was found; what is only suspected
// is not kept.

namespace hemlockweir {

class StoredBlocks {
public:
    struct Options {
        Clock clock;
        std::string node; // unique name; the value of the keys, for operators
        Millis lifetime { 600000 }; // ms, of a key; CrashList::Options::maxBlockTime
        Millis retryInterval { 3000 }; // ms, minimum between two writes of the same key
        size_t maxKeys = 64; // blocks to keep at a time
        std::function<bool()> mayWrite; // returns whether this node is the planner
        std::function<std::vector<CrashBlock>()> blocks; // returns the blocks in force
        std::function<void(const CrashBlock&)> onBlock; // a key was read for the first time
    };

    // Prefix of the keys. What is blocked follows: "part/" or "request/", and its hash in 16 hexadecimal digits.
    static const std::string keyPrefix;

    StoredBlocks(Options options, StoreFollower& store, const PlatformAdapter& adapter, DecisionLog& log);

    // Writes or removes the next key whose block has begun or ended. Call periodically and after each new block.
    void update();

private:
    void readKeys();
    std::map<std::string, CrashBlock> blocksByKey() const;
    bool isDue(const std::string& key) const;
    void write(const std::string& key);
    void put(const std::string& key, const KvLease& lease);
    void remove(const KvItem& item);
    void finishWrite(std::string_view event, const std::string& key, const absl::Status& status);

    Options options_;
    StoreFollower& store_;
    const PlatformAdapter& adapter_;
    DecisionLog& log_;
    std::map<std::string, StoreRevision> read_; // revisions of the keys that were read, by key
    std::map<std::string, Millis> writtenAt_; // by key
    bool isWriting_ = false; // a write waits for its answer
};

} // namespace hemlockweir
