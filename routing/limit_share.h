#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace balsamhook
{

/// The limited targets that an instance has requests for, in a fixed number of bytes for its heartbeats. A target may share its bits with others and then
/// seems to be in demand although it isn't, which only makes the shares of its limit smaller. Not thread-safe.
class demand_filter
{
public:
    void add(std::string_view targetId);
    bool contains(std::string_view targetId) const;

    bool isEmpty() const;

    /// Returns the filter for a message; a single byte when no target was added.
    std::string encode() const;

    /// Returns a filter without targets when the bytes were not made by encode().
    static demand_filter decode(std::string_view bytes);

private:
    static constexpr std::size_t Bytes = 32;

    std::array<std::uint8_t, Bytes> m_bits{};
};

/// How one instance may use the request limit of a target.
struct limit_share
{
    std::size_t owners = 1; ///< Instances among which the limit is divided in equal parts.
    bool isOwner = true; ///< Whether this instance is one of them; the others send nothing to the target.
    double perSecond = 0; ///< Requests a second of one owner.
};

/// Divides the limit of a target among the instances that have requests for it. Each instance saves up to one request while it has none, so a low limit is
/// divided among few instances (rendezvous hashing): if all of them spend what they saved at once, the target must still be within its tolerance.
/// Instances with the same list of instances agree. Preconditions: perSecond > 0; demanding, in any order, doesn't contain the instance itself.
limit_share shareOfLimit(double perSecond, const std::string &instance, const std::vector<std::string> &demanding, std::string_view targetId);

} // namespace balsamhook
