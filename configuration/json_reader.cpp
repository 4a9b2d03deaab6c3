#include "configuration/json_reader.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace balsamhook
{

namespace
{

// Names are used in object names, HTTP paths and metric labels.
constexpr std::size_t MaxNameBytes = 128;
constexpr std::size_t MaxExcerptBytes = 80;
constexpr int MaxNestingDepth = 32;

const nlohmann::json EmptyList = nlohmann::json::array();
const nlohmann::json Null;

std::string rangeText(number_range range)
{
    return std::to_string(range.minimum) + " to " + std::to_string(range.maximum);
}

error invalid(const std::string &field, const std::string &message)
{
    return error{error_code::Invalid, error_step::Validate, "", field.empty() ? message : field + ": " + message};
}

/// Detects fields that occur twice in one object, of which the JSON library would silently keep the last, and values nested too deeply, which the
/// library would serialize by a recursion that exhausts the stack.
class structure_validator
{
public:
    /// Processes an event of the parser. Returns whether the parser keeps the value.
    bool onEvent(int depth, nlohmann::json::parse_event_t event, const nlohmann::json &parsed)
    {
        // The parser doesn't report the ends of values that it discards, so fields aren't tracked after this.
        m_isTooDeep = m_isTooDeep || depth > MaxNestingDepth;
        if (!m_isTooDeep) {
            track(event, parsed);
        }
        return !m_isTooDeep;
    }

    bool isTooDeep() const
    {
        return m_isTooDeep;
    }

    const std::optional<std::string> &duplicateField() const
    {
        return m_duplicateField;
    }

private:
    void track(nlohmann::json::parse_event_t event, const nlohmann::json &parsed)
    {
        if (event == nlohmann::json::parse_event_t::object_start) {
            m_openObjects.emplace_back();
        } else if (event == nlohmann::json::parse_event_t::object_end) {
            m_openObjects.pop_back();
        } else if (event == nlohmann::json::parse_event_t::key && !m_openObjects.back().insert(parsed.get<std::string>()).second && !m_duplicateField) {
            m_duplicateField = parsed.get<std::string>();
        }
    }

    std::vector<std::set<std::string>> m_openObjects;
    std::optional<std::string> m_duplicateField;
    bool m_isTooDeep = false;
};

} // namespace

void validation_errors::add(const std::string &field, const std::string &message)
{
    if (!m_first) {
        m_first = invalid(field, message);
    }
}

bool validation_errors::isEmpty() const
{
    return !m_first.has_value();
}

const error &validation_errors::first() const
{
    BALSAM_ASSERT(m_first.has_value());
    return *m_first;
}

result<nlohmann::json> parseStrictJson(std::string_view text)
{
    structure_validator validator;
    const auto callback
        = [&validator](int depth, nlohmann::json::parse_event_t event, nlohmann::json &parsed) { return validator.onEvent(depth, event, parsed); };
    nlohmann::json value = nlohmann::json::parse(text, callback, false);
    if (validator.isTooDeep()) {
        return invalid("", "the text nests values deeper than " + std::to_string(MaxNestingDepth) + " levels");
    }
    if (value.is_discarded()) {
        return invalid("", "the text is not valid JSON");
    }
    if (validator.duplicateField()) {
        return invalid(valueExcerpt(*validator.duplicateField()), "the field occurs twice in one object");
    }
    return value;
}

std::string jsonText(const nlohmann::json &value)
{
    return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string valueExcerpt(const nlohmann::json &value)
{
    std::string excerpt = jsonText(value);
    if (excerpt.size() > MaxExcerptBytes) {
        excerpt.resize(MaxExcerptBytes);
        excerpt += "...";
    }
    return excerpt;
}

bool isName(std::string_view text)
{
    const auto isAllowed
        = [](unsigned char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '.' || c == '_' || c == '-'; };
    return !text.empty() && text.size() <= MaxNameBytes && text.front() != '.' && std::all_of(text.begin(), text.end(), isAllowed);
}

json_reader::json_reader(const nlohmann::json &value, std::string path, validation_errors &errors)
    : m_value(value)
    , m_path(std::move(path))
    , m_errors(errors)
{
    if (!m_value.is_object()) {
        m_errors.add(m_path, "value " + valueExcerpt(m_value) + " is not an object");
    }
}

std::string json_reader::fieldPath(const std::string &field) const
{
    return m_path.empty() ? field : m_path + "." + field;
}

void json_reader::addError(const std::string &field, const std::string &message)
{
    m_errors.add(fieldPath(field), message);
}

bool json_reader::has(const std::string &field) const
{
    return m_value.is_object() && m_value.contains(field);
}

const nlohmann::json *json_reader::find(const std::string &field, bool required)
{
    m_readFields.insert(field);
    if (has(field)) {
        return &m_value.at(field);
    }
    if (required) {
        addError(field, "the field is missing");
    }
    return nullptr;
}

std::string json_reader::name(const std::string &field)
{
    const nlohmann::json *found = find(field, true);
    if (found == nullptr) {
        return {};
    }
    if (!found->is_string() || !isName(found->get_ref<const std::string &>())) {
        addError(field, "value " + valueExcerpt(*found) + " is not a name of 1 to 128 letters, digits, '.', '_' and '-' that does not start with '.'");
        return {};
    }
    return found->get<std::string>();
}

std::string json_reader::text(const std::string &field, std::size_t maxBytes)
{
    const nlohmann::json *found = find(field, true);
    if (found == nullptr) {
        return {};
    }
    if (!found->is_string() || found->get_ref<const std::string &>().size() > maxBytes) {
        addError(field, "value " + valueExcerpt(*found) + " is not a text of at most " + std::to_string(maxBytes) + " bytes");
        return {};
    }
    return found->get<std::string>();
}

bool json_reader::binaryChoice(const std::string &field, std::string_view first, std::string_view second, bool required)
{
    const nlohmann::json *found = find(field, required);
    if (found == nullptr) {
        return false;
    }
    if (found->is_string() && found->get_ref<const std::string &>() == second) {
        return true;
    }
    if (!found->is_string() || found->get_ref<const std::string &>() != first) {
        addError(field, "value " + valueExcerpt(*found) + " is not '" + std::string(first) + "' or '" + std::string(second) + "'");
    }
    return false;
}

std::uint64_t json_reader::number(const std::string &field, number_range range, std::optional<std::uint64_t> defaultValue)
{
    const std::uint64_t fallback = defaultValue.value_or(range.minimum);
    const nlohmann::json *found = find(field, !defaultValue.has_value());
    if (found == nullptr) {
        return fallback;
    }
    // The JSON library parses negative integers as signed and all others as unsigned.
    const bool isInRange = found->is_number_unsigned() && found->get<std::uint64_t>() >= range.minimum && found->get<std::uint64_t>() <= range.maximum;
    if (!isInRange) {
        addError(field, "value " + valueExcerpt(*found) + " is not a whole number in " + rangeText(range));
        return fallback;
    }
    return found->get<std::uint64_t>();
}

double json_reader::real(const std::string &field, double minimum, double maximum, double defaultValue)
{
    const nlohmann::json *found = find(field, false);
    if (found == nullptr) {
        return defaultValue;
    }
    const double value = found->is_number() ? found->get<double>() : std::nan("");
    if (!(value >= minimum && value <= maximum)) {
        addError(field, "value " + valueExcerpt(*found) + " is not a number in " + valueExcerpt(minimum) + " to " + valueExcerpt(maximum));
        return defaultValue;
    }
    return value;
}

bool json_reader::flag(const std::string &field, bool defaultValue)
{
    const nlohmann::json *found = find(field, false);
    if (found == nullptr) {
        return defaultValue;
    }
    if (!found->is_boolean()) {
        addError(field, "value " + valueExcerpt(*found) + " is not true or false");
        return defaultValue;
    }
    return found->get<bool>();
}

const nlohmann::json &json_reader::list(const std::string &field, std::size_t maxEntries)
{
    const nlohmann::json *found = find(field, true);
    if (found == nullptr) {
        return EmptyList;
    }
    if (!found->is_array()) {
        addError(field, "value " + valueExcerpt(*found) + " is not a list");
        return EmptyList;
    }
    if (found->size() > maxEntries) {
        addError(field, "a list of " + std::to_string(found->size()) + " entries is not in 0 to " + std::to_string(maxEntries));
        return EmptyList;
    }
    return *found;
}

const nlohmann::json &json_reader::any(const std::string &field)
{
    const nlohmann::json *found = find(field, true);
    return found == nullptr ? Null : *found;
}

void json_reader::rejectUnknownFields()
{
    if (!m_value.is_object()) {
        return;
    }
    for (const auto &[field, value] : m_value.items()) {
        if (!m_readFields.contains(field)) {
            addError(isName(field) ? field : valueExcerpt(field), "the field is unknown");
            return;
        }
    }
}

} // namespace balsamhook
