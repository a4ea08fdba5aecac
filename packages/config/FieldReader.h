#pragma once

#include <QJsonObject>
#include <absl/status/status.h>
#include <string>
#include <vector>

// Reads the fields of one JSON object strictly. Unknown fields are let pass, so that nodes of two
// versions can share a configuration; a known field of a wrong type never becomes a default.

namespace hemlockweir {

class FieldReader {
public:
    // The first mistake goes into `status`, with the field's place after `pathPrefix`. The status must
    // outlive the reader and all readers that it makes.
    FieldReader(QJsonObject object, std::string pathPrefix, absl::Status& status);

    // A string that may not be absent or empty.
    std::string requireString(const char* name);

    // A string that may be absent; then empty.
    std::string readString(const char* name);

    // A number within bounds; `fallback` when absent.
    double readNumber(const char* name, double fallback, double min, double max);

    // A whole number within bounds; `fallback` when absent.
    uint32_t readUnsigned(const char* name, uint32_t fallback, uint32_t min, uint32_t max);

    // Wall time in ms since the epoch; 0 when absent.
    int64_t readTimestampMs(const char* name);

    // A truth value; `fallback` when absent.
    bool readBool(const char* name, bool fallback);

    // The strings of an array that may be absent; at max so many.
    std::vector<std::string> readStrings(const char* name, size_t max);

    // One reader for each element of a required array of objects.
    std::vector<FieldReader> readObjects(const char* name);

private:
    void addError(const char* name, const std::string& message);

    QJsonObject object_;
    std::string pathPrefix_;
    absl::Status& status_;
};

} // namespace hemlockweir
