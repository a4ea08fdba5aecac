// The commands drain and undrain.

#include "ctl/Remote.h"

#include <QJsonDocument>

namespace hemlockweir {

static constexpr char drainPrefix[] = "/hemlockweir/drains/";

static absl::Status checkInstanceName(const std::string& name)
{
    constexpr size_t maxLength = 96;
    if (name.empty() || name.size() > maxLength || name.find('/') != std::string::npos)
        return absl::InvalidArgumentError("'" + name + "' is not a valid instance id: write 1 to 96 characters without /");
    return absl::OkStatus();
}

// Reads the entry of a drain. Returns NotFound if the instance is not drained.
static absl::StatusOr<KvEntry> readDrain(KvClient& platform, const std::string& instance)
{
    const absl::StatusOr<KvRange> range = readKey(platform, drainPrefix + instance);
    if (!range.ok())
        return range.status();
    if (range->entries.empty())
        return absl::NotFoundError(instance + " is not drained");
    return range->entries.front();
}

static ExitCode printDrainState(const CommandLine& line, const std::string& instance, bool isDrained)
{
    if (line.json)
        printJson(line, { { "instance", QString::fromStdString(instance) }, { "drained", isDrained } });
    else
        line.out << instance << (isDrained ? " is drained: it gets no new work\n" : " is no longer drained\n");
    return ExitCode::Ok;
}

ExitCode runDrain(const CommandLine& line)
{
    if (line.arguments.size() != 1 || line.platform.empty() || line.reason.empty())
        return reportUsageError(line, "specify one instance, --platform URL and --reason TEXT; see hemlockctl drain --help");
    const std::string& instance = line.arguments.front();
    if (const absl::Status status = checkInstanceName(instance); !status.ok())
        return reportFailure(line, status);
    KvClient platform(makePlatformOptions(line));
    const QJsonObject value { { "by", QString::fromStdString(line.by) }, { "reason", QString::fromStdString(line.reason) } };
    const KvWrite write { .key = QByteArray::fromStdString(drainPrefix + instance), .value = QJsonDocument(value).toJson(QJsonDocument::Compact), .expectedModRevision = 0, .lease = 0 };
    const absl::StatusOr<KvWriteResult> written = await<KvWriteResult>([&](const Callback<KvWriteResult>& done) { platform.compareAndPut(write, done); });
    if (written.ok() && written->applied)
        return printDrainState(line, instance, true);
    // Either the instance was already drained, or the response to this write was lost. Reads the entry to
    // tell the cases apart.
    const absl::StatusOr<KvEntry> found = readDrain(platform, instance);
    if (found.ok() && found->value == write.value)
        return printDrainState(line, instance, true);
    if (!found.ok())
        return reportFailure(line, written.ok() ? found.status() : written.status());
    const QJsonObject existing = QJsonDocument::fromJson(found->value).object();
    return reportFailure(line, absl::AbortedError(instance + " is already drained by " + existing["by"].toString().toStdString() + ": " + existing["reason"].toString().toStdString()));
}

ExitCode runUndrain(const CommandLine& line)
{
    if (line.arguments.size() != 1 || line.platform.empty())
        return reportUsageError(line, "specify one instance and --platform URL; see hemlockctl undrain --help");
    const std::string& instance = line.arguments.front();
    KvClient platform(makePlatformOptions(line));
    const absl::StatusOr<KvEntry> found = readDrain(platform, instance);
    if (!found.ok())
        return reportFailure(line, found.status());
    const absl::StatusOr<KvWriteResult> deleted = await<KvWriteResult>([&](const Callback<KvWriteResult>& done) { platform.compareAndDelete(found->key, found->modRevision, done); });
    if (deleted.ok() && deleted->applied)
        return printDrainState(line, instance, false);
    if (absl::IsNotFound(readDrain(platform, instance).status()))
        return printDrainState(line, instance, false);
    return reportFailure(line, deleted.ok() ? absl::AbortedError("the drain of " + instance + " was changed concurrently; try again") : deleted.status());
}

} // namespace hemlockweir
