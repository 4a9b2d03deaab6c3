#pragma once

#include "query/service_layout.h"
#include "query/target_view.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace balsamhook
{

/// Number of buckets that the command keys of a service are hashed into.
constexpr std::uint64_t CommandBuckets = 64;

std::uint64_t bucketOfKey(std::string_view key);

struct command_route
{
    std::string target;
    std::string instance;
};

/// Returns the target of the key's bucket and its owner, by rendezvous hashing over the usable targets of the service. No value when no target is usable.
std::optional<command_route> routeCommand(const service_layout &service, const target_view &targets, std::string_view key);

} // namespace balsamhook
