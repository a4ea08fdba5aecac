#pragma once

#include <absl/status/statusor.h>
#include <set>
#include <string>
#include <string_view>
#include <toml++/toml.h>
#include <vector>

// Strict reader for TOML tables. Every key must be known, of the right type and in range. Each error
// names the file, the line and what to write instead.

namespace hemlockweir {

// Parses TOML text. Error messages name `file` and the line.
absl::StatusOr<toml::table> parseToml(std::string_view text, const std::string& file);

// Returns the contents of a file, or NotFound if it cannot be opened.
absl::StatusOr<std::string> readTextFile(const std::string& path);

// Reads the keys of one table and appends every error to a list.
class TableReader {
public:
    // Error messages name a key as `tablePath.key`; `tablePath` is empty for the root table. `table` and
    // `errors` must outlive the reader.
    TableReader(const toml::table& table, std::string file, std::string tablePath, std::vector<std::string>& errors);

    // Each function returns the fallback, or an empty value, if the key is absent or its value is invalid.
    // An invalid value is an error. For requireString(), so is an absent key or an empty string.
    std::string readString(std::string_view key, std::string_view fallback);
    std::string requireString(std::string_view key);
    int64_t readInteger(std::string_view key, int64_t fallback, int64_t min, int64_t max);
    double readNumber(std::string_view key, double fallback, double min, double max);
    bool readBool(std::string_view key, bool fallback);
    std::vector<std::string> readStrings(std::string_view key);
    std::vector<const toml::table*> readTables(std::string_view key);
    const toml::table* readTable(std::string_view key);

    // Returns the location of the table as FILE:LINE.
    std::string location() const;

    // Adds an error at the line of the key, or of the table if the key is absent.
    void addError(std::string_view key, const std::string& message);

    // Adds an error for each key that was not read. Call it last.
    void rejectUnknownKeys();

private:
    // Returns the value of a key, or null, and marks the key as known.
    const toml::node* find(std::string_view key);
    std::string suggestKey(std::string_view unknown) const;

    const toml::table& table_;
    std::string file_;
    std::string tablePath_;
    std::vector<std::string>& errors_;
    std::set<std::string, std::less<>> knownKeys_;
};

// Returns InvalidArgument with one error per line, or Ok if there are none.
absl::Status joinErrors(const std::vector<std::string>& errors);

} // namespace hemlockweir
