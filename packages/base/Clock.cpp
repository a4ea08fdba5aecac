#include "base/Clock.h"

#include <cstdio>
#include <ctime>
#include <memory>
#include <mutex>
#include <random>

namespace hemlockweir {

Clock makeSteadyClock()
{
    return [] {
        timespec now {};
        // Fails only for an unknown clock id; CLOCK_BOOTTIME exists since Linux 2.6.39.
        clock_gettime(CLOCK_BOOTTIME, &now);
        return std::chrono::duration_cast<Millis>(std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec));
    };
}

Random makeSystemRandom()
{
    std::random_device device;
    return makeSeededRandom((static_cast<uint64_t>(device()) << 32) | device());
}

Random makeSeededRandom(uint64_t seed)
{
    struct Generator {
        std::mutex mutex;
        std::mt19937_64 engine;
    };
    auto generator = std::make_shared<Generator>();
    generator->engine.seed(seed);
    return [generator] {
        std::lock_guard lock(generator->mutex);
        return generator->engine();
    };
}

std::string makeRandomId(const Random& random)
{
    constexpr size_t idBytes = 17;
    char text[idBytes];
    std::snprintf(text, sizeof(text), "%016llx", static_cast<unsigned long long>(random()));
    return text;
}

} // namespace hemlockweir
