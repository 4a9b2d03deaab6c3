#include "load/traffic_mix.h"

#include <charconv>

namespace balsamhook
{

result<traffic_mix> traffic_mix::parse(std::string_view text)
{
    traffic_mix mix;
    while (!text.empty()) {
        const std::string_view part = text.substr(0, text.find(','));
        text.remove_prefix(std::min(part.size() + 1, text.size()));
        const std::size_t equals = part.find('=');
        const std::string_view number = equals == std::string_view::npos ? std::string_view() : part.substr(equals + 1);
        double weight = 0.0;
        const auto [end, failed] = std::from_chars(number.data(), number.data() + number.size(), weight);
        if (equals == 0 || failed != std::errc() || end != number.data() + number.size() || !(weight > 0.0)) {
            return failure(error_code::Invalid, error_step::Validate, "", "mix part '" + std::string(part) + "' is not SERVICE=WEIGHT with a weight above 0");
        }
        mix.m_shares.push_back({std::string(part.substr(0, equals)), weight});
        mix.m_total += weight;
    }
    if (mix.m_shares.empty()) {
        return failure(error_code::Invalid, error_step::Validate, "", "mix is empty");
    }
    return mix;
}

const std::string &traffic_mix::choose(double number) const
{
    double rest = number * m_total;
    for (const mix_share &share : m_shares) {
        if (rest < share.weight) {
            return share.service;
        }
        rest -= share.weight;
    }
    return m_shares.back().service;
}

const std::vector<mix_share> &traffic_mix::shares() const
{
    return m_shares;
}

} // namespace balsamhook
