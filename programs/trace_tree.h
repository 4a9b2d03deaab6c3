#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace balsamhook
{

/// The spans of one trace from several programs, printed as a tree.
class trace_tree
{
public:
    /// Adds the answer of GET /v1/spans?trace=ID of one program; returns false when it isn't a list of spans. Spans already known are left out.
    bool add(std::string_view json);

    bool isEmpty() const;

    /// Returns one line for each span, children indented below their parent in the order of their start. A span whose parent is unknown is a root.
    std::string text() const;

private:
    struct hop
    {
        std::string span;
        std::string parent;
        std::string name;
        std::string peer;
        std::string outcome;
        std::int64_t startMicroseconds = 0;
        std::int64_t durationMicroseconds = 0;
    };

    void appendBranch(std::string &text, const hop &root, std::int64_t origin, std::size_t depth) const;
    bool knows(const std::string &span) const;

    std::vector<hop> m_hops;
};

} // namespace balsamhook
