#include "ctl/Publish.h"

namespace hemlockweir {

namespace {

    // One publish and its tries.
    struct Attempt {
        KvClient& platform;
        Configuration configuration;
        PublishOptions options;
        Callback<int64_t> done;
        int triesLeft = 0;
        bool mayHaveWritten = false;
    };

    void readThenWrite(const std::shared_ptr<Attempt>& attempt);

    void retryOrGiveUp(const std::shared_ptr<Attempt>& attempt, const absl::Status& status)
    {
        if (--attempt->triesLeft > 0)
            readThenWrite(attempt);
        else if (attempt->mayHaveWritten)
            attempt->done(absl::UnknownError("the platform's answer was lost and it can not be asked; run `hemlockctl show` and look for publication " + attempt->configuration.publication));
        else
            attempt->done(status);
    }

    void write(const std::shared_ptr<Attempt>& attempt, int64_t base)
    {
        const KvWrite write { .key = configurationKey, .value = formatConfiguration(attempt->configuration), .expectedModRevision = base, .lease = 0 };
        attempt->platform.compareAndPut(write, [attempt](const absl::StatusOr<KvWriteResult>& result) {
            if (result.ok() && result->applied) {
                attempt->done(result->revision);
                return;
            }
            attempt->mayHaveWritten = attempt->mayHaveWritten || absl::IsUnknown(result.status());
            retryOrGiveUp(attempt, result.ok() ? absl::AbortedError("another publish came first; collect again from its result") : result.status());
        });
    }

    void readThenWrite(const std::shared_ptr<Attempt>& attempt)
    {
        attempt->platform.get(configurationKey, [attempt](const absl::StatusOr<KvRange>& range) {
            if (!range.ok()) {
                retryOrGiveUp(attempt, range.status());
                return;
            }
            const int64_t base = range->entries.empty() ? 0 : range->entries.front().modRevision;
            const absl::StatusOr<Configuration> current = range->entries.empty() ? Configuration() : parseConfiguration(range->entries.front().value);
            // An earlier write of this very publish took effect although its answer was lost.
            if (current.ok() && current->publication == attempt->configuration.publication) {
                attempt->done(base);
                return;
            }
            if (attempt->options.baseRevision >= 0 && base != attempt->options.baseRevision) {
                attempt->done(absl::AbortedError("conflict: revision " + std::to_string(base) + " is in force, not the base " + std::to_string(attempt->options.baseRevision)));
                return;
            }
            write(attempt, base);
        });
    }

} // namespace

void publishConfiguration(KvClient& platform, Configuration configuration, const PublishOptions& options, Callback<int64_t> done)
{
    configuration.publication = makeRandomId(options.random);
    if (formatConfiguration(configuration).size() > maxConfigurationBytes) {
        done(absl::InvalidArgumentError("the configuration is larger than the platform holds; remove entries"));
        return;
    }
    auto attempt = std::make_shared<Attempt>(Attempt { .platform = platform, .configuration = std::move(configuration), .options = options, .done = std::move(done), .triesLeft = options.tries });
    readThenWrite(attempt);
}

} // namespace hemlockweir
