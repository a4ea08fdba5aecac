#include <QDirIterator>
#include <QFile>
#include <QRegularExpression>
#include <QSet>
#include <gtest/gtest.h>

// Checks that docs/OPERATIONS.md documents every log event of the gateway.

namespace {

QString readText(const QString& path)
{
    QFile file(path);
    EXPECT_TRUE(file.open(QIODevice::ReadOnly)) << path.toStdString();
    return QString::fromUtf8(file.readAll());
}

// Returns the names of all log events in the sources of a folder.
QSet<QString> findEvents(const QString& folder)
{
    static const QRegularExpression call(R"re(note(?:Change|Failure)?\(\s*(?:[a-zA-Z]+ \? )?"([a-z_]+)"(?: : "([a-z_]+)")?,)re");
    QSet<QString> events;
    QDirIterator files(QString(SOURCE_DIR) + "/" + folder, { "*.cpp" }, QDir::Files, QDirIterator::Subdirectories);
    while (files.hasNext()) {
        QRegularExpressionMatchIterator found = call.globalMatch(readText(files.next()));
        while (found.hasNext()) {
            const QRegularExpressionMatch match = found.next();
            events.insert(match.captured(1));
            if (!match.captured(2).isEmpty())
                events.insert(match.captured(2));
        }
    }
    return events;
}

TEST(LogEvents, EachIsDocumentedInTheOperationsGuide)
{
    const QString page = readText(QString(SOURCE_DIR) + "/docs/OPERATIONS.md");
    QSet<QString> events;
    for (const char* folder : { "packages/gateway", "packages/proxy", "packages/replicas", "platform" })
        events += findEvents(folder);
    EXPECT_GT(events.size(), 20) << "the pattern for log events no longer matches the sources";
    for (const QString& event : events)
        EXPECT_TRUE(page.contains("`" + event + "`")) << event.toStdString() << " is not documented";
}

} // namespace
