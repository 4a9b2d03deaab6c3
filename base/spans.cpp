#include "base/spans.h"

#include "base/assert.h"
#include "base/hash.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace balsamhook
{

namespace
{

constexpr std::size_t TraceIdDigits = 32;
constexpr std::size_t SpanIdDigits = 16;
constexpr std::size_t HeaderLength = 55;

bool isLowerHex(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); });
}

bool isAllZero(std::string_view text)
{
    return text.find_first_not_of('0') == std::string_view::npos;
}

} // namespace

trace_context trace_context::start()
{
    return {randomId() + randomId(), randomId()};
}

result<trace_context> trace_context::parse(std::string_view header)
{
    const auto invalid = [] { return failure(error_code::Invalid, error_step::Decode, "", "traceparent is not of the form 00-<32 hex>-<16 hex>-<2 hex>"); };
    if (header.size() != HeaderLength || header.substr(0, 3) != "00-" || header[35] != '-' || header[52] != '-') {
        return invalid();
    }
    const std::string_view traceId = header.substr(3, TraceIdDigits);
    const std::string_view spanId = header.substr(36, SpanIdDigits);
    if (!isLowerHex(traceId) || !isLowerHex(spanId) || !isLowerHex(header.substr(53)) || isAllZero(traceId) || isAllZero(spanId)) {
        return invalid();
    }
    return trace_context{std::string(traceId), std::string(spanId)};
}

trace_context trace_context::child() const
{
    return {traceId, randomId()};
}

std::string trace_context::header() const
{
    return "00-" + traceId + "-" + spanId + "-01";
}

span_store::span_store(std::size_t capacity)
    : m_capacity(capacity)
{
    BALSAM_ASSERT(capacity > 0);
}

void span_store::add(span finished)
{
    if (m_spans.size() == m_capacity) {
        m_spans.pop_front();
    }
    m_spans.push_back(std::move(finished));
}

std::vector<span> span_store::find(std::string_view traceId) const
{
    std::vector<span> found;
    std::copy_if(m_spans.begin(), m_spans.end(), std::back_inserter(found), [&](const span &candidate) { return candidate.traceId == traceId; });
    return found;
}

std::string span_store::json(std::string_view traceId) const
{
    nlohmann::json spans = nlohmann::json::array();
    for (const span &found : find(traceId)) {
        const auto start = std::chrono::duration_cast<std::chrono::microseconds>(found.start.time_since_epoch());
        spans.push_back({{"trace", found.traceId},
                         {"span", found.spanId},
                         {"parent", found.parentId},
                         {"name", found.name},
                         {"peer", found.peer},
                         {"outcome", found.outcome},
                         {"start_us", start.count()},
                         {"duration_us", found.duration.count()}});
    }
    return spans.dump();
}

} // namespace balsamhook
