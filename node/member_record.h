#pragma once

#include "node/peer_messages.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace balsamhook
{

/// What an instance stores about itself, for instances that start when none of their seeds runs, and for itself after a restart.
struct member_record
{
    std::string address; ///< Empty when it is missing or malformed.
    std::string dataCentre;
    std::uint64_t incarnation = 0;
    std::vector<peer_refusal> refusals; ///< Without those that have ended.
};

nlohmann::json encodeMember(const member_record &record);

/// Decodes the address and the refusals of an instance; malformed ones are left out.
member_record decodeMember(const nlohmann::json &spec);

} // namespace balsamhook
