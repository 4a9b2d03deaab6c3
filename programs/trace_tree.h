#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace balsamhook
{

/// The spans of one trace, collected from several programs and printed as a tree.
class trace_tree
{
public:
    /// Adds the response of one program to GET /v1/spans?trace=ID; returns false when it isn't a list of spans. Spans before a malformed
    /// entry are added. Duplicate spans are ignored.
    bool add(std::string_view text);

    bool isEmpty() const;

    /// Returns a heading and one line for each span; children are indented below their parent in the order of their start. A span whose parent wasn't
    /// added is a root. Spans more than 32 levels below a root, and spans whose ancestors form a cycle, are omitted.
    std::string text() const;

private:
    struct span_record
    {
        std::string id;
        std::string parent;
        std::string name;
        std::string peer;
        std::string outcome;
        std::int64_t startMicroseconds = 0;
        std::int64_t durationMicroseconds = 0;
    };

    void appendSubtree(std::string &text, const span_record &root, std::int64_t origin, std::size_t depth) const;
    bool contains(const std::string &id) const;

    std::vector<span_record> m_spans;
};

} // namespace balsamhook
