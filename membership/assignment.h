#pragma once

#include "configuration/configuration.h"
#include "wire/wire.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace balsamhook
{

/// Maps a target name to the instance that owns the target.
using owner_map = std::map<std::string, std::string, std::less<>>;

/// Assigns each target of the document to one non-leaving member by rendezvous hashing over the members of the target's data centre. The replicas
/// of a shard are assigned to different instances when there are enough of them. An instance owns at most 1.25 times the average number of targets
/// of its data centre, rounded up, unless the separation of replicas requires more. When the data centre has no member, the next data centre with members is
/// used: in the document's order (cyclic), then those that the document doesn't name, by name. Targets have no owner when there are no members at all. The
/// result depends only on the arguments, so that all instances compute the same assignment. Thread-safe.
owner_map assignTargets(const std::vector<member_entry> &members, const configuration_document &document);

} // namespace balsamhook
