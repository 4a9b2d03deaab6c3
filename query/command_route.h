#pragma once

#include "query/service_layout.h"
#include "query/target_view.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace balsamhook
{

/// Command keys of a service are grouped into this many buckets.
constexpr std::uint64_t CommandBuckets = 64;

std::uint64_t bucketOfKey(std::string_view key);

struct command_route
{
    std::string target;
    std::string instance;
};

/// Returns the target of the key's bucket by rendezvous hashing over the usable targets of the service, with its owner. No value when there is none.
std::optional<command_route> routeCommand(const service_layout &service, const target_view &targets, std::string_view key);

} // namespace balsamhook
