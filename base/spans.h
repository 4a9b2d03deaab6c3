#pragma once

#include "base/error.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <vector>

namespace balsamhook
{

/// Trace id and span id, as in the W3C traceparent header. Both are lower-case hexadecimal text.
struct trace_context
{
    std::string traceId; ///< 32 digits
    std::string spanId; ///< 16 digits

    /// Returns a context with random ids for a new trace.
    static trace_context start();

    /// Parses a traceparent header; Invalid when it is malformed, its version isn't 00 or one of the ids is all zeros.
    static result<trace_context> parse(std::string_view header);

    /// Returns a context with the same trace id and a random span id.
    trace_context child() const;

    /// Returns the traceparent header for an outgoing request.
    std::string header() const;
};

/// A finished span: one hop of a trace.
struct span
{
    std::string traceId;
    std::string spanId;
    std::string parentId; ///< Empty for the root of the trace.
    std::string name;
    std::string peer;
    std::string outcome;
    std::chrono::system_clock::time_point start;
    std::chrono::microseconds duration{0};
};

/// The most recent spans of one program, up to a fixed capacity. Not thread-safe.
class span_store
{
public:
    /// Precondition: capacity is at least 1.
    explicit span_store(std::size_t capacity);

    /// Stores a span; drops the oldest one when the store is at capacity.
    void add(span finished);

    /// Returns the spans of one trace, oldest first.
    std::vector<span> find(std::string_view traceId) const;

    /// Returns the spans of one trace as a JSON array, for GET /v1/spans?trace=ID.
    std::string json(std::string_view traceId) const;

private:
    std::size_t m_capacity;
    std::deque<span> m_spans;
};

} // namespace balsamhook
