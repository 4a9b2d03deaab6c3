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
    Query, ///< Idempotent requests over one or more shards.
    Command, ///< Requests that may not be repeated; exactly one shard.
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
    std::chrono::milliseconds deadline{260}; ///< Used when the caller gives none; also the highest a caller may ask for times 10.
    double minimumCoverage = 0.0; ///< 0 to 1
    std::chrono::milliseconds answerAfter{0}; ///< Answer with what there is after this time; 0: wait until the deadline.
    double hedgePercent = 5.0; ///< Hedges and retries as a share of first attempts, 0 to 100.
    std::vector<shard_configuration> shards;
};

struct target_configuration
{
    std::string name;
    std::string dataCentre;
    endpoint address;
    std::uint32_t slots = 1;
    std::uint32_t connections = 1;
    std::uint32_t coldSlots = 1; ///< What the target bears in cold start; at most slots.
    bool leaving = false;
};

struct data_centre_configuration
{
    std::string name;
    bool out = false;
};

/// A whole configuration, as in section 5 of docs/design.md.
struct configuration_document
{
    std::vector<data_centre_configuration> dataCentres;
    std::vector<service_configuration> services;
    std::vector<target_configuration> targets;

    /// Lookups by name; nullptr when there is none. The pointers are valid until the document changes.
    const data_centre_configuration *findDataCentre(std::string_view name) const;
    const service_configuration *findService(std::string_view name) const;
    const target_configuration *findTarget(std::string_view name) const;

    /// True when the target may get new work: neither it is leaving nor its data centre out.
    bool isUsable(const target_configuration &target) const;
};

/// Parses and checks a document. Invalid with a message that names the field, the value and the allowed range. Never throws.
result<configuration_document> parseDocument(std::string_view json);

/// Returns the document as JSON text; equal documents give equal texts.
std::string documentText(const configuration_document &document);

} // namespace balsamhook
