#include "load/traffic_mix.h"

#include <charconv>

namespace balsamhook
{

result<traffic_mix> traffic_mix::parse(std::string_view text)
{
    traffic_mix mix;
    while (!text.empty()) {
        const std::string_view entry = text.substr(0, text.find(','));
        text.remove_prefix(std::min(entry.size() + 1, text.size()));
        const std::size_t equals = entry.find('=');
        const std::string_view weightText = equals == std::string_view::npos ? std::string_view() : entry.substr(equals + 1);
        double weight = 0.0;
        const auto [end, parseError] = std::from_chars(weightText.data(), weightText.data() + weightText.size(), weight);
        if (equals == 0 || parseError != std::errc() || end != weightText.data() + weightText.size() || !(weight > 0.0)) {
            return failure(error_code::Invalid, error_step::Validate, "", "mix entry '" + std::string(entry) + "' is not SERVICE=WEIGHT with a weight above 0");
        }
        mix.m_shares.push_back({std::string(entry.substr(0, equals)), weight});
        mix.m_total += weight;
    }
    if (mix.m_shares.empty()) {
        return failure(error_code::Invalid, error_step::Validate, "", "mix is empty");
    }
    return mix;
}

const std::string &traffic_mix::choose(double fraction) const
{
    double remaining = fraction * m_total;
    for (const mix_share &share : m_shares) {
        if (remaining < share.weight) {
            return share.service;
        }
        remaining -= share.weight;
    }
    return m_shares.back().service;
}

const std::vector<mix_share> &traffic_mix::shares() const
{
    return m_shares;
}

} // namespace balsamhook
