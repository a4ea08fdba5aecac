// Tests that the example configurations pass the checks of the programs and describe deployments of
// the expected sizes.

#include "config/TomlReader.h"
#include "support/Cluster.h"

#include <QDir>
#include <gtest/gtest.h>
#include <set>

namespace hemlockweir {

class Examples : public testing::TestWithParam<const char*> {
protected:
    QDir folder() const { return QDir(QString(SOURCE_DIR) + "/examples/" + GetParam()); }

    QStringList serviceFiles() const
    {
        QStringList paths;
        for (const QString& name : folder().entryList({ "*.toml" }))
            paths << folder().filePath(name);
        return paths;
    }

    static int run(const QString& program, const QStringList& arguments, QByteArray& output)
    {
        QProcess process;
        process.setProcessChannelMode(QProcess::MergedChannels);
        process.start(QString(BIN_DIR) + "/" + program, arguments);
        EXPECT_TRUE(waitUntil([&] { return process.state() == QProcess::NotRunning; }));
        output = process.readAll();
        return process.exitCode();
    }
};

TEST_P(Examples, ServiceFilesAreValid)
{
    QByteArray output;
    EXPECT_EQ(run("hemlockctl", QStringList { "validate" } + serviceFiles(), output), 0) << output.constData();
    EXPECT_TRUE(output.contains("3 priorities, 10 callers, 2 models, 1 services")) << output.constData();
}

TEST_P(Examples, SettingsOfFourNodesAreValid)
{
    const QDir nodes(folder().filePath("nodes"));
    const QStringList files = nodes.entryList({ "*.toml" });
    EXPECT_EQ(files.size(), 4);
    for (const QString& file : files) {
        QByteArray output;
        EXPECT_EQ(run("hemlockweir", { "--check", "--settings", nodes.filePath(file) }, output), 0) << output.constData();
    }
}

TEST_P(Examples, InstancesHaveTheDeploymentsSizes)
{
    const absl::StatusOr<std::string> text = readTextFile(folder().filePath("instances.json").toStdString());
    ASSERT_TRUE(text.ok());
    const absl::StatusOr<std::vector<Instance>> instances = parseInstances(QByteArray::fromStdString(*text));
    ASSERT_TRUE(instances.ok());
    std::set<std::string> domains;
    int engines = 0;
    for (const Instance& instance : *instances) {
        domains.insert(instance.domain);
        engines += instance.pool == "models";
    }
    EXPECT_EQ(domains.size(), 3U);
    EXPECT_EQ(engines, 60);
    EXPECT_EQ(instances->size(), 63U);
}

INSTANTIATE_TEST_SUITE_P(Deployments, Examples, testing::Values("kiriamu", "marcacao"));

} // namespace hemlockweir
