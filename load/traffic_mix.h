#pragma once

#include "base/base.h"

#include <string>
#include <string_view>
#include <vector>

namespace balsamhook
{

struct mix_share
{
    std::string service;
    double weight = 0.0;
};

/// Weighted random choice of the service of a request.
class traffic_mix
{
public:
    /// Parses "service=weight,..."; Invalid, with the malformed entry, otherwise.
    static result<traffic_mix> parse(std::string_view text);

    /// Returns the service for a random fraction in [0, 1). Precondition: the mix was returned by parse().
    const std::string &choose(double fraction) const;

    const std::vector<mix_share> &shares() const;

private:
    std::vector<mix_share> m_shares;
    double m_total = 0.0;
};

} // namespace balsamhook
