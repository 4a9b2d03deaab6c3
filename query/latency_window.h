#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <optional>

namespace balsamhook
{

/// 95th percentile of the most recent latencies of one shard, updated once every few samples. Not thread-safe.
class latency_window
{
public:
    void add(std::chrono::microseconds sample);

    /// No value until there are enough samples, because the percentile of few samples is only their maximum.
    std::optional<std::chrono::microseconds> percentile95() const;

private:
    static constexpr std::size_t Capacity = 128;

    void recompute();

    std::array<std::chrono::microseconds, Capacity> m_samples{};
    std::size_t m_sampleCount = 0;
    std::optional<std::chrono::microseconds> m_percentile;
};

} // namespace balsamhook
