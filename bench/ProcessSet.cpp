#include "ProcessSet.h"

#include "support/Wait.h"

#include <QCoreApplication>
#include <QFile>
#include <unistd.h>

namespace hemlockweir {

static double readCpuSeconds(qint64 pid)
{
    // Fields 14 and 15 of /proc/PID/stat, counted after the second field, which is in parentheses and may
    // contain spaces.
    constexpr qsizetype userField = 11;
    constexpr qsizetype systemField = 12;
    QFile file("/proc/" + QString::number(pid) + "/stat");
    if (pid == 0 || !file.open(QIODevice::ReadOnly))
        return 0;
    const QByteArray stat = file.readAll();
    const QList<QByteArray> fields = stat.mid(stat.lastIndexOf(')') + 2).split(' ');
    const double ticks = fields.value(userField).toDouble() + fields.value(systemField).toDouble();
    return ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
}

// Uses the programs in the benchmark's own folder, so that a copy of the folder measures its build.
QString ProcessSet::binFolder()
{
    return QCoreApplication::applicationDirPath();
}

ProcessSet::~ProcessSet()
{
    for (auto& [name, entry] : entries_)
        entry.process->kill();
    for (auto& [name, entry] : entries_)
        entry.process->waitForFinished();
}

// Derives the loopback address from the process id, so that several benchmarks can run at once.
std::string ProcessSet::addressOf(const std::string& name)
{
    std::string& address = addresses_[name];
    if (address.empty()) {
        const auto pid = static_cast<unsigned>(getpid());
        address = "127." + std::to_string(1 + (pid >> 16) % 200) + "." + std::to_string((pid >> 8) % 256) + "." + std::to_string(1 + pid % 254) + ":" + std::to_string(nextPort_++);
    }
    return address;
}

void ProcessSet::start(const std::string& name, const QString& program, const QStringList& arguments)
{
    Entry& entry = entries_[name];
    if (entry.process)
        entry.previousCpuSeconds += readCpuSeconds(entry.process->processId());
    entry.program = program.contains('/') ? program : binFolder() + "/" + program;
    entry.arguments = arguments;
    if (program.startsWith("standin-"))
        entry.arguments << "--effects" << effectsFileOf(name);
    launch(name, entry);
}

void ProcessSet::restart(const std::string& name)
{
    launch(name, entries_.at(name));
}

void ProcessSet::launch(const std::string& name, Entry& entry)
{
    entry.process = std::make_unique<QProcess>();
    entry.process->setStandardOutputFile(QProcess::nullDevice());
    entry.process->setStandardErrorFile(folder_.filePath(QString::fromStdString(name + ".log")), QIODevice::Append);
    entry.process->start(entry.program, entry.arguments);
    entry.process->waitForStarted();
}

void ProcessSet::kill(const std::string& name)
{
    Entry& entry = entries_.at(name);
    entry.previousCpuSeconds += readCpuSeconds(entry.process->processId());
    entry.process->kill();
    entry.process->waitForFinished();
}

void ProcessSet::terminate(const std::string& name)
{
    Entry& entry = entries_.at(name);
    entry.process->terminate();
    waitUntil([&] { return entry.process->state() == QProcess::NotRunning; }, Millis(5000));
    if (entry.process->state() != QProcess::NotRunning)
        kill(name);
}

bool ProcessSet::isRunning(const std::string& name) const
{
    const auto found = entries_.find(name);
    return found != entries_.end() && found->second.process->state() != QProcess::NotRunning;
}

QString ProcessSet::writeFile(const std::string& name, const std::string& text)
{
    const QString path = folder_.filePath(QString::fromStdString(name));
    QFile file(path);
    if (file.open(QIODevice::WriteOnly))
        file.write(QByteArray::fromStdString(text));
    return path;
}

QString ProcessSet::effectsFileOf(const std::string& name) const
{
    return folder_.filePath(QString::fromStdString(name + ".effects"));
}

double ProcessSet::cpuSeconds(const std::string& name) const
{
    const Entry& entry = entries_.at(name);
    return entry.previousCpuSeconds + readCpuSeconds(entry.process->processId());
}

} // namespace hemlockweir
