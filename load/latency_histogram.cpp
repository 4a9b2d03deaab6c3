#include "load/latency_histogram.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace balsamhook
{

namespace
{

constexpr unsigned SubBucketBits = 5;
constexpr std::uint64_t SubBuckets = 1U << SubBucketBits;
constexpr unsigned HighestPower = 36;
constexpr std::size_t BucketCount = (HighestPower - SubBucketBits + 1) * SubBuckets;

std::size_t bucketOf(std::uint64_t value)
{
    if (value < SubBuckets) {
        return value;
    }
    const unsigned shift = static_cast<unsigned>(std::bit_width(value)) - 1 - SubBucketBits;
    const std::size_t index = (shift + 1) * SubBuckets + ((value >> shift) - SubBuckets);
    return std::min(index, BucketCount - 1);
}

std::uint64_t highestIn(std::size_t bucket)
{
    if (bucket < SubBuckets) {
        return bucket;
    }
    const std::size_t shift = bucket / SubBuckets - 1;
    const std::uint64_t lowest = (SubBuckets + bucket % SubBuckets) << shift;
    return lowest + (std::uint64_t{1} << shift) - 1;
}

} // namespace

latency_histogram::latency_histogram()
    : m_buckets(BucketCount)
{
}

void latency_histogram::add(std::chrono::microseconds latency)
{
    const std::chrono::microseconds counted = std::max(latency, std::chrono::microseconds(0));
    ++m_buckets[bucketOf(static_cast<std::uint64_t>(counted.count()))];
    ++m_count;
    m_highest = std::max(m_highest, counted);
}

void latency_histogram::add(const latency_histogram &other)
{
    for (std::size_t i = 0; i < m_buckets.size(); ++i) {
        m_buckets[i] += other.m_buckets[i];
    }
    m_count += other.m_count;
    m_highest = std::max(m_highest, other.m_highest);
}

std::chrono::microseconds latency_histogram::quantile(double quantile) const
{
    const auto wanted = static_cast<std::uint64_t>(std::ceil(quantile * static_cast<double>(m_count)));
    std::uint64_t passed = 0;
    for (std::size_t i = 0; i < m_buckets.size(); ++i) {
        passed += m_buckets[i];
        if (passed > 0 && passed >= wanted) {
            return std::min(std::chrono::microseconds(highestIn(i)), m_highest);
        }
    }
    return m_highest;
}

std::chrono::microseconds latency_histogram::highest() const
{
    return m_highest;
}

std::uint64_t latency_histogram::count() const
{
    return m_count;
}

} // namespace balsamhook
