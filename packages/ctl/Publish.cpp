#include "ctl/Publish.h"

#include <algorithm>
#include <optional>

namespace hemlockweir {

namespace {

    // The state of one publish across its attempts.
    struct PublishOperation {
        KvClient& platform;
        Configuration configuration;
        PublishOptions options;
        Callback<int64_t> done;
        int attemptsLeft = 0;
        std::optional<int64_t> base; // revision to replace, set by the first read
        bool mayHaveWritten = false;
    };

    using PublishOperationRef = std::shared_ptr<PublishOperation>;

    void readThenWrite(const PublishOperationRef& operation);

    void retryOrFail(const PublishOperationRef& operation, const absl::Status& status)
    {
        if (--operation->attemptsLeft > 0)
            readThenWrite(operation);
        else if (operation->mayHaveWritten)
            operation->done(absl::UnknownError("the platform's response was lost and the outcome could not be determined; run `hemlockctl show` and look for publication " + operation->configuration.publication));
        else
            operation->done(status);
    }

    absl::Status makeConflict(const PublishOperation& operation, int64_t currentRevision)
    {
        return absl::AbortedError("conflict: revision " + std::to_string(currentRevision) + " is in force, not the base " + std::to_string(*operation.base)
            + "; nothing was published; update the files to the configuration in force");
    }

    bool isFormerPublication(const Configuration& current, const std::string& publication)
    {
        const auto& former = current.formerPublications;
        return std::find(former.begin(), former.end(), publication) != former.end();
    }

    // Lists the previous publications in the new document, so that the publisher of a superseded one
    // can detect that its write took effect.
    void recordFormerPublications(Configuration& configuration, const Configuration& current)
    {
        configuration.formerPublications.clear();
        if (!current.publication.empty())
            configuration.formerPublications.push_back(current.publication);
        for (const std::string& publication : current.formerPublications) {
            if (configuration.formerPublications.size() < maxFormerPublications)
                configuration.formerPublications.push_back(publication);
        }
    }

    // Returns the result of the publish if no further write is needed: an earlier write took effect
    // although its response was lost, or another publication conflicts with it.
    std::optional<absl::StatusOr<int64_t>> findOutcome(const PublishOperation& operation, const absl::StatusOr<Configuration>& current, int64_t currentRevision)
    {
        const std::string& publication = operation.configuration.publication;
        if (current.ok() && current->publication == publication)
            return currentRevision;
        if (current.ok() && isFormerPublication(*current, publication)) {
            return absl::AbortedError("superseded: this publish (" + publication + ") was in force; publication " + current->publication
                + " replaced it at revision " + std::to_string(currentRevision));
        }
        if (operation.base != currentRevision)
            return makeConflict(operation, currentRevision);
        return std::nullopt;
    }

    void write(const PublishOperationRef& operation)
    {
        const QByteArray document = formatConfiguration(operation->configuration);
        if (document.size() > maxConfigurationBytes) {
            operation->done(absl::InvalidArgumentError("the configuration exceeds the size limit of the platform; remove entries"));
            return;
        }
        const KvWrite write { .key = configurationKey, .value = document, .expectedModRevision = *operation->base, .lease = 0 };
        operation->platform.compareAndPut(write, [operation](const absl::StatusOr<KvWriteResult>& result) {
            if (result.ok() && result->applied) {
                operation->done(result->revision);
                return;
            }
            operation->mayHaveWritten = operation->mayHaveWritten || absl::IsUnknown(result.status());
            // A failed compare can be due to an earlier write of this publish. Reads again to find out.
            retryOrFail(operation, result.ok() ? makeConflict(*operation, result->current.modRevision) : result.status());
        });
    }

    void handleCurrent(const PublishOperationRef& operation, const KvRange& range)
    {
        const bool isEmpty = range.entries.empty();
        const int64_t currentRevision = isEmpty ? 0 : range.entries.front().modRevision;
        const absl::StatusOr<Configuration> current = isEmpty ? Configuration() : parseConfiguration(range.entries.front().value);
        if (!operation->base)
            operation->base = operation->options.baseRevision >= 0 ? operation->options.baseRevision : currentRevision;
        if (const auto end = findOutcome(*operation, current, currentRevision)) {
            operation->done(*end);
            return;
        }
        if (current.ok())
            recordFormerPublications(operation->configuration, *current);
        write(operation);
    }

    void readThenWrite(const PublishOperationRef& operation)
    {
        operation->platform.get(configurationKey, [operation](const absl::StatusOr<KvRange>& range) {
            if (range.ok())
                handleCurrent(operation, *range);
            else
                retryOrFail(operation, range.status());
        });
    }

} // namespace

void publishConfiguration(KvClient& platform, Configuration configuration, const PublishOptions& options, Callback<int64_t> done)
{
    configuration.publication = makeRandomId(options.random);
    auto operation = std::make_shared<PublishOperation>(PublishOperation { .platform = platform, .configuration = std::move(configuration), .options = options, .done = std::move(done), .attemptsLeft = options.maxAttempts, .base = {} });
    readThenWrite(operation);
}

} // namespace hemlockweir
