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
constexpr unsigned MaxPowerOfTwo = 36;
constexpr std::size_t BucketCount = (MaxPowerOfTwo - SubBucketBits + 1) * SubBuckets;

std::size_t bucketIndexOf(std::uint64_t value)
{
    if (value < SubBuckets) {
        return value;
    }
    const unsigned shift = static_cast<unsigned>(std::bit_width(value)) - 1 - SubBucketBits;
    const std::size_t index = (shift + 1) * SubBuckets + ((value >> shift) - SubBuckets);
    return std::min(index, BucketCount - 1);
}

std::uint64_t upperBoundOf(std::size_t bucket)
{
    if (bucket < SubBuckets) {
        return bucket;
    }
    const std::size_t shift = bucket / SubBuckets - 1;
    const std::uint64_t lowerBound = (SubBuckets + bucket % SubBuckets) << shift;
    return lowerBound + (std::uint64_t{1} << shift) - 1;
}

} // namespace

latency_histogram::latency_histogram()
    : m_buckets(BucketCount)
{
}

void latency_histogram::add(std::chrono::microseconds latency)
{
    const std::chrono::microseconds clamped = std::max(latency, std::chrono::microseconds(0));
    ++m_buckets[bucketIndexOf(static_cast<std::uint64_t>(clamped.count()))];
    ++m_count;
    m_maximum = std::max(m_maximum, clamped);
}

void latency_histogram::add(const latency_histogram &other)
{
    for (std::size_t i = 0; i < m_buckets.size(); ++i) {
        m_buckets[i] += other.m_buckets[i];
    }
    m_count += other.m_count;
    m_maximum = std::max(m_maximum, other.m_maximum);
}

std::chrono::microseconds latency_histogram::quantile(double quantile) const
{
    const auto rank = static_cast<std::uint64_t>(std::ceil(quantile * static_cast<double>(m_count)));
    std::uint64_t cumulative = 0;
    for (std::size_t i = 0; i < m_buckets.size(); ++i) {
        cumulative += m_buckets[i];
        if (cumulative > 0 && cumulative >= rank) {
            return std::min(std::chrono::microseconds(upperBoundOf(i)), m_maximum);
        }
    }
    return m_maximum;
}

std::chrono::microseconds latency_histogram::maximum() const
{
    return m_maximum;
}

std::uint64_t latency_histogram::count() const
{
    return m_count;
}

} // namespace balsamhook
