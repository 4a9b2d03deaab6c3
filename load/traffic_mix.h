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

/// Which service a request goes to, by weight.
class traffic_mix
{
public:
    /// Parses "service=weight,..."; Invalid with the part that is wrong.
    static result<traffic_mix> parse(std::string_view text);

    /// Returns the service for a number in 0 (inclusive) to 1 (exclusive).
    const std::string &choose(double number) const;

    const std::vector<mix_share> &shares() const;

private:
    std::vector<mix_share> m_shares;
    double m_total = 0.0;
};

} // namespace balsamhook
