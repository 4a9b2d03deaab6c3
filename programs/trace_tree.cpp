#include "programs/trace_tree.h"

#include <algorithm>
#include <cstdio>
#include <nlohmann/json.hpp>

namespace balsamhook
{

namespace
{

constexpr std::size_t MaxDepth = 32; ///< Bounds the recursion on long chains of spans. Cycles aren't reachable from a root.

} // namespace

bool trace_tree::contains(const std::string &id) const
{
    return std::any_of(m_spans.begin(), m_spans.end(), [&id](const span_record &span) { return span.id == id; });
}

bool trace_tree::add(std::string_view text)
{
    try {
        const nlohmann::json list = nlohmann::json::parse(text);
        if (!list.is_array()) {
            return false;
        }
        for (const nlohmann::json &entry : list) {
            span_record span{entry.at("span").get<std::string>(),
                             entry.at("parent").get<std::string>(),
                             entry.at("name").get<std::string>(),
                             entry.value("peer", ""),
                             entry.value("outcome", ""),
                             entry.value("start_us", std::int64_t{0}),
                             entry.value("duration_us", std::int64_t{0})};
            if (!contains(span.id)) {
                m_spans.push_back(std::move(span));
            }
        }
    } catch (const nlohmann::json::exception &) {
        return false;
    }
    std::stable_sort(m_spans.begin(), m_spans.end(), [](const span_record &a, const span_record &b) { return a.startMicroseconds < b.startMicroseconds; });
    return true;
}

bool trace_tree::isEmpty() const
{
    return m_spans.empty();
}

void trace_tree::appendSubtree(std::string &text, const span_record &root, std::int64_t origin, std::size_t depth) const
{
    char times[64];
    std::snprintf(times,
                  sizeof(times),
                  "%9.3f ms %9.3f ms  ",
                  static_cast<double>(root.startMicroseconds - origin) / 1000.0,
                  static_cast<double>(root.durationMicroseconds) / 1000.0);
    text += times + std::string(2 * depth, ' ') + root.name;
    text += root.peer.empty() ? "" : " " + root.peer;
    text += root.outcome.empty() ? "\n" : " [" + root.outcome + "]\n";
    if (depth >= MaxDepth) {
        return;
    }
    for (const span_record &child : m_spans) {
        if (child.parent == root.id && child.id != root.id) {
            appendSubtree(text, child, origin, depth + 1);
        }
    }
}

std::string trace_tree::text() const
{
    std::string text = "    start      duration  span\n";
    for (const span_record &root : m_spans) {
        if (root.parent.empty() || root.parent == root.id || !contains(root.parent)) {
            appendSubtree(text, root, m_spans.front().startMicroseconds, 0);
        }
    }
    return text;
}

} // namespace balsamhook
