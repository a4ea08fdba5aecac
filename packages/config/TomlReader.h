#pragma once

#include <absl/status/statusor.h>
#include <set>
#include <string>
#include <string_view>
#include <toml++/toml.h>
#include <vector>

// Reads TOML tables strictly: every key must be known, of the right type and in range. Errors
// carry file, line and what to write instead.

namespace hemlockweir {

// Parses TOML text; `file` is used in messages.
absl::StatusOr<toml::table> parseToml(std::string_view text, const std::string& file);

// Reads one file whole.
absl::StatusOr<std::string> readTextFile(const std::string& path);

// Reads the keys of one table and collects every error found.
class TableReader {
public:
    TableReader(const toml::table& table, std::string file, std::string tablePath, std::vector<std::string>& errors);

    // Each reader returns the fallback when the key is absent, and notes an error when it is wrong.
    std::string readString(std::string_view key, std::string_view fallback);
    std::string requireString(std::string_view key);
    int64_t readInteger(std::string_view key, int64_t fallback, int64_t min, int64_t max);
    double readNumber(std::string_view key, double fallback, double min, double max);
    bool readBool(std::string_view key, bool fallback);
    std::vector<std::string> readStrings(std::string_view key);
    std::vector<const toml::table*> readTables(std::string_view key);
    const toml::table* readTable(std::string_view key);

    // Where the table stands, as FILE:LINE.
    std::string location() const;

    // Notes an error at a key's line, or at the table's when it is absent.
    void addError(std::string_view key, const std::string& message);

    // Notes an error for each key that no reader asked for. Call last.
    void rejectUnknownKeys();

private:
    const toml::node* find(std::string_view key);
    std::string suggestKey(std::string_view unknown) const;

    const toml::table& table_;
    std::string file_;
    std::string tablePath_;
    std::vector<std::string>& errors_;
    std::set<std::string, std::less<>> knownKeys_;
};

// Returns InvalidArgument with one error a line, or Ok when there are none.
absl::Status joinErrors(const std::vector<std::string>& errors);

} // namespace hemlockweir
