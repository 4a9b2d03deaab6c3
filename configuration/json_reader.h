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

/// Inclusive range of a whole number.
struct number_range
{
    std::uint64_t lowest = 0;
    std::uint64_t highest = 0;
};

/// Keeps the first complaint about an input; later ones are usually consequences of it.
class complaints
{
public:
    void add(const std::string &field, const std::string &complaint);
    bool isEmpty() const;

    /// Precondition: there is a complaint.
    const error &first() const;

private:
    std::optional<error> m_first;
};

/// Parses JSON text. Invalid when it is malformed or an object has the same field twice. Never throws.
result<nlohmann::json> parseStrictJson(std::string_view text);

/// Returns JSON text; bytes that aren't valid UTF-8 are replaced. Never throws.
std::string jsonText(const nlohmann::json &value);

/// Returns the value as short JSON text for a complaint.
std::string shownValue(const nlohmann::json &value);

/// Reads the fields of one JSON object and complains about missing, unknown and bad ones. After a complaint the values returned are defaults.
/// Precondition: value and found outlive the reader.
class json_reader
{
public:
    json_reader(const nlohmann::json &value, std::string path, complaints &found);

    /// Reads a name: 1 to 128 letters, digits, '.', '_' and '-', not starting with '.'.
    std::string name(const std::string &field);

    /// Reads a text of at most the given size.
    std::string text(const std::string &field, std::size_t highestBytes);

    /// Reads one of two words and returns whether it is the second one.
    bool isSecond(const std::string &field, std::string_view first, std::string_view second, bool required);

    std::uint64_t number(const std::string &field, number_range range, std::optional<std::uint64_t> byDefault = std::nullopt);
    double real(const std::string &field, double lowest, double highest, double byDefault);
    bool flag(const std::string &field, bool byDefault);

    /// Returns a list of at most the given length, or an empty list after a complaint.
    const nlohmann::json &list(const std::string &field, std::size_t longest);

    /// Returns any value, or null after a complaint.
    const nlohmann::json &any(const std::string &field);

    bool has(const std::string &field) const;

    /// Complains about fields that were never read.
    void finish();

    /// Returns the full name of a field, for example "targets[3].slots".
    std::string fieldPath(const std::string &field) const;

    void complain(const std::string &field, const std::string &complaint);

private:
    const nlohmann::json *find(const std::string &field, bool required);

    const nlohmann::json &m_value;
    std::string m_path;
    complaints &m_complaints;
    std::set<std::string> m_read;
};

/// True for a name as json_reader::name() accepts it.
bool isName(std::string_view text);

} // namespace balsamhook
