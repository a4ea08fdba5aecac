#include "config/TomlReader.h"

#include <algorithm>
#include <fstream>
#include <sstream>

namespace hemlockweir {

absl::StatusOr<toml::table> parseToml(std::string_view text, const std::string& file)
{
    toml::parse_result result = toml::parse(text, file);
    if (result)
        return std::move(result).table();
    std::ostringstream message;
    message << file << ':' << result.error().source().begin.line << ": " << result.error().description();
    return absl::InvalidArgumentError(message.str());
}

absl::StatusOr<std::string> readTextFile(const std::string& path)
{
    std::ifstream stream(path, std::ios::binary);
    if (!stream)
        return absl::NotFoundError("cannot open " + path);
    std::ostringstream text;
    text << stream.rdbuf();
    return text.str();
}

TableReader::TableReader(const toml::table& table, std::string file, std::string tablePath, std::vector<std::string>& errors)
    : table_(table)
    , file_(std::move(file))
    , tablePath_(std::move(tablePath))
    , errors_(errors)
{
}

const toml::node* TableReader::find(std::string_view key)
{
    knownKeys_.insert(std::string(key));
    return table_.get(key);
}

std::string TableReader::location() const
{
    return file_ + ":" + std::to_string(table_.source().begin.line);
}

// Returns the known key with the longest common prefix, or an empty string. The typical mistake is a
// wrong unit, such as request_timeout_s for request_timeout_ms.
std::string TableReader::suggestKey(std::string_view unknown) const
{
    constexpr size_t minShared = 4;
    std::string best;
    size_t bestShared = minShared - 1;
    for (const std::string& name : knownKeys_) {
        const auto end = std::mismatch(name.begin(), name.end(), unknown.begin(), unknown.end()).first;
        const auto shared = static_cast<size_t>(end - name.begin());
        if (shared > bestShared) {
            best = name;
            bestShared = shared;
        }
    }
    return best;
}

void TableReader::addError(std::string_view key, const std::string& message)
{
    const toml::node* node = table_.get(key);
    const auto line = node ? node->source().begin.line : table_.source().begin.line;
    const std::string name = tablePath_.empty() ? std::string(key) : tablePath_ + "." + std::string(key);
    errors_.push_back(file_ + ":" + std::to_string(line) + ": " + name + ": " + message);
}

std::string TableReader::readString(std::string_view key, std::string_view fallback)
{
    const toml::node* node = find(key);
    if (!node)
        return std::string(fallback);
    if (const auto value = node->value_exact<std::string>())
        return *value;
    addError(key, "write a string, such as \"text\"");
    return std::string(fallback);
}

std::string TableReader::requireString(std::string_view key)
{
    const size_t errorsBefore = errors_.size();
    std::string value = readString(key, "");
    if (value.empty() && errors_.size() == errorsBefore)
        addError(key, "is required; write a non-empty string");
    return value;
}

int64_t TableReader::readInteger(std::string_view key, int64_t fallback, int64_t min, int64_t max)
{
    const toml::node* node = find(key);
    if (!node)
        return fallback;
    const auto value = node->value_exact<int64_t>();
    if (value && *value >= min && *value <= max)
        return *value;
    addError(key, "write a whole number from " + std::to_string(min) + " to " + std::to_string(max));
    return fallback;
}

double TableReader::readNumber(std::string_view key, double fallback, double min, double max)
{
    const toml::node* node = find(key);
    if (!node)
        return fallback;
    const auto value = node->is_number() ? node->value<double>() : std::nullopt;
    if (value && *value >= min && *value <= max)
        return *value;
    std::ostringstream message;
    message << "write a number from " << min << " to " << max;
    addError(key, message.str());
    return fallback;
}

bool TableReader::readBool(std::string_view key, bool fallback)
{
    const toml::node* node = find(key);
    if (!node)
        return fallback;
    if (const auto value = node->value_exact<bool>())
        return *value;
    addError(key, "write true or false");
    return fallback;
}

std::vector<std::string> TableReader::readStrings(std::string_view key)
{
    std::vector<std::string> values;
    const toml::node* node = find(key);
    if (!node)
        return values;
    const toml::array* array = node->as_array();
    if (!array || (!array->empty() && !array->is_homogeneous<std::string>())) {
        addError(key, "write an array of strings, such as [\"a\", \"b\"]");
        return values;
    }
    for (const toml::node& item : *array)
        values.push_back(*item.value<std::string>());
    return values;
}

std::vector<const toml::table*> TableReader::readTables(std::string_view key)
{
    std::vector<const toml::table*> tables;
    const toml::node* node = find(key);
    if (!node)
        return tables;
    const toml::array* array = node->as_array();
    if (!array || !array->is_array_of_tables()) {
        addError(key, "write [[" + std::string(key) + "]] above each entry");
        return tables;
    }
    for (const toml::node& item : *array)
        tables.push_back(item.as_table());
    return tables;
}

const toml::table* TableReader::readTable(std::string_view key)
{
    const toml::node* node = find(key);
    if (!node)
        return nullptr;
    if (!node->is_table())
        addError(key, "write a table [" + std::string(key) + "]");
    return node->as_table();
}

void TableReader::rejectUnknownKeys()
{
    for (const auto& [key, node] : table_) {
        if (knownKeys_.contains(key.str()))
            continue;
        std::string names;
        for (const std::string& name : knownKeys_)
            names += (names.empty() ? "" : ", ") + name;
        const std::string suggestion = suggestKey(key.str());
        std::string message = suggestion.empty() ? "unknown key" : "unknown key; write " + suggestion;
        message.append("; known keys: ").append(names);
        addError(key.str(), message);
    }
}

absl::Status joinErrors(const std::vector<std::string>& errors)
{
    if (errors.empty())
        return absl::OkStatus();
    std::string text;
    for (const std::string& error : errors)
        text += (text.empty() ? "" : "\n") + error;
    return absl::InvalidArgumentError(text);
}

} // namespace hemlockweir
