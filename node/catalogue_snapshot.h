#pragma once

#include "catalogue/catalogue.h"

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace balsamhook
{

/// Newest revision of each kind that an instance has applied; 0 for a kind that it doesn't hold.
struct known_revisions
{
    std::optional<std::uint64_t> era; ///< In which the revisions were given out; empty if the store names no eras.
    std::uint64_t configuration = 0;
    std::uint64_t targets = 0;
    std::uint64_t evacuations = 0;
};

/// One kind of objects as an instance holds it.
template<typename content_type>
struct kind_copy
{
    copy_revisions revisions;
    content_type content;
};

/// What an instance hands over to a peer that can't reach the store: the kinds of which it holds later revisions than the peer, each as a whole. Specs are
/// in the store's format.
struct catalogue_snapshot
{
    std::optional<std::uint64_t> era; ///< As in known_revisions; empty also if the peer's build knows no eras.
    std::optional<kind_copy<nlohmann::json>> configuration;
    std::optional<kind_copy<std::map<std::string, nlohmann::json>>> targets; ///< By id.
    std::optional<kind_copy<std::set<std::string>>> evacuations; ///< Names of data centres.
};

std::string encodeSnapshot(const catalogue_snapshot &snapshot);

/// Returns an empty value if the text isn't a snapshot. Thread-safe.
std::optional<catalogue_snapshot> decodeSnapshot(std::string_view text);

} // namespace balsamhook
