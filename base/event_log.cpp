#include "base/event_log.h"

#include "base/time.h"

#include <algorithm>
#include <cstdio>
#include <fcntl.h>
#include <unistd.h>

namespace balsamhook
{

namespace
{

constexpr double RoutineLinesPerSecond = 50;
constexpr double DecisionLinesPerSecond = 200;
constexpr double StateChangeLinesPerSecond = 200;
constexpr double BurstSeconds = 2;
constexpr std::size_t MaxBufferBytes = 512 * 1024;
constexpr std::size_t MaxValueBytes = 400;

bool needsQuotes(std::string_view value)
{
    return value.empty() || std::any_of(value.begin(), value.end(), [](unsigned char c) { return c <= ' ' || c == '"' || c == '=' || c >= 0x7f; });
}

void appendQuoted(std::string &text, std::string_view value)
{
    text += '"';
    for (const char c : value) {
        const auto byte = static_cast<unsigned char>(c);
        if (c == '"' || c == '\\') {
            text += '\\';
            text += c;
        } else if (byte < ' ' || byte >= 0x7f) {
            char escaped[8];
            std::snprintf(escaped, sizeof escaped, "\\x%02x", byte);
            text += escaped;
        } else {
            text += c;
        }
    }
    text += '"';
}

} // namespace

event_line::event_line(std::string_view part, std::string_view event)
{
    m_text.reserve(160);
    m_text.append(part).append(" ").append(event);
}

event_line &event_line::add(std::string_view key, std::string_view value)
{
    const std::string_view truncated = value.substr(0, MaxValueBytes);
    m_text.append(" ").append(key).append("=");
    if (needsQuotes(truncated)) {
        appendQuoted(m_text, truncated);
    } else {
        m_text.append(truncated);
    }
    return *this;
}

event_line &event_line::add(std::string_view key, const char *value)
{
    return add(key, std::string_view(value));
}

event_line &event_line::add(std::string_view key, std::int64_t value)
{
    m_text.append(" ").append(key).append("=").append(std::to_string(value));
    return *this;
}

event_line &event_line::add(std::string_view key, std::uint64_t value)
{
    m_text.append(" ").append(key).append("=").append(std::to_string(value));
    return *this;
}

event_line &event_line::add(std::string_view key, int value)
{
    return add(key, static_cast<std::int64_t>(value));
}

event_line &event_line::add(std::string_view key, unsigned value)
{
    return add(key, static_cast<std::uint64_t>(value));
}

event_line &event_line::add(std::string_view key, double value)
{
    char formatted[32];
    std::snprintf(formatted, sizeof formatted, "%.2f", value);
    m_text.append(" ").append(key).append("=").append(formatted);
    return *this;
}

event_line &event_line::add(std::string_view key, std::chrono::microseconds value)
{
    return add(key, static_cast<double>(value.count()) / 1000.0);
}

const std::string &event_line::text() const
{
    return m_text;
}

event_log::event_log(int fileDescriptor, std::string instance)
    : m_fileDescriptor(fileDescriptor)
    , m_instance(std::move(instance))
{
    const double rates[] = {RoutineLinesPerSecond, DecisionLinesPerSecond, StateChangeLinesPerSecond};
    for (std::size_t i = 0; i < 3; ++i) {
        m_buckets[i].linesPerSecond = rates[i];
        m_buckets[i].tokens = rates[i] * BurstSeconds;
    }
    const int flags = fcntl(m_fileDescriptor, F_GETFL);
    if (flags >= 0) {
        fcntl(m_fileDescriptor, F_SETFL, flags | O_NONBLOCK);
    }
}

bool event_log::tryAcquire(event_class kind, clock::time_point now)
{
    token_bucket &bucket = m_buckets[static_cast<std::size_t>(kind)];
    const double elapsed = std::chrono::duration<double>(now - bucket.refilledAt).count();
    bucket.refilledAt = now;
    bucket.tokens = std::min(bucket.tokens + elapsed * bucket.linesPerSecond, bucket.linesPerSecond * BurstSeconds);
    if (bucket.tokens < 1) {
        return false;
    }
    bucket.tokens -= 1;
    return true;
}

void event_log::append(const event_line &line)
{
    m_pending.append(std::to_string(unixTime().count())).append(" ").append(m_instance).append(" ").append(line.text()).append("\n");
}

void event_log::write(event_class kind, const event_line &line, clock::time_point now)
{
    if (m_pending.size() + line.text().size() > MaxBufferBytes || !tryAcquire(kind, now)) {
        ++m_dropped;
        ++m_unreportedDrops;
        return;
    }
    append(line);
}

void event_log::flush()
{
    if (m_unreportedDrops > 0 && m_pending.size() < MaxBufferBytes) {
        append(event_line("log", "lines_dropped").add("count", m_unreportedDrops));
        m_unreportedDrops = 0;
    }
    if (m_pending.empty()) {
        return;
    }
    const ssize_t written = ::write(m_fileDescriptor, m_pending.data(), m_pending.size());
    if (written > 0) {
        m_pending.erase(0, static_cast<std::size_t>(written));
    }
}

std::uint64_t event_log::dropped() const
{
    return m_dropped;
}

} // namespace balsamhook
