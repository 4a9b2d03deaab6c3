#pragma once

#include "base/base.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace balsamhook
{

enum class service_kind : std::uint8_t {
    Query, ///< Idempotent requests, scattered to one or more shards.
    Command, ///< Requests that may run at most once; exactly one shard.
};

struct shard_configuration
{
    std::string shard;
    std::vector<std::string> targets;
};

struct service_configuration
{
    std::string name;
    service_kind kind = service_kind::Query;
    std::uint64_t layoutEpoch = 1;
    std::chrono::milliseconds deadline{260}; ///< Default when the caller gives none. A caller's deadline is limited to 10 times this value.
    double minimumCoverage = 0.0; ///< 0 to 1.
    std::chrono::milliseconds answerAfter{0}; ///< Time after which a partial response is sent; 0: at the deadline.
    double hedgePercent = 5.0; ///< Maximum share of hedges and retries in percent of first attempts, 0 to 100.
    std::vector<shard_configuration> shards;
};

struct target_configuration
{
    std::string name;
    std::string dataCentre;
    endpoint address;
    std::uint32_t slots = 1;
    std::uint32_t connections = 1;
    std::uint32_t coldSlots = 1; ///< Slots that the target can serve in a cold start; at most slots.
    bool leaving = false;
};

struct data_centre_configuration
{
    std::string name;
    bool out = false;
};

/// A complete configuration; see section 5 of docs/design.md.
struct configuration_document
{
    std::vector<data_centre_configuration> dataCentres;
    std::vector<service_configuration> services;
    std::vector<target_configuration> targets;

    /// Returns the entry of this name, or nullptr. The pointer is valid until the document changes.
    const data_centre_configuration *findDataCentre(std::string_view name) const;
    const service_configuration *findService(std::string_view name) const;
    const target_configuration *findTarget(std::string_view name) const;

    /// Returns whether the target may receive new requests: it isn't leaving, and its data centre is configured and not out.
    bool isUsable(const target_configuration &target) const;
};

/// Parses and validates a document. Errors: Invalid, with field, value and allowed range. Never throws.
result<configuration_document> parseDocument(std::string_view text);

/// Returns the document as JSON text. Equal documents have equal texts.
std::string documentText(const configuration_document &document);

} // namespace balsamhook
