#include "programs/plan_printer.h"

#include <algorithm>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <vector>

namespace balsamhook
{

namespace
{

using json = nlohmann::ordered_json;

constexpr std::size_t MaxListItems = 8; ///< Longer lists in a table cell are truncated.

bool isSimple(const json &value)
{
    const bool isPrimitiveList = value.is_array() && std::all_of(value.begin(), value.end(), [](const json &entry) { return entry.is_primitive(); });
    return value.is_primitive() || isPrimitiveList;
}

std::string cellText(const json &value)
{
    if (value.is_string()) {
        return value.get<std::string>();
    }
    if (!value.is_array()) {
        return value.dump();
    }
    std::string text;
    for (std::size_t i = 0; i < value.size(); ++i) {
        if (i == MaxListItems) {
            return text + " and " + std::to_string(value.size() - i) + " more";
        }
        text += (i == 0 ? "" : " ") + cellText(value[i]);
    }
    return text.empty() ? "-" : text;
}

bool isTable(const json &list)
{
    return !list.empty()
        && std::all_of(list.begin(), list.end(), [](const json &row) { return row.is_object() && std::all_of(row.begin(), row.end(), isSimple); });
}

std::string tableText(const json &rows, const std::string &indent)
{
    std::vector<std::string> columns;
    std::map<std::string, std::size_t> widths;
    for (const json &row : rows) {
        for (const auto &[name, value] : row.items()) {
            if (!widths.contains(name)) {
                columns.push_back(name);
                widths[name] = name.size();
            }
            widths[name] = std::max(widths[name], cellText(value).size());
        }
    }
    const auto appendLine = [&](std::string &text, const std::function<std::string(const std::string &)> &valueOf) {
        std::string line = indent;
        for (const std::string &column : columns) {
            std::string value = valueOf(column);
            value.resize(widths[column] + 2, ' ');
            line += value;
        }
        line.erase(line.find_last_not_of(' ') + 1);
        text += line + "\n";
    };
    std::string text;
    appendLine(text, [](const std::string &column) { return column; });
    for (const json &row : rows) {
        appendLine(text, [&row](const std::string &column) { return row.contains(column) ? cellText(row.at(column)) : std::string(); });
    }
    return text;
}

std::string valueText(const json &value, const std::string &indent)
{
    std::string text;
    if (value.is_array() && isTable(value)) {
        return tableText(value, indent);
    }
    if (value.is_primitive()) {
        return indent + cellText(value) + "\n";
    }
    for (const auto &[name, inner] : value.items()) {
        const std::string label = value.is_array() ? "-" : name + ":";
        if (inner.is_primitive() || (isSimple(inner) && inner.size() <= MaxListItems)) {
            text += indent + label + " " + cellText(inner) + "\n";
            continue;
        }
        text += indent + label + "\n" + valueText(inner, indent + "  ");
    }
    return text;
}

void appendItems(std::string &text, const json &plan, const char *field, const std::string &prefix)
{
    if (!plan.contains(field) || !plan.at(field).is_array()) {
        return;
    }
    for (const json &item : plan.at(field)) {
        text += prefix + cellText(item) + "\n";
    }
}

} // namespace

std::string formatPlan(std::string_view planText)
{
    const json plan = json::parse(planText, nullptr, false);
    if (!plan.is_object()) {
        return std::string(planText) + "\n";
    }
    std::string text;
    for (const char *field : {"plan", "state", "digest", "base_revision", "revision", "refusal"}) {
        // A revision of 0 and an empty refusal stand for a missing value.
        const std::string shownValue = plan.contains(field) ? cellText(plan.at(field)) : std::string();
        if (!shownValue.empty() && shownValue != "0") {
            text += std::string(field) + ": " + shownValue + "\n";
        }
    }
    text += "steps:\n";
    appendItems(text, plan, "steps", "  - ");
    if (plan.contains("preview")) {
        text += "preview:\n" + valueText(plan.at("preview"), "  ");
    }
    appendItems(text, plan, "warnings", "WARNING: ");
    return text;
}

std::string formatJson(std::string_view jsonText)
{
    const json value = json::parse(jsonText, nullptr, false);
    return value.is_discarded() ? std::string(jsonText) + "\n" : valueText(value, "");
}

std::string formatRefusal(unsigned status, std::string_view body)
{
    const json response = json::parse(body, nullptr, false);
    std::string text = "refused (" + std::to_string(status) + ")";
    if (!response.is_object()) {
        return text + ": " + std::string(body) + "\n";
    }
    if (response.contains("error")) {
        text += ": " + cellText(response.at("error"));
    }
    text += "\n";
    for (const auto &[name, value] : response.items()) {
        if (name != "error") {
            text += "  " + name + ":\n" + valueText(value, "    ");
        }
    }
    return text;
}

} // namespace balsamhook
