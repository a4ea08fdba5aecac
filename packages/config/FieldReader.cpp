#include "config/FieldReader.h"

#include <QJsonArray>
#include <cmath>

namespace hemlockweir {

FieldReader::FieldReader(QJsonObject object, std::string where, absl::Status& status)
    : object_(std::move(object))
    , where_(std::move(where))
    , status_(status)
{
}

std::string FieldReader::requireText(const char* name)
{
    const QJsonValue value = object_.value(QLatin1String(name));
    if (!value.isString() || value.toString().isEmpty())
        note(name, "is required and is a string");
    return value.toString().toStdString();
}

std::string FieldReader::readText(const char* name)
{
    const QJsonValue value = object_.value(QLatin1String(name));
    if (!value.isUndefined() && !value.isString())
        note(name, "is a string");
    return value.toString().toStdString();
}

double FieldReader::readNumber(const char* name, double fallback, double least, double most)
{
    const QJsonValue value = object_.value(QLatin1String(name));
    if (value.isUndefined())
        return fallback;
    if (!value.isDouble() || !(value.toDouble() >= least && value.toDouble() <= most))
        note(name, "is a number from " + std::to_string(least) + " to " + std::to_string(most));
    return value.toDouble(fallback);
}

uint32_t FieldReader::readCount(const char* name, uint32_t fallback, uint32_t least, uint32_t most)
{
    const double value = readNumber(name, fallback, least, most);
    if (std::floor(value) != value)
        note(name, "is a whole number");
    return status_.ok() ? static_cast<uint32_t>(value) : fallback;
}

int64_t FieldReader::readTime(const char* name)
{
    constexpr double mostExact = 9007199254740992.0; // 2^53
    const double value = readNumber(name, 0, 0, mostExact);
    return status_.ok() ? static_cast<int64_t>(value) : 0;
}

bool FieldReader::readBool(const char* name, bool fallback)
{
    const QJsonValue value = object_.value(QLatin1String(name));
    if (!value.isUndefined() && !value.isBool())
        note(name, "is true or false");
    return value.toBool(fallback);
}

std::vector<std::string> FieldReader::readTexts(const char* name, size_t most)
{
    std::vector<std::string> texts;
    const QJsonValue value = object_.value(QLatin1String(name));
    if (!value.isUndefined() && !value.isArray())
        note(name, "is an array");
    for (const QJsonValue& element : value.toArray()) {
        if (!element.isString())
            note(name, "holds strings only");
        if (texts.size() < most)
            texts.push_back(element.toString().toStdString());
    }
    return texts;
}

std::vector<FieldReader> FieldReader::readObjects(const char* name)
{
    std::vector<FieldReader> readers;
    const QJsonValue value = object_.value(QLatin1String(name));
    if (!value.isArray())
        note(name, "is required and is an array");
    for (const QJsonValue& element : value.toArray()) {
        if (!element.isObject())
            note(name, "holds objects only");
        readers.emplace_back(element.toObject(), std::string(name) + "[" + std::to_string(readers.size()) + "].", status_);
    }
    return readers;
}

void FieldReader::note(const char* name, const std::string& message)
{
    if (status_.ok())
        status_ = absl::InvalidArgumentError(where_ + name + " " + message);
}

} // namespace hemlockweir
