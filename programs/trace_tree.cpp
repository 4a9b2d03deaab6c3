#include "programs/trace_tree.h"

#include <algorithm>
#include <cstdio>
#include <nlohmann/json.hpp>

namespace balsamhook
{

namespace
{

constexpr std::size_t DeepestLevel = 32; ///< A span that names itself as its ancestor must not make the tree endless.

} // namespace

bool trace_tree::knows(const std::string &span) const
{
    return std::any_of(m_hops.begin(), m_hops.end(), [&span](const hop &known) { return known.span == span; });
}

bool trace_tree::add(std::string_view text)
{
    try {
        const nlohmann::json list = nlohmann::json::parse(text);
        if (!list.is_array()) {
            return false;
        }
        for (const nlohmann::json &entry : list) {
            hop found{entry.at("span").get<std::string>(),
                      entry.at("parent").get<std::string>(),
                      entry.at("name").get<std::string>(),
                      entry.value("peer", ""),
                      entry.value("outcome", ""),
                      entry.value("start_us", std::int64_t{0}),
                      entry.value("duration_us", std::int64_t{0})};
            if (!knows(found.span)) {
                m_hops.push_back(std::move(found));
            }
        }
    } catch (const nlohmann::json::exception &) {
        return false;
    }
    std::stable_sort(m_hops.begin(), m_hops.end(), [](const hop &a, const hop &b) { return a.startMicroseconds < b.startMicroseconds; });
    return true;
}

bool trace_tree::isEmpty() const
{
    return m_hops.empty();
}

void trace_tree::appendBranch(std::string &text, const hop &root, std::int64_t origin, std::size_t depth) const
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
    if (depth >= DeepestLevel) {
        return;
    }
    for (const hop &child : m_hops) {
        if (child.parent == root.span && child.span != root.span) {
            appendBranch(text, child, origin, depth + 1);
        }
    }
}

std::string trace_tree::text() const
{
    std::string text = "    start      duration  span\n";
    for (const hop &root : m_hops) {
        if (root.parent.empty() || root.parent == root.span || !knows(root.parent)) {
            appendBranch(text, root, m_hops.front().startMicroseconds, 0);
        }
    }
    return text;
}

} // namespace balsamhook
