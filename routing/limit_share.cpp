#include "routing/limit_share.h"

#include "base/assert.h"
#include "base/hash.h"

#include <algorithm>

namespace balsamhook
{

namespace
{

/// Owners of a limit close to zero. With two, the target stays in use while one of them fails.
constexpr double MinOwners = 2;

std::size_t bitOf(std::string_view targetId, std::size_t bits)
{
    return stableHash(targetId) % bits;
}

} // namespace

void demand_filter::add(std::string_view targetId)
{
    const std::size_t bit = bitOf(targetId, Bytes * 8);
    m_bits[bit / 8] |= static_cast<std::uint8_t>(1U << (bit % 8));
}

bool demand_filter::contains(std::string_view targetId) const
{
    const std::size_t bit = bitOf(targetId, Bytes * 8);
    return (m_bits[bit / 8] >> (bit % 8) & 1U) != 0;
}

bool demand_filter::isEmpty() const
{
    return std::all_of(m_bits.begin(), m_bits.end(), [](std::uint8_t byte) { return byte == 0; });
}

std::string demand_filter::encode() const
{
    if (isEmpty()) {
        return std::string(1, '\0');
    }
    return {m_bits.begin(), m_bits.end()};
}

demand_filter demand_filter::decode(std::string_view bytes)
{
    demand_filter filter;
    if (bytes.size() == Bytes) {
        std::transform(bytes.begin(), bytes.end(), filter.m_bits.begin(), [](char byte) { return static_cast<std::uint8_t>(byte); });
    }
    return filter;
}

limit_share shareOfLimit(double perSecond, const std::string &instance, const std::vector<std::string> &demanding, std::string_view targetId)
{
    BALSAM_ASSERT(perSecond > 0);
    const std::size_t instances = demanding.size() + 1;
    limit_share share;
    // Limits may be much greater than the number of instances.
    share.owners = perSecond >= static_cast<double>(instances) ? instances : std::min(instances, static_cast<std::size_t>(MinOwners + perSecond));
    share.perSecond = perSecond / static_cast<double>(share.owners);
    if (share.owners == instances) {
        return share;
    }
    const auto rankOf = [targetId](const std::string &name) { return stableHash(targetId, stableHash(name)); };
    const std::uint64_t localRank = rankOf(instance);
    const auto ahead = std::count_if(demanding.begin(), demanding.end(), [&](const std::string &other) { return rankOf(other) > localRank; });
    share.isOwner = static_cast<std::size_t>(ahead) < share.owners;
    return share;
}

} // namespace balsamhook
