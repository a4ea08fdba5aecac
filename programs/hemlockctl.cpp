// The operators' command line.

#include "config/TomlReader.h"
#include "ctl/Publish.h"

#include <QCoreApplication>
#include <QJsonDocument>
#include <boost/program_options.hpp>
#include <iostream>

namespace options = boost::program_options;
using namespace hemlockweir;

static constexpr int exitFailed = 1;
static constexpr int exitUsage = 2;
static constexpr int exitConflict = 3;

static constexpr char usage[] = "Usage: hemlockctl COMMAND [options]\n\n"
                                "  validate FILE...           check service files\n"
                                "  publish FILE... --platform URL [--base REVISION]\n"
                                "                             collect service files and put them in force\n"
                                "  show --platform URL        print the configuration in force\n"
                                "  status --node URL          print what a node knows\n";

static absl::StatusOr<Configuration> collectFiles(const std::vector<std::string>& paths)
{
    std::vector<ServiceFile> files;
    for (const std::string& path : paths) {
        const absl::StatusOr<std::string> text = readTextFile(path);
        if (!text.ok())
            return text.status();
        files.push_back({ .name = path, .text = *text });
    }
    return collectConfiguration(files);
}

static int exitCodeOf(const absl::Status& status)
{
    if (status.ok())
        return 0;
    std::cerr << status.message() << '\n';
    return absl::IsAborted(status) ? exitConflict : exitFailed;
}

static int publish(const std::vector<std::string>& paths, const options::variables_map& values)
{
    const absl::StatusOr<Configuration> configuration = collectFiles(paths);
    if (!configuration.ok())
        return exitCodeOf(configuration.status());
    KvClient platform({ .endpoints = { QUrl(QString::fromStdString(values["platform"].as<std::string>())) } });
    const PublishOptions publishOptions { .baseRevision = values["base"].as<int64_t>(), .random = makeSystemRandom() };
    int code = exitFailed;
    publishConfiguration(platform, *configuration, publishOptions, [&](const absl::StatusOr<int64_t>& revision) {
        code = exitCodeOf(revision.status());
        if (revision.ok())
            std::cout << "published revision " << *revision << '\n';
        QMetaObject::invokeMethod(QCoreApplication::instance(), &QCoreApplication::quit, Qt::QueuedConnection);
    });
    QCoreApplication::exec();
    return code;
}

static int show(const options::variables_map& values)
{
    KvClient platform({ .endpoints = { QUrl(QString::fromStdString(values["platform"].as<std::string>())) } });
    int code = exitFailed;
    platform.get(configurationKey, [&](const absl::StatusOr<KvRange>& range) {
        code = exitCodeOf(range.status());
        if (range.ok() && range->entries.empty())
            std::cout << "no configuration is published\n";
        else if (range.ok())
            std::cout << "revision " << range->entries.front().modRevision << '\n'
                      << QJsonDocument::fromJson(range->entries.front().value).toJson().toStdString();
        QCoreApplication::quit();
    });
    QCoreApplication::exec();
    return code;
}

static int status(const options::variables_map& values)
{
    HttpClient client;
    QUrl url(QString::fromStdString(values["node"].as<std::string>()));
    url.setPath("/operator/status");
    int code = exitFailed;
    const auto call = client.start({ .method = "GET", .url = url, .headers = {}, .body = {} }, { .onHead = {}, .onData = {}, .onDone = [&](const CallResult& result) {
        if (result.isSuccess()) {
            std::cout << QJsonDocument::fromJson(result.body).toJson().toStdString();
            code = 0;
        } else {
            std::cerr << "no answer from " << url.toString().toStdString() << ": " << result.error.toStdString() << '\n';
        }
        QCoreApplication::quit(); } });
    QCoreApplication::exec();
    return code;
}

static int runCommand(const std::string& command, const std::vector<std::string>& arguments, const options::variables_map& values)
{
    if (command == "validate")
        return exitCodeOf(collectFiles(arguments).status());
    if (command == "publish" && values.count("platform") > 0)
        return publish(arguments, values);
    if (command == "show" && values.count("platform") > 0)
        return show(values);
    if (command == "status" && values.count("node") > 0)
        return status(values);
    std::cerr << usage;
    return exitUsage;
}

int main(int argc, char** argv)
{
    options::options_description description("Options");
    description.add_options()("help,h", "show this text")("platform", options::value<std::string>(), "http://ADDRESS:PORT of the platform's key-value service")(
        "node", options::value<std::string>(), "http://ADDRESS:PORT of a node")("base", options::value<int64_t>()->default_value(-1), "revision that the publish replaces")(
        "arguments", options::value<std::vector<std::string>>()->default_value({}, ""), "command and files");
    options::positional_options_description positional;
    positional.add("arguments", -1);
    options::variables_map values;
    try {
        options::store(options::command_line_parser(argc, argv).options(description).positional(positional).run(), values);
    } catch (const options::error& error) {
        std::cerr << error.what() << "\n\n"
                  << usage;
        return exitUsage;
    }
    std::vector<std::string> arguments = values["arguments"].as<std::vector<std::string>>();
    if (values.count("help") > 0 || arguments.empty()) {
        std::cout << usage << '\n'
                  << description;
        return arguments.empty() && values.count("help") == 0 ? exitUsage : 0;
    }
    const std::string command = arguments.front();
    arguments.erase(arguments.begin());
    QCoreApplication application(argc, argv);
    return runCommand(command, arguments, values);
}
