#pragma once

#include <QJsonObject>
#include <absl/status/status.h>
#include <string>
#include <vector>

// Strict reader for the fields of a JSON object. Unknown fields are ignored, so that nodes of two
// versions can share a configuration. A known field of the wrong type is an error and never falls
// back to the default.

namespace hemlockweir {

// Reads the fields of one JSON object and stores the first error in a shared status.
class FieldReader {
public:
    // Writes the first error to `status`. The error names the field as `pathPrefix` directly followed by
    // the field's name. `status` must outlive this reader and all readers that it creates.
    FieldReader(QJsonObject object, std::string pathPrefix, absl::Status& status);

    // Returns a string. An absent or empty one is an error.
    std::string requireString(const char* name);

    // Returns a string, or an empty one if the field is absent.
    std::string readString(const char* name);

    // Returns a number from `min` to `max`, or `fallback` if the field is absent.
    double readNumber(const char* name, double fallback, double min, double max);

    // Returns an integer from `min` to `max`, or `fallback` if the field is absent.
    uint32_t readUnsigned(const char* name, uint32_t fallback, uint32_t min, uint32_t max);

    // Returns a wall time in ms since the epoch, or 0 if the field is absent.
    int64_t readTimestampMs(const char* name);

    // Returns a boolean, or `fallback` if the field is absent.
    bool readBool(const char* name, bool fallback);

    // Returns the first `max` strings of an array. The array may be absent.
    std::vector<std::string> readStrings(const char* name, size_t max);

    // Returns one reader for each element of a required array of objects. Their errors name a field as
    // NAME[INDEX].FIELD, without the prefix of this reader.
    std::vector<FieldReader> readObjects(const char* name);

private:
    // Stores the error unless `status_` holds one already.
    void addError(const char* name, const std::string& message);

    QJsonObject object_;
    std::string pathPrefix_;
    absl::Status& status_;
};

} // namespace hemlockweir
