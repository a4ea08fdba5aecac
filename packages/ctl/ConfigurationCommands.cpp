// The commands validate, publish and show.

#include "config/TomlReader.h"
#include "ctl/ConfigurationDiff.h"
#include "ctl/Publish.h"
#include "ctl/Remote.h"

#include <QDateTime>
#include <QJsonDocument>

namespace hemlockweir {

static absl::StatusOr<Configuration> buildConfigurationFromFiles(const std::vector<std::string>& paths)
{
    std::vector<ServiceFile> files;
    for (const std::string& path : paths) {
        const absl::StatusOr<std::string> text = readTextFile(path);
        if (!text.ok())
            return text.status();
        files.push_back({ .name = path, .text = *text });
    }
    return buildConfiguration(files);
}

ExitCode runValidate(const CommandLine& line)
{
    if (line.arguments.empty())
        return reportUsageError(line, "specify at least one service file; see hemlockctl validate --help");
    const absl::StatusOr<Configuration> configuration = buildConfigurationFromFiles(line.arguments);
    if (!configuration.ok())
        return reportFailure(line, configuration.status());
    const QJsonObject counts { { "priorities", static_cast<int>(configuration->priorities.size()) }, { "callers", static_cast<int>(configuration->callers.size()) },
        { "models", static_cast<int>(configuration->models.size()) }, { "services", static_cast<int>(configuration->services.size()) } };
    if (line.json) {
        printJson(line, { { "valid", true }, { "counts", counts } });
        return ExitCode::Ok;
    }
    line.out << "valid: " << configuration->priorities.size() << " priorities, " << configuration->callers.size() << " callers, "
             << configuration->models.size() << " models, " << configuration->services.size() << " services\n";
    return ExitCode::Ok;
}

// Describes the publication that caused a conflict, and the changes that the proposed configuration
// would make to it. Returns an empty string if it cannot be read.
static std::string describeConflict(KvClient& platform, const Configuration& proposed)
{
    const absl::StatusOr<KvRange> range = readKey(platform, configurationKey);
    if (!range.ok() || range->entries.empty())
        return {};
    const absl::StatusOr<Configuration> current = parseConfiguration(range->entries.front().value);
    if (!current.ok())
        return {};
    std::string text = "\nin force is revision " + std::to_string(range->entries.front().modRevision) + ", publication " + current->publication
        + " by " + (current->author.empty() ? "an unnamed author" : current->author) + " at " + formatTime(static_cast<double>(current->publishedAtMs));
    for (const std::string& change : describeChanges(*current, proposed))
        text += "\n  your files: " + change;
    return text + "\nrun `hemlockctl show`, update the files, and publish with --base " + std::to_string(range->entries.front().modRevision);
}

ExitCode runPublish(const CommandLine& line)
{
    if (line.arguments.empty() || line.platform.empty())
        return reportUsageError(line, "specify the service files and --platform URL; see hemlockctl publish --help");
    absl::StatusOr<Configuration> configuration = buildConfigurationFromFiles(line.arguments);
    if (!configuration.ok())
        return reportFailure(line, configuration.status());
    configuration->author = line.by;
    configuration->publishedAtMs = QDateTime::currentMSecsSinceEpoch();
    KvClient platform(makePlatformOptions(line));
    const PublishOptions options { .baseRevision = line.baseRevision, .random = makeSystemRandom() };
    const absl::StatusOr<int64_t> revision = await<int64_t>([&](const Callback<int64_t>& done) { publishConfiguration(platform, *configuration, options, done); });
    if (absl::IsAborted(revision.status()))
        return reportFailure(line, absl::AbortedError(std::string(revision.status().message()) + describeConflict(platform, *configuration)));
    if (!revision.ok())
        return reportFailure(line, revision.status());
    if (line.json)
        printJson(line, { { "revision", static_cast<double>(*revision) } });
    else
        line.out << "published revision " << *revision << '\n';
    return ExitCode::Ok;
}

ExitCode runShow(const CommandLine& line)
{
    if (line.platform.empty())
        return reportUsageError(line, "specify --platform URL; see hemlockctl show --help");
    KvClient platform(makePlatformOptions(line));
    const absl::StatusOr<KvRange> range = readKey(platform, configurationKey);
    if (!range.ok())
        return reportFailure(line, range.status());
    if (range->entries.empty())
        return reportFailure(line, absl::NotFoundError("no configuration is published"));
    const KvEntry& entry = range->entries.front();
    const QJsonDocument document = QJsonDocument::fromJson(entry.value);
    if (line.json) {
        printJson(line, { { "revision", static_cast<double>(entry.modRevision) }, { "configuration", document.object() } });
        return ExitCode::Ok;
    }
    line.out << "revision " << entry.modRevision << '\n';
    const absl::StatusOr<Configuration> configuration = parseConfiguration(entry.value);
    if (configuration.ok() && configuration->publishedAtMs > 0)
        line.out << "published by " << (configuration->author.empty() ? "an unnamed author" : configuration->author) << " at " << formatTime(static_cast<double>(configuration->publishedAtMs)) << '\n';
    else if (!configuration.ok())
        line.out << "WARNING: nodes refuse it: " << configuration.status().message() << '\n';
    line.out << document.toJson().toStdString();
    return ExitCode::Ok;
}

} // namespace hemlockweir
