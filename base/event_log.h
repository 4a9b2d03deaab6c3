#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

namespace balsamhook
{

/// Class of a log line. Each class has its own rate limit; lines above it are dropped.
enum class event_class : std::uint8_t {
    Routine, ///< Successful requests; lowest rate limit, so they are dropped first.
    Decision, ///< Hedges, retries, refusals, failed requests.
    StateChange, ///< Start, stop, reload, loss and recovery of dependencies, changes of catalogue, configuration and members.
};

/// One structured line: `part event key=value ...`. Text values are truncated to 400 bytes, and quoted when they are empty or contain spaces, quotes,
/// equals signs or bytes outside printable ASCII.
class event_line
{
public:
    event_line(std::string_view part, std::string_view event);

    event_line &add(std::string_view key, std::string_view value);
    event_line &add(std::string_view key, const char *value);
    event_line &add(std::string_view key, std::int64_t value);
    event_line &add(std::string_view key, std::uint64_t value);
    event_line &add(std::string_view key, int value);
    event_line &add(std::string_view key, unsigned value);
    event_line &add(std::string_view key, double value); ///< Written with two decimals.
    event_line &add(std::string_view key, std::chrono::microseconds value); ///< Written in milliseconds.

    const std::string &text() const;

private:
    std::string m_text;
};

/// Structured log on a file descriptor. Each line starts with the Unix time in milliseconds and the instance. Lines are buffered in memory and written by
/// flush(). A stalled reader causes dropped lines and never blocks the program. Each class has a limit of lines per second. The number of dropped lines is
/// counted and reported in the log. Not thread-safe.
class event_log
{
public:
    using clock = std::chrono::steady_clock;

    /// Switches fileDescriptor to non-blocking mode. Precondition: fileDescriptor stays open during the lifetime of the log.
    event_log(int fileDescriptor, std::string instance);

    /// Buffers a line, or counts it as dropped when the class exceeds its rate limit or the buffer is full.
    void write(event_class kind, const event_line &line, clock::time_point now);

    /// Writes as many buffered bytes as the file descriptor accepts without blocking.
    void flush();

    /// Returns the number of lines dropped since the start.
    std::uint64_t dropped() const;

private:
    struct token_bucket
    {
        double tokens = 0;
        double linesPerSecond = 0;
        clock::time_point refilledAt{};
    };

    bool tryAcquire(event_class kind, clock::time_point now);
    void append(const event_line &line);

    int m_fileDescriptor;
    std::string m_instance;
    std::string m_pending;
    token_bucket m_buckets[3];
    std::uint64_t m_dropped = 0;
    std::uint64_t m_unreportedDrops = 0;
};

} // namespace balsamhook
