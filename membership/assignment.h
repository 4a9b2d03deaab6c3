#pragma once

#include "configuration/configuration.h"
#include "wire/wire.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace balsamhook
{

/// Target name to the instance that owns it.
using owner_map = std::map<std::string, std::string, std::less<>>;

/// Assigns each target of the document to one non-leaving member by rendezvous hashing over the members of the target's data centre. The replicas
/// of a shard get different instances while there are enough. An instance gets at most about 1.25 times the average of its data centre. When the data centre
/// has no member left, the next data centre in the document's order (cyclic, then those that the document doesn't name, by name) is used. Targets have no owner
/// when there is no member at all. The same input gives the same result on every instance. Thread-safe.
owner_map assignTargets(const std::vector<member_entry> &members, const configuration_document &document);

} // namespace balsamhook
