#include "ctl/Publish.h"

#include <algorithm>
#include <optional>

namespace hemlockweir {

namespace {

    // One publish and its tries.
    struct Attempt {
        KvClient& platform;
        Configuration configuration;
        PublishOptions options;
        Callback<int64_t> done;
        int triesLeft = 0;
        std::optional<int64_t> base; // the revision that it replaces, fixed by the first read
        bool mayHaveWritten = false;
    };

    using AttemptRef = std::shared_ptr<Attempt>;

    void readThenWrite(const AttemptRef& attempt);

    void retryOrGiveUp(const AttemptRef& attempt, const absl::Status& status)
    {
        if (--attempt->triesLeft > 0)
            readThenWrite(attempt);
        else if (attempt->mayHaveWritten)
            attempt->done(absl::UnknownError("the platform's answer was lost and it can not be asked; run `hemlockctl show` and look for publication " + attempt->configuration.publication));
        else
            attempt->done(status);
    }

    absl::Status makeConflict(const Attempt& attempt, int64_t inForce)
    {
        return absl::AbortedError("conflict: revision " + std::to_string(inForce) + " is in force, not the base " + std::to_string(*attempt.base)
            + "; nothing was published; collect again from what is in force");
    }

    bool isFormer(const Configuration& current, const std::string& publication)
    {
        const auto& former = current.formerPublications;
        return std::find(former.begin(), former.end(), publication) != former.end();
    }

    // The new document names the publishes before it, so that a superseded one is recognised.
    void rememberFormer(Configuration& configuration, const Configuration& current)
    {
        configuration.formerPublications.clear();
        if (!current.publication.empty())
            configuration.formerPublications.push_back(current.publication);
        for (const std::string& publication : current.formerPublications) {
            if (configuration.formerPublications.size() < maxFormerPublications)
                configuration.formerPublications.push_back(publication);
        }
    }

    // Whether the publish has ended before this write: it took effect although its answer was
    // lost, or another one stands in its way.
    std::optional<absl::StatusOr<int64_t>> findEnd(const Attempt& attempt, const absl::StatusOr<Configuration>& current, int64_t inForce)
    {
        const std::string& publication = attempt.configuration.publication;
        if (current.ok() && current->publication == publication)
            return inForce;
        if (current.ok() && isFormer(*current, publication)) {
            return absl::AbortedError("superseded: this publish (" + publication + ") was in force; publication " + current->publication
                + " replaced it since, at revision " + std::to_string(inForce));
        }
        if (attempt.base != inForce)
            return makeConflict(attempt, inForce);
        return std::nullopt;
    }

    void write(const AttemptRef& attempt)
    {
        const QByteArray document = formatConfiguration(attempt->configuration);
        if (document.size() > maxConfigurationBytes) {
            attempt->done(absl::InvalidArgumentError("the configuration is larger than the platform holds; remove entries"));
            return;
        }
        const KvWrite write { .key = configurationKey, .value = document, .expectedModRevision = *attempt->base, .lease = 0 };
        attempt->platform.compareAndPut(write, [attempt](const absl::StatusOr<KvWriteResult>& result) {
            if (result.ok() && result->applied) {
                attempt->done(result->revision);
                return;
            }
            attempt->mayHaveWritten = attempt->mayHaveWritten || absl::IsUnknown(result.status());
            // A refused compare may stand against this publish's own earlier write: look once more.
            retryOrGiveUp(attempt, result.ok() ? makeConflict(*attempt, result->current.modRevision) : result.status());
        });
    }

    void takeCurrent(const AttemptRef& attempt, const KvRange& range)
    {
        const bool isEmpty = range.entries.empty();
        const int64_t inForce = isEmpty ? 0 : range.entries.front().modRevision;
        const absl::StatusOr<Configuration> current = isEmpty ? Configuration() : parseConfiguration(range.entries.front().value);
        if (!attempt->base)
            attempt->base = attempt->options.baseRevision >= 0 ? attempt->options.baseRevision : inForce;
        if (const auto end = findEnd(*attempt, current, inForce)) {
            attempt->done(*end);
            return;
        }
        if (current.ok())
            rememberFormer(attempt->configuration, *current);
        write(attempt);
    }

    void readThenWrite(const AttemptRef& attempt)
    {
        attempt->platform.get(configurationKey, [attempt](const absl::StatusOr<KvRange>& range) {
            if (range.ok())
                takeCurrent(attempt, *range);
            else
                retryOrGiveUp(attempt, range.status());
        });
    }

} // namespace

void publishConfiguration(KvClient& platform, Configuration configuration, const PublishOptions& options, Callback<int64_t> done)
{
    configuration.publication = makeRandomId(options.random);
    auto attempt = std::make_shared<Attempt>(Attempt { .platform = platform, .configuration = std::move(configuration), .options = options, .done = std::move(done), .triesLeft = options.tries, .base = {} });
    readThenWrite(attempt);
}

} // namespace hemlockweir
