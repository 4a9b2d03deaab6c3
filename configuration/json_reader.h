#pragma once

#include "base/base.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace balsamhook
{

/// Inclusive range of an integer.
struct number_range
{
    std::uint64_t minimum = 0;
    std::uint64_t maximum = 0;
};

/// Records the first error in an input; later errors are usually consequences of the first one.
class validation_errors
{
public:
    void add(const std::string &field, const std::string &message);
    bool isEmpty() const;

    /// Precondition: there is an error.
    const error &first() const;

private:
    std::optional<error> m_first;
};

/// Parses JSON text. Errors: Invalid when it is malformed, nested too deeply, or has a duplicate field in an object. Never throws.
result<nlohmann::json> parseStrictJson(std::string_view text);

/// Returns the value as JSON text. Replaces bytes that aren't valid UTF-8. Never throws.
std::string jsonText(const nlohmann::json &value);

/// Returns the value as JSON text for an error message, truncated when it is long.
std::string valueExcerpt(const nlohmann::json &value);

/// Reads the fields of one JSON object and reports missing, unknown and invalid ones. Returns default values for fields with errors.
/// Precondition: value and errors outlive the reader.
class json_reader
{
public:
    json_reader(const nlohmann::json &value, std::string path, validation_errors &errors);

    /// Reads a name: 1 to 128 letters, digits, '.', '_' and '-', not starting with '.'.
    std::string name(const std::string &field);

    /// Reads a string of at most the given size.
    std::string text(const std::string &field, std::size_t maxBytes);

    /// Reads a string with two allowed values. Returns whether it is the second one.
    bool binaryChoice(const std::string &field, std::string_view first, std::string_view second, bool required);

    std::uint64_t number(const std::string &field, number_range range, std::optional<std::uint64_t> defaultValue = std::nullopt);
    double real(const std::string &field, double minimum, double maximum, double defaultValue);
    bool flag(const std::string &field, bool defaultValue);

    /// Reads an array of at most the given length. Returns an empty array after an error.
    const nlohmann::json &list(const std::string &field, std::size_t maxEntries);

    /// Reads a value of any type. Returns null when the field is missing.
    const nlohmann::json &any(const std::string &field);

    bool has(const std::string &field) const;

    /// Reports a field that was never read as unknown.
    void rejectUnknownFields();

    /// Returns the path of a field in the whole input, for example "targets[3].slots".
    std::string fieldPath(const std::string &field) const;

    void addError(const std::string &field, const std::string &message);

private:
    const nlohmann::json *find(const std::string &field, bool required);

    const nlohmann::json &m_value;
    std::string m_path;
    validation_errors &m_errors;
    std::set<std::string> m_readFields;
};

/// Returns whether json_reader::name() accepts the text.
bool isName(std::string_view text);

} // namespace balsamhook
