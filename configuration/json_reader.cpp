#include "configuration/json_reader.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace balsamhook
{

namespace
{

// Names become parts of object names, HTTP paths and counter labels.
constexpr std::size_t LongestNameBytes = 128;
constexpr std::size_t LongestShownBytes = 80;
constexpr int DeepestNesting = 32;

const nlohmann::json EmptyList = nlohmann::json::array();
const nlohmann::json Null;

std::string rangeText(number_range range)
{
    return std::to_string(range.lowest) + " to " + std::to_string(range.highest);
}

error invalid(const std::string &field, const std::string &complaint)
{
    return error{error_code::Invalid, error_step::Validate, "", field.empty() ? complaint : field + ": " + complaint};
}

/// Finds fields that occur twice in one object, of which the JSON library would silently keep the last, and values nested too deeply, whose text
/// the library would write by a recursion that exhausts the stack.
class structure_check
{
public:
    /// Returns whether the parser is to keep the value.
    bool see(int depth, nlohmann::json::parse_event_t event, const nlohmann::json &parsed)
    {
        // The parser reports no ends of values that it doesn't keep, so fields are not tracked any more.
        m_isTooDeep = m_isTooDeep || depth > DeepestNesting;
        if (!m_isTooDeep) {
            track(event, parsed);
        }
        return !m_isTooDeep;
    }

    bool isTooDeep() const
    {
        return m_isTooDeep;
    }

    const std::optional<std::string> &repeated() const
    {
        return m_repeated;
    }

private:
    void track(nlohmann::json::parse_event_t event, const nlohmann::json &parsed)
    {
        if (event == nlohmann::json::parse_event_t::object_start) {
            m_open.emplace_back();
        } else if (event == nlohmann::json::parse_event_t::object_end) {
            m_open.pop_back();
        } else if (event == nlohmann::json::parse_event_t::key && !m_open.back().insert(parsed.get<std::string>()).second && !m_repeated) {
            m_repeated = parsed.get<std::string>();
        }
    }

    std::vector<std::set<std::string>> m_open;
    std::optional<std::string> m_repeated;
    bool m_isTooDeep = false;
};

} // namespace

void complaints::add(const std::string &field, const std::string &complaint)
{
    if (!m_first) {
        m_first = invalid(field, complaint);
    }
}

bool complaints::isEmpty() const
{
    return !m_first.has_value();
}

const error &complaints::first() const
{
    BALSAM_ASSERT(m_first.has_value());
    return *m_first;
}

result<nlohmann::json> parseStrictJson(std::string_view text)
{
    structure_check structure;
    const auto watch = [&structure](int depth, nlohmann::json::parse_event_t event, nlohmann::json &parsed) { return structure.see(depth, event, parsed); };
    nlohmann::json value = nlohmann::json::parse(text, watch, false);
    if (structure.isTooDeep()) {
        return invalid("", "the text nests values deeper than " + std::to_string(DeepestNesting) + " levels");
    }
    if (value.is_discarded()) {
        return invalid("", "the text is not valid JSON");
    }
    if (structure.repeated()) {
        return invalid(shownValue(*structure.repeated()), "the field occurs twice in one object");
    }
    return value;
}

std::string jsonText(const nlohmann::json &value)
{
    return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string shownValue(const nlohmann::json &value)
{
    std::string shown = jsonText(value);
    if (shown.size() > LongestShownBytes) {
        shown.resize(LongestShownBytes);
        shown += "...";
    }
    return shown;
}

bool isName(std::string_view text)
{
    const auto allowed
        = [](unsigned char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '.' || c == '_' || c == '-'; };
    return !text.empty() && text.size() <= LongestNameBytes && text.front() != '.' && std::all_of(text.begin(), text.end(), allowed);
}

json_reader::json_reader(const nlohmann::json &value, std::string path, complaints &found)
    : m_value(value)
    , m_path(std::move(path))
    , m_complaints(found)
{
    if (!m_value.is_object()) {
        m_complaints.add(m_path, "value " + shownValue(m_value) + " is not an object");
    }
}

std::string json_reader::fieldPath(const std::string &field) const
{
    return m_path.empty() ? field : m_path + "." + field;
}

void json_reader::complain(const std::string &field, const std::string &complaint)
{
    m_complaints.add(fieldPath(field), complaint);
}

bool json_reader::has(const std::string &field) const
{
    return m_value.is_object() && m_value.contains(field);
}

const nlohmann::json *json_reader::find(const std::string &field, bool required)
{
    m_read.insert(field);
    if (has(field)) {
        return &m_value.at(field);
    }
    if (required) {
        complain(field, "the field is missing");
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
        complain(field, "value " + shownValue(*found) + " is not a name of 1 to 128 letters, digits, '.', '_' and '-' that does not start with '.'");
        return {};
    }
    return found->get<std::string>();
}

std::string json_reader::text(const std::string &field, std::size_t highestBytes)
{
    const nlohmann::json *found = find(field, true);
    if (found == nullptr) {
        return {};
    }
    if (!found->is_string() || found->get_ref<const std::string &>().size() > highestBytes) {
        complain(field, "value " + shownValue(*found) + " is not a text of at most " + std::to_string(highestBytes) + " bytes");
        return {};
    }
    return found->get<std::string>();
}

bool json_reader::isSecond(const std::string &field, std::string_view first, std::string_view second, bool required)
{
    const nlohmann::json *found = find(field, required);
    if (found == nullptr) {
        return false;
    }
    if (found->is_string() && found->get_ref<const std::string &>() == second) {
        return true;
    }
    if (!found->is_string() || found->get_ref<const std::string &>() != first) {
        complain(field, "value " + shownValue(*found) + " is not '" + std::string(first) + "' or '" + std::string(second) + "'");
    }
    return false;
}

std::uint64_t json_reader::number(const std::string &field, number_range range, std::optional<std::uint64_t> byDefault)
{
    const std::uint64_t fallback = byDefault.value_or(range.lowest);
    const nlohmann::json *found = find(field, !byDefault.has_value());
    if (found == nullptr) {
        return fallback;
    }
    // Negative numbers are signed integers for the JSON library; all others are unsigned.
    const bool inRange = found->is_number_unsigned() && found->get<std::uint64_t>() >= range.lowest && found->get<std::uint64_t>() <= range.highest;
    if (!inRange) {
        complain(field, "value " + shownValue(*found) + " is not a whole number in " + rangeText(range));
        return fallback;
    }
    return found->get<std::uint64_t>();
}

double json_reader::real(const std::string &field, double lowest, double highest, double byDefault)
{
    const nlohmann::json *found = find(field, false);
    if (found == nullptr) {
        return byDefault;
    }
    const double value = found->is_number() ? found->get<double>() : std::nan("");
    if (!(value >= lowest && value <= highest)) {
        complain(field, "value " + shownValue(*found) + " is not a number in " + shownValue(lowest) + " to " + shownValue(highest));
        return byDefault;
    }
    return value;
}

bool json_reader::flag(const std::string &field, bool byDefault)
{
    const nlohmann::json *found = find(field, false);
    if (found == nullptr) {
        return byDefault;
    }
    if (!found->is_boolean()) {
        complain(field, "value " + shownValue(*found) + " is not true or false");
        return byDefault;
    }
    return found->get<bool>();
}

const nlohmann::json &json_reader::list(const std::string &field, std::size_t longest)
{
    const nlohmann::json *found = find(field, true);
    if (found == nullptr) {
        return EmptyList;
    }
    if (!found->is_array()) {
        complain(field, "value " + shownValue(*found) + " is not a list");
        return EmptyList;
    }
    if (found->size() > longest) {
        complain(field, "a list of " + std::to_string(found->size()) + " entries is not in 0 to " + std::to_string(longest));
        return EmptyList;
    }
    return *found;
}

const nlohmann::json &json_reader::any(const std::string &field)
{
    const nlohmann::json *found = find(field, true);
    return found == nullptr ? Null : *found;
}

void json_reader::finish()
{
    if (!m_value.is_object()) {
        return;
    }
    for (const auto &[field, value] : m_value.items()) {
        if (!m_read.contains(field)) {
            complain(isName(field) ? field : shownValue(field), "the field is unknown");
            return;
        }
    }
}

} // namespace balsamhook
