#include "node/member_record.h"

#include "base/base.h"

#include <cstdlib>
#include <limits>

namespace balsamhook
{

namespace
{

/// The store gets the Unix time at which a refusal ends, since processes that read it have other boot clocks. Fingerprints are text: a JSON number may not
/// hold 64 bits.
nlohmann::json encodeRefusals(const std::vector<peer_refusal> &refusals)
{
    nlohmann::json encoded = nlohmann::json::array();
    for (const peer_refusal &refusal : refusals) {
        encoded.push_back({{"fingerprint", std::to_string(refusal.fingerprint)}, {"until_ms", unixTime().count() + refusal.remainingMilliseconds}});
    }
    return encoded;
}

std::vector<peer_refusal> decodeRefusals(const nlohmann::json &spec)
{
    std::vector<peer_refusal> refusals;
    const auto encoded = spec.find("refusals");
    if (encoded == spec.end() || !encoded->is_array()) {
        return refusals;
    }
    const std::int64_t now = unixTime().count();
    for (const nlohmann::json &refusal : *encoded) {
        const auto fingerprint = refusal.find("fingerprint");
        const auto until = refusal.find("until_ms");
        if (fingerprint == refusal.end() || until == refusal.end() || !fingerprint->is_string() || !until->is_number_integer()) {
            continue;
        }
        const std::int64_t endsAt = until->get<std::int64_t>();
        if (endsAt > now && endsAt - now <= std::numeric_limits<std::uint32_t>::max()) {
            const std::uint64_t value = std::strtoull(fingerprint->get_ref<const std::string &>().c_str(), nullptr, 10);
            refusals.push_back({value, static_cast<std::uint32_t>(endsAt - now)});
        }
    }
    return refusals;
}

} // namespace

nlohmann::json encodeMember(const member_record &record)
{
    return {
        {"address", record.address}, {"data_centre", record.dataCentre}, {"incarnation", record.incarnation}, {"refusals", encodeRefusals(record.refusals)}};
}

member_record decodeMember(const nlohmann::json &spec)
{
    member_record record;
    const auto address = spec.find("address");
    record.address = address != spec.end() && address->is_string() ? address->get<std::string>() : std::string();
    record.refusals = decodeRefusals(spec);
    return record;
}

} // namespace balsamhook
