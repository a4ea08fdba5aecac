#include "config/FieldReader.h"

#include <QJsonArray>
#include <cmath>

namespace hemlockweir {

FieldReader::FieldReader(QJsonObject object, std::string pathPrefix, absl::Status& status)
    : object_(std::move(object))
    , pathPrefix_(std::move(pathPrefix))
    , status_(status)
{
}

std::string FieldReader::requireString(const char* name)
{
    const QJsonValue value = object_.value(QLatin1String(name));
    if (!value.isString() || value.toString().isEmpty())
        addError(name, "is required and must be a non-empty string");
    return value.toString().toStdString();
}

std::string FieldReader::readString(const char* name)
{
    const QJsonValue value = object_.value(QLatin1String(name));
    if (!value.isUndefined() && !value.isString())
        addError(name, "must be a string");
    return value.toString().toStdString();
}

double FieldReader::readNumber(const char* name, double fallback, double min, double max)
{
    const QJsonValue value = object_.value(QLatin1String(name));
    if (value.isUndefined())
        return fallback;
    if (value.isDouble() && value.toDouble() >= min && value.toDouble() <= max)
        return value.toDouble();
    addError(name, "must be a number from " + std::to_string(min) + " to " + std::to_string(max));
    return fallback;
}

uint32_t FieldReader::readUnsigned(const char* name, uint32_t fallback, uint32_t min, uint32_t max)
{
    const double value = readNumber(name, fallback, min, max);
    if (std::floor(value) != value)
        addError(name, "must be a whole number");
    return status_.ok() ? static_cast<uint32_t>(value) : fallback;
}

int64_t FieldReader::readTimestampMs(const char* name)
{
    constexpr double maxExactInteger = 9007199254740992.0; // 2^53; a JSON number, a double, is exact up to here
    const double value = readNumber(name, 0, 0, maxExactInteger);
    return status_.ok() ? static_cast<int64_t>(value) : 0;
}

bool FieldReader::readBool(const char* name, bool fallback)
{
    const QJsonValue value = object_.value(QLatin1String(name));
    if (!value.isUndefined() && !value.isBool())
        addError(name, "must be true or false");
    return value.toBool(fallback);
}

std::vector<std::string> FieldReader::readStrings(const char* name, size_t max)
{
    std::vector<std::string> texts;
    const QJsonValue value = object_.value(QLatin1String(name));
    if (!value.isUndefined() && !value.isArray())
        addError(name, "must be an array");
    for (const QJsonValue& element : value.toArray()) {
        if (!element.isString())
            addError(name, "must contain only strings");
        if (texts.size() < max)
            texts.push_back(element.toString().toStdString());
    }
    return texts;
}

std::vector<FieldReader> FieldReader::readObjects(const char* name)
{
    std::vector<FieldReader> readers;
    const QJsonValue value = object_.value(QLatin1String(name));
    if (!value.isArray())
        addError(name, "is required and must be an array");
    for (const QJsonValue& element : value.toArray()) {
        if (!element.isObject())
            addError(name, "must contain only objects");
        readers.emplace_back(element.toObject(), std::string(name) + "[" + std::to_string(readers.size()) + "].", status_);
    }
    return readers;
}

void FieldReader::addError(const char* name, const std::string& message)
{
    if (status_.ok())
        status_ = absl::InvalidArgumentError(pathPrefix_ + name + " " + message);
}

} // namespace hemlockweir
